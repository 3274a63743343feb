#ifndef GUAVACROSS_ROUTING_SERVICE_ROUTER_H_
#define GUAVACROSS_ROUTING_SERVICE_ROUTER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/routing.h"
#include "policy/probe_budget.h"
#include "policy/random.h"
#include "routing/effects.h"

namespace guavacross::routing {

/// The policy of one service: its targets, its queue and its budgets.
///
/// All functions are thread safe: one mutex guards one service. Nothing is
/// called while it is held; what has to be called is returned as `Effects`.
class ServiceRouter {
 public:
  ServiceRouter(std::shared_ptr<const ServiceConfig> config,
                const RouterOptions& options);

  void Configure(std::shared_ptr<const ServiceConfig> config,
                 TimePoint now,
                 Effects* effects);
  std::shared_ptr<const ServiceConfig> config() const;

  /// Refuses every waiter: the service is gone.
  void Close(Effects* effects);

  void Acquire(const RequestTraits& traits,
               const std::vector<std::string>& targets_to_avoid,
               std::uint64_t ticket,
               GrantCallback on_grant,
               TimePoint now,
               Effects* effects);
  void CancelWait(std::uint64_t ticket);
  void Release(const Grant& grant,
               const AttemptReport& report,
               TimePoint now,
               Effects* effects);
  void ReportLoad(const Grant& grant, const LoadReport& load, TimePoint now);

  bool MayRetry(const RequestTraits& traits, int attempts_so_far);
  std::optional<Duration> HedgeDelay(const RequestTraits& traits) const;
  bool MayHedge(const RequestTraits& traits, int attempts_so_far);

  void ExpireWaiters(TimePoint now, Effects* effects);
  void TakeProbes(TimePoint now,
                  int instances,
                  std::vector<ProbeOrder>* orders,
                  Effects* effects);
  void ReportProbe(const ProbeReport& report, TimePoint now, Effects* effects);
  void LearnDrain(const DrainNotice& notice);
  std::vector<DrainNotice> Drains() const;
  std::vector<std::pair<std::string, int>> InFlight() const;
  ServiceStatus Status(TimePoint now) const;

 private:
  struct Target {
    TargetConfig m_config;
    int m_in_flight = 0;
    std::optional<int> m_reported_in_flight;
    std::string m_incarnation;
    bool m_draining = false;
    bool m_removed = false;
  };
  struct Waiter {
    std::uint64_t m_ticket = 0;
    TimePoint m_expires;
    std::vector<std::string> m_avoid;
    GrantCallback m_on_grant;
  };

  Target* FindTarget(const std::string& name);
  Target* Choose(const std::vector<std::string>& avoid);
  Grant MakeGrant(Target* target, std::uint64_t ticket, TimePoint now);
  void Learn(Target* target, const LoadReport& load, Effects* effects);
  void ServeWaiters(TimePoint now, Effects* effects);

  const RouterOptions m_options;
  mutable std::mutex m_mutex;
  std::shared_ptr<const ServiceConfig> m_config;
  std::vector<std::unique_ptr<Target>> m_targets;
  std::deque<Waiter> m_waiters;
  policy::ProbeBudget m_probe_budget;
  policy::Random m_random;
  bool m_probes_scheduled = false;
  TimePoint m_last_request{};
  std::size_t m_next_probe = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_hedges = 0;
  std::uint64_t m_probes_sent = 0;
};

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_SERVICE_ROUTER_H_
