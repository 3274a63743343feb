#ifndef GUAVACROSS_ROUTING_SERVICE_ROUTER_H_
#define GUAVACROSS_ROUTING_SERVICE_ROUTER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "guavacross/routing.h"
#include "policy/fair_queue.h"
#include "policy/path_loss.h"
#include "policy/probe_budget.h"
#include "policy/random.h"
#include "policy/retry_budget.h"
#include "routing/effects.h"
#include "routing/target_pool.h"

namespace guavacross::routing {

/// The availability zones of a service's targets.
std::set<std::string> ZonesOf(const ServiceConfig& config);

/// Load balancing of one service: its targets, its wait queue and its retry and
/// probe budgets.
///
/// Thread safe: each service has its own mutex. No callback or hook is called
/// while it is held; the functions return them in `Effects` instead.
class ServiceRouter {
 public:
  /// `options` must outlive the router.
  ServiceRouter(std::shared_ptr<const ServiceConfig> config,
                const RouterOptions& options);

  void Configure(std::shared_ptr<const ServiceConfig> config,
                 TimePoint now,
                 Effects* effects);
  /// Sets the live instances among which the targets and their request limits
  /// are divided.
  void SetView(std::shared_ptr<const policy::InstanceView> view, TimePoint now);
  std::shared_ptr<const ServiceConfig> config() const;

  /// Refuses all waiting requests because the service has been removed.
  void Close(Effects* effects);

  /// See `Router::Acquire`. `instances` is the number of live instances.
  void Acquire(const RequestTraits& traits,
               const std::vector<std::string>& targets_to_avoid,
               std::uint64_t ticket,
               GrantCallback on_grant,
               int instances,
               TimePoint now,
               Effects* effects);
  void CancelWait(std::uint64_t ticket);
  void Release(const Grant& grant,
               const RequestTraits& traits,
               const AttemptReport& report,
               TimePoint now,
               Effects* effects);
  void ReportLoad(const Grant& grant,
                  const LoadReport& load,
                  Duration time_to_first_byte,
                  TimePoint now,
                  Effects* effects);

  bool TryChargeRetry(const RequestTraits& traits,
                      int attempts_so_far,
                      AttemptEnd last_end,
                      TimePoint now);
  bool IsPastObjective(const RequestTraits& traits, TimePoint now) const;
  Duration RetryAfterRefusal();
  std::optional<Duration> HedgeDelay(const RequestTraits& traits) const;
  bool TryChargeHedge(const RequestTraits& traits, int attempts_so_far);

  void ExpireWaiters(TimePoint now, Effects* effects);

  /// The path to the service's targets, as this instance sees it.
  struct PathState {
    /// Since when no target answers, if none does.
    std::optional<TimePoint> m_lost_since;
    /// Since when half of the targets or more don't answer, if so.
    std::optional<TimePoint> m_impaired_since;
  };
  PathState Path(TimePoint now);
  /// Whether `Path` has changed between lost and not lost since the last call.
  std::optional<bool> TakePathChange(TimePoint now);

  /// A request in the queue, and the targets and peers that it avoids.
  struct WaitingRequest {
    std::uint64_t m_ticket = 0;
    std::vector<std::string> m_avoid;
    /// A peer has passed it on.
    bool m_relayed = false;
  };
  enum class RelayedRequests { kIncluded, kLeftOut };
  /// The request that has waited longest, if that is at least `min_wait`.
  std::optional<WaitingRequest> LongestWaiting(Duration min_wait,
                                               RelayedRequests relayed,
                                               TimePoint now) const;
  /// Takes a request out of the queue to decide about it elsewhere.
  ///
  /// @return its callback; empty if it doesn't wait any more.
  GrantCallback TakeWaiting(std::uint64_t ticket);
  /// Whether a request may be sent to a target although the path counts as
  /// lost; see `GrantTrial`.
  bool IsTrialDue(TimePoint now) const;
  /// Sends a waiting request to a target although the path counts as lost, if a
  /// trial is due: only an answered request tells hanging health checks from
  /// unreachable targets.
  ///
  /// @return whether the request has been granted.
  bool GrantTrial(std::uint64_t ticket, TimePoint now, Effects* effects);
  /// Sends a few probes while requests don't wait for targets, so that a path
  /// that comes back is noticed.
  void ProbePath(TimePoint now, Effects* effects);
  void TakeProbes(TimePoint now,
                  int instances,
                  std::vector<ProbeOrder>* orders,
                  Effects* effects);
  void ReportProbe(const ProbeReport& report, TimePoint now, Effects* effects);

  void SetPeerInFlight(const std::string& peer,
                       const std::vector<std::pair<std::string, int>>& counts,
                       TimePoint now,
                       Effects* effects);
  bool LearnDrain(const DrainNotice& notice);
  std::vector<DrainNotice> Drains() const;
  bool LearnLimit(const LimitNotice& notice, TimePoint now);
  std::vector<LimitNotice> Limits(TimePoint now) const;
  std::vector<std::pair<std::string, int>> InFlight() const;

  /// Sets whether the service is in the router's list of services in use.
  ///
  /// @return the previous value.
  bool ExchangeListed(bool listed) { return m_listed.exchange(listed); }
  ServiceStatus Status(TimePoint now) const;

 private:
  // A waiting request. The fair queue holds only its ticket and expiry time.
  struct Waiter {
    ClassState* m_class = nullptr;
    policy::FlowKey m_flow;
    TimePoint m_deadline;
    std::vector<std::string> m_avoid;
    GrantCallback m_on_grant;
    TimePoint m_arrived;
    policy::WaitBounds m_bounds;
    policy::ZoneTerms m_zone_terms;
    // Passed on by a peer, and not to be passed on again.
    bool m_relayed = false;
  };
  struct PeerCounts {
    std::vector<std::pair<std::string, int>> m_counts;
    TimePoint m_received_at;
  };

  bool IsEnabled(Mechanism mechanism) const;
  int MaxAttempts(const RequestTraits& traits) const;
  bool HasReturned(const RequestTraits& traits) const;
  void LimitSavedRetries();
  ClassState* FindOrAddClass(const std::string& name);
  const ClassState* FindClassState(const std::string& name) const;
  policy::WaitBounds WaitBoundsOf(const ClassState& state,
                                  const RequestTraits& traits,
                                  TimePoint now) const;
  policy::ZoneTerms ZoneTermsOf(const ClassState& state,
                                const RequestTraits& traits) const;
  policy::FlowKey FlowOf(const RequestTraits& traits,
                         const policy::WaitBounds& bounds) const;
  double WeightOf(const policy::FlowKey& flow) const;
  double SlotCostOf(const ClassState& state) const;
  bool IsWithinBulkLimit(const ClassState& state, TimePoint now) const;
  // Whether requests of this flow wait although a target may have room: while
  // the targets are crowded, their slots go to requests that can be answered in
  // time.
  bool GivesWay(const policy::FlowKey& flow, TimePoint now) const;

  Grant MakeGrant(Target* target,
                  ClassState* state,
                  std::uint64_t ticket,
                  TimePoint now);
  /// Decides without queueing if no request waits ahead: grants a target, or
  /// refuses if no target can become available.
  ///
  /// @return whether a decision was made.
  bool TryGrantAtOnce(std::uint64_t ticket,
                      Waiter* waiter,
                      TimePoint now,
                      Effects* effects);
  /// Queues a request, or refuses it if the queue is full or the expected wait
  /// exceeds the longest allowed one.
  void Enqueue(std::uint64_t ticket,
               Waiter waiter,
               TimePoint now,
               Effects* effects);
  /// The longest time that a new request may wait in the queue.
  Duration LongestWait(const Waiter& waiter) const;
  bool IsSaturated(TimePoint now) const;
  /// The estimated time in the queue; zero if it can't be estimated.
  Duration ExpectedWait(const Waiter& waiter, TimePoint now) const;
  /// Makes a refusal for a wait that has ended or would exceed its limit by
  /// `excess`, with a randomized retry delay.
  util::Expected<Grant> RefuseWithRetryDelay(Duration excess,
                                             TimePoint now,
                                             const std::string& text);
  /// Makes a refusal for a request without a target.
  util::Expected<Grant> RefuseWithoutTarget(const Choice& choice,
                                            TimePoint now);
  void RefuseWaiter(std::uint64_t ticket,
                    util::Expected<Grant> refusal,
                    Effects* effects);
  void ServeWaiters(TimePoint now, Effects* effects);
  void ScheduleQueueCheck(TimePoint now, Effects* effects);

  void ApplyLoadReport(Target* target,
                       const LoadReport& load,
                       TimePoint asked_at,
                       TimePoint reported_at,
                       TimePoint now,
                       Effects* effects);
  /// Whether targets are probed before a request is placed on one.
  bool ProbesBeforePlacing() const;
  Choice Choose(const Waiter& waiter, TimePoint now);
  bool ExpectsReports(TimePoint now);
  Choice ChooseMeasured(const Waiter& waiter, TimePoint now);
  /// Adds probe orders on behalf of `waiting` requests to `effects`.
  void OrderProbes(int waiting, TimePoint now, Effects* effects);
  ProbeOrder OrderProbe(Target* target, TimePoint now, Effects* effects);
  /// Orders up to `count` probes within the budget.
  void OrderProbesOf(std::size_t count, TimePoint now, Effects* effects);
  // Whether there has been no request for long.
  bool IsIdle(TimePoint now) const;
  bool ProbeSilentPath(TimePoint now, Effects* effects);
  void ScheduleSilentCheck(TimePoint now, Effects* effects);
  void RecordPathOfAttempt(const Target& target,
                           const AttemptReport& report,
                           const Grant& grant,
                           TimePoint now,
                           Effects* effects);
  // The event that an answer to the attempt is.
  policy::PathEvent::Kind AnswerEventOf(const Grant& grant) const;
  void RecordPath(policy::PathEvent::Kind kind,
                  const Target& target,
                  TimePoint asked_at,
                  TimePoint now,
                  Effects* effects);
  void RecordFirstByte(Target* target,
                       const Attempt& attempt,
                       Duration latency,
                       TimePoint now);
  void RecordFailure(Target* target,
                     const AttemptReport& report,
                     const RequestTraits& traits,
                     TimePoint now,
                     Effects* effects);
  void RecordCancelled(Target* target, const Attempt& attempt, TimePoint now);
  Target* NextToProbe(TimePoint now, TimePoint* next_at);
  void UpdatePeerTotals(TimePoint now);

  const RouterOptions& m_options;
  mutable std::mutex m_mutex;
  std::shared_ptr<const ServiceConfig> m_config;
  TargetPool m_pool;
  std::atomic<bool> m_listed{false};
  std::vector<std::unique_ptr<ClassState>> m_classes;
  std::unordered_map<std::string, int> m_tenant_weights;
  double m_bulk_weight_share = 1;
  int m_bulk_in_flight = 0;
  int m_instances = 1;
  policy::FairQueue m_queue;
  // Time of the next scheduled queue check.
  TimePoint m_next_queue_check_at = TimePoint::min();
  std::unordered_map<std::uint64_t, Waiter> m_waiters;
  // Moving average of the slot holding time, over all classes.
  Duration m_slot_time{};
  policy::Random m_random;
  policy::RetryBudget m_retry_budget;
  // When the last request of a caller that had been refused before arrived.
  TimePoint m_last_returned = TimePoint::min();
  policy::ProbeBudget m_probe_budget;
  bool m_probes_scheduled = false;
  // Probes sent before placement that are still in flight.
  int m_placement_probes_in_flight = 0;
  TimePoint m_last_request = TimePoint::min();
  std::unordered_map<std::string, PeerCounts> m_peers;
  policy::PathLoss m_path;
  std::optional<TimePoint> m_impaired_since;
  bool m_reported_lost = false;
  TimePoint m_path_probed_at = TimePoint::min();
  // The last request that was sent as a trial, and when.
  std::uint64_t m_trial = 0;
  TimePoint m_trial_at = TimePoint::min();
  // When `ProbeSilentPath` is to be called.
  TimePoint m_silent_check_at = TimePoint::min();
  std::uint64_t m_requests = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_hedges = 0;
  std::uint64_t m_probes_sent = 0;
  std::uint64_t m_left_zone = 0;
  std::uint64_t m_left_empty_zone = 0;
  // Those of the request that has waited longest for a target.
  policy::ZoneTerms m_waiting_terms;
};

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_SERVICE_ROUTER_H_
