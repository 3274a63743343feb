#ifndef GUAVACROSS_SERVE_TARGET_PLANS_H_
#define GUAVACROSS_SERVE_TARGET_PLANS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "guavacross/document.h"
#include "guavacross/route_table.h"
#include "guavacross/time.h"
#include "routes/service_plan.h"
#include "routes/target_registry.h"

namespace guavacross::serve {

/// Whom the plans are for.
struct TargetPlansHooks {
  /// A service's plan is new or has changed.
  std::function<void(const ServiceConfig&)> m_on_plan;
  /// The table has the service no more.
  std::function<void(const std::string& service)> m_on_drop;
};

/// The registered targets, and the services' plans that they and the table of
/// routes amount to.
///
/// A change of one target plans its service alone: with thousands of services,
/// planning all of them would cost more than all else. Lives on the control
/// thread.
class TargetPlans {
 public:
  TargetPlans(routes::SharedBudgets budgets,
              Clock clock,
              TargetPlansHooks hooks);

  /// Plans all services anew.
  void SetTable(std::shared_ptr<const RouteTable> table);
  void SetBudgets(const routes::SharedBudgets& budgets);

  /// A target's newest entry, and the removal of one; in force with `Apply`.
  void Put(const RegisteredTarget& target);
  void Remove(const std::string& id);
  void Apply();

  /// Whether `Apply` has been called: the targets then count as complete.
  bool listed() const { return m_listed; }

  /// Entries that go while the store is away may only have lapsed.
  void SetStoreReachable(bool reachable);

  /// Time since each target's entry was last told, by the target's name.
  std::map<std::string, Duration> EntryAges() const;

 private:
  using Change = routes::TargetRegistry::Change;

  /// What is kept of an entry beside the registry.
  struct Told {
    std::string m_service;
    TimePoint m_at;
  };

  void NoteChange(Change change, const RegisteredTarget& target);
  void PlanAll();
  void PlanChanged();
  void Plan(const RoutedService& service,
            const std::vector<RegisteredTarget>& targets);
  void ScheduleExpiry();

  routes::SharedBudgets m_budgets;
  Clock m_clock;
  TargetPlansHooks m_hooks;
  routes::TargetRegistry m_registry;
  std::map<std::string, Told> m_told;
  std::shared_ptr<const RouteTable> m_table;
  std::map<std::string, ServiceConfig> m_plans;
  // Services with changes that aren't in force yet.
  std::set<std::string> m_changed;
  bool m_listed = false;
  std::unique_ptr<Timer> m_expiry_timer;
};

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_TARGET_PLANS_H_
