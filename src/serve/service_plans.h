#ifndef GUAVACROSS_SERVE_SERVICE_PLANS_H_
#define GUAVACROSS_SERVE_SERVICE_PLANS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "guavacross/document.h"
#include "guavacross/route_table.h"
#include "guavacross/time.h"
#include "routes/service_plan.h"
#include "routes/target_registry.h"

namespace guavacross::serve {

/// Receivers of the plans.
struct ServicePlansHooks {
  /// Called when a service's plan is new or has changed.
  std::function<void(const ServiceConfig&)> m_on_plan;
  /// Called when a service is no longer in the route table.
  std::function<void(const std::string& service)> m_on_remove;
};

/// Keeps the registered targets, and computes each service's plan from them and
/// the route table.
///
/// A change of a target recomputes only the plan of its service: with thousands
/// of services, recomputing all plans would cost more than all other work. Use
/// it on the control thread only.
class ServicePlans {
 public:
  ServicePlans(routes::SharedBudgets budgets,
               Clock clock,
               ServicePlansHooks hooks);

  /// Sets the route table, and recomputes all plans.
  void SetTable(std::shared_ptr<const RouteTable> table);
  /// Sets the budgets, and recomputes all plans.
  void SetBudgets(const routes::SharedBudgets& budgets);

  /// Sets the zones whose targets are left out, and recomputes all plans. When
  /// a zone returns, its targets count as cold until they say otherwise.
  void SetEvacuatedZones(std::set<std::string> zones);
  const std::set<std::string>& evacuated_zones() const {
    return m_evacuated_zones;
  }

  /// Stores a target's newest entry, or removes one; takes effect with `Apply`.
  void Put(const RegisteredTarget& target, const EntrySource& source = {});
  void Remove(const std::string& id, const EntrySource& source = {});
  void Apply();

  /// Whether `Apply` has been called; the target list then counts as complete.
  bool listed() const { return m_listed; }

  /// Sets when the store was last back from an outage; see
  /// `routes::TargetRegistry::SetOutageEnd`.
  void SetOutageEnd(std::optional<TimePoint> ended_at);

  /// Time since each target's entry was last updated, by target name.
  std::map<std::string, Duration> EntryAges() const;

 private:
  using Change = routes::TargetRegistry::Change;

  /// Data about an entry that the registry doesn't hold.
  struct EntryInfo {
    std::string m_service;
    TimePoint m_updated_at;
  };

  // Marks the service of a changed target, and logs the change. `source` is
  // null for one that was due.
  void NoteChange(Change change,
                  const RegisteredTarget& target,
                  Duration known_for,
                  const EntrySource* source);
  void PlanAll();
  void PlanChanged();
  void Plan(const RoutedService& service,
            const std::vector<RegisteredTarget>& targets);
  // The registered targets outside the evacuated zones.
  std::vector<RegisteredTarget> UsableTargets() const;
  void ScheduleExpiry();

  routes::SharedBudgets m_budgets;
  Clock m_clock;
  ServicePlansHooks m_hooks;
  routes::TargetRegistry m_registry;
  std::map<std::string, EntryInfo> m_entries;
  std::shared_ptr<const RouteTable> m_table;
  std::map<std::string, ServiceConfig> m_plans;
  std::set<std::string> m_evacuated_zones;
  // Services whose plans must be recomputed.
  std::set<std::string> m_changed;
  bool m_listed = false;
  std::unique_ptr<Timer> m_expiry_timer;
};

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_SERVICE_PLANS_H_
