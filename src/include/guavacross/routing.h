#ifndef GUAVACROSS_ROUTING_H_
#define GUAVACROSS_ROUTING_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "guavacross/document.h"
#include "guavacross/error.h"
#include "guavacross/time.h"
#include "util/handle.h"

/// Where requests go: the policy of all services behind one thread-safe door.
///
/// For each request the data path calls `Acquire`, sends the request to the
/// granted target, reports what happened with `Release`, and asks `MayRetry`
/// and `HedgeDelay` before it sends anything again. Probes are ordered by
/// `TakeDueProbes` and their results given to `ReportProbe`.
namespace guavacross {

/// What the policy needs to know about a request.
struct RequestTraits {
  std::string m_service;
  std::string m_class_name;
  std::string m_tenant;
  /// Hash of method, path and body, the same for a request sent again.
  std::uint64_t m_fingerprint = 0;
  /// When the caller's deadline ends; `TimePoint::max()` means never.
  TimePoint m_deadline = TimePoint::max();
  /// How long the caller said on this attempt of its that it would wait, zero
  /// if it didn't say, and when that attempt arrived.
  Duration m_asked_wait{};
  TimePoint m_arrived;
  /// Balancers that this request has passed before this one.
  int m_hops = 0;

  bool operator==(const RequestTraits&) const = default;
};

/// The right to send one attempt to one target.
struct Grant {
  std::uint64_t m_id = 0;
  std::string m_service;
  std::string m_target;
  /// The target's availability zone.
  std::string m_zone;
  Endpoint m_address;
  TimePoint m_granted_at;

  bool operator==(const Grant&) const = default;
};

/// How an attempt ended, as far as the policy cares.
enum class AttemptEnd {
  /// A complete answer that isn't a server error.
  kAnswered,
  /// A complete answer with a server error (5xx) that may have run.
  kServerError,
  /// Refused with the not-run mark.
  kRefusedNotRun,
  /// Another backend server has the address; it ran nothing.
  kWrongTarget,
  kConnectFailed,
  kReset,
  kTimeout,
  /// Given up by this side: the caller left or another copy won.
  kCancelled,
};

/// What a backend server says of itself on answers and probes.
struct LoadReport {
  /// Requests in flight on the backend server, from all instances.
  std::optional<int> m_in_flight;
  /// How many times longer than usual work takes there at this moment, for
  /// example because of neighbours on its machine.
  std::optional<double> m_slowdown;
  bool m_draining = false;
  /// Identifies one run of the backend server; empty if not told.
  std::string m_incarnation;

  bool operator==(const LoadReport&) const = default;
};

/// What is reported when an attempt ends.
struct AttemptReport {
  AttemptEnd m_end = AttemptEnd::kAnswered;
  /// From sending to the first byte of the answer.
  Duration m_latency{};
  /// Whether any byte of an answer came.
  bool m_answer_begun = false;
  LoadReport m_load;

  bool operator==(const AttemptReport&) const = default;
};

/// A probe to be sent now. It has been charged to the budget.
struct ProbeOrder {
  std::string m_service;
  std::string m_target;
  Endpoint m_address;
  Duration m_timeout{};
  /// The path to ask; empty for the usual one.
  std::string m_path;

  bool operator==(const ProbeOrder&) const = default;
};

/// The answer to a probe; no report means that it failed or timed out.
struct ProbeReport {
  std::string m_service;
  std::string m_target;
  std::optional<LoadReport> m_load;
  Duration m_latency{};
  /// Whether the target answered at all.
  bool m_answered = false;

  bool operator==(const ProbeReport&) const = default;
};

/// A draining backend server, as told between instances.
struct DrainNotice {
  std::string m_service;
  std::string m_target;
  /// The run of the backend server that drains; empty if not told.
  std::string m_incarnation;

  auto operator<=>(const DrainNotice&) const = default;
};

/// A request that is refused because it has killed backend servers.
struct QuarantineNotice {
  std::uint64_t m_fingerprint = 0;
  /// Time that remains until the quarantine ends.
  Duration m_remaining{};

  bool operator==(const QuarantineNotice&) const = default;
};

/// A target that was lost while a fingerprint was in flight on it.
struct SuspectNotice {
  std::uint64_t m_fingerprint = 0;
  std::string m_service;
  std::string m_target;

  auto operator<=>(const SuspectNotice&) const = default;
};

/// One target's state for the status page and the instances' exchange.
struct TargetStatus {
  std::string m_name;
  std::string m_zone;
  Endpoint m_address;
  int m_slots = 0;
  int m_in_flight = 0;
  /// The latest in-flight count reported by the backend server, if any.
  std::optional<int> m_reported_in_flight;
  bool m_ejected = false;
  bool m_draining = false;
  bool m_slow_start = false;

  bool operator==(const TargetStatus&) const = default;
};

/// One service's state for the status page.
struct ServiceStatus {
  std::string m_name;
  std::vector<TargetStatus> m_targets;
  int m_queued = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_hedges = 0;
  std::uint64_t m_probes_sent = 0;
  /// Probes that the budget has allowed since the start.
  double m_probes_allowed = 0;
  bool m_panic = false;

  bool operator==(const ServiceStatus&) const = default;
};

/// Attempts in flight by service and target.
using InFlightCounts = std::vector<
    std::pair<std::string, std::vector<std::pair<std::string, int>>>>;

/// Which policy picks targets; all but `kGuavacross` are baselines to compare
/// with.
enum class ChoicePolicy { kGuavacross, kRandom, kRoundRobin, kLeastInFlight };

/// Parts of the policy that can be switched off one by one, to measure what
/// each is worth.
enum class Mechanism {
  kReadings,
  kSlowness,
  kZonePreference,
  kSlowStart,
  kSlotShares,
  kHedging,
  kEjection,
  kFairQueue,
  kEarlyRefusal,
  kObjectiveWaits,
  kProbes,
};

/// What a router is given at construction.
struct RouterOptions {
  std::string m_zone;
  ChoicePolicy m_policy = ChoicePolicy::kGuavacross;
  /// Mechanisms that are switched off; none in production.
  std::set<Mechanism> m_disabled;
  std::uint64_t m_seed = 0;
  Clock m_clock;
};

/// Hooks through which the router tells the rest of the program.
/// They are called without any router lock held, on the thread whose call
/// caused them.
struct RouterHooks {
  std::function<void(const DrainNotice&)> m_on_drain;
  std::function<void(const QuarantineNotice&)> m_on_quarantine;
  std::function<void(const SuspectNotice&)> m_on_suspect;
  /// Probes to be sent at once, beside those of `Router::TakeDueProbes`.
  std::function<void(std::vector<ProbeOrder>)> m_on_probes;
};

/// Called once with a grant or the reason for the refusal; a plain value, since
/// a `Result` made outside of the callback would lose its error.
using GrantCallback = std::function<void(util::Expected<Grant>)>;

/// The policy of all services of one instance. All functions are thread safe.
class Router {
 public:
  Router(RouterOptions options, RouterHooks hooks);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Puts a service's configuration in force, keeping what is known of targets
  /// that stay. Attempts in flight on removed targets go on.
  void Configure(const ServiceConfig& config);
  void Remove(const std::string& service);

  /// The configuration in force for a service, or null.
  std::shared_ptr<const ServiceConfig> FindService(
      const std::string& service) const;

  /// Asks for a target. `on_grant` is called once: before the return or later,
  /// on whichever thread frees a slot or calls `ExpireWaiters`. The caller must
  /// make the callback move to its own thread.
  ///
  /// @return a ticket for `CancelWait`.
  /// Errors to the callback: `kUnknownService`, `kQueueFull`, `kQueueTimeout`,
  /// `kNoTarget`, `kQuarantined`, `kDeadlineExpired`.
  std::uint64_t Acquire(const RequestTraits& traits,
                        const std::vector<std::string>& targets_to_avoid,
                        GrantCallback on_grant);

  /// Leaves the queue. The callback is not called afterwards, unless it is
  /// being called at this moment.
  void CancelWait(const std::string& service, std::uint64_t ticket);

  /// Ends a granted attempt and frees its slot. Call exactly once a grant.
  void Release(const Grant& grant,
               const RequestTraits& traits,
               const AttemptReport& report);

  /// Reports load learnt from an answer's header before the answer ends, so
  /// that a long download's report isn't late.
  void ReportLoad(const Grant& grant,
                  const LoadReport& load,
                  Duration time_to_first_byte);

  /// Charges one retry to the service's budget, if there is room. `last_end` is
  /// how the attempt before ended: repeating one that ran nowhere is cheaper in
  /// a chain of calls than repeating one that may have run.
  bool MayRetry(const RequestTraits& traits,
                int attempts_so_far,
                AttemptEnd last_end = AttemptEnd::kReset);

  /// When to hedge after sending, or nothing if the class isn't hedged.
  std::optional<Duration> HedgeDelay(const RequestTraits& traits) const;
  /// Charges one hedge to the same budget, if there is room.
  bool MayHedge(const RequestTraits& traits, int attempts_so_far);

  /// Refuses the queued requests whose time is over. Call every few
  /// milliseconds.
  void ExpireWaiters();

  /// Takes the probes that are due and charges them. Call every few
  /// milliseconds.
  std::vector<ProbeOrder> TakeDueProbes();
  void ReportProbe(const ProbeReport& report);

  /// When `ExpireWaiters` or `TakeDueProbes` next has something to do, as far
  /// as is known now.
  std::optional<TimePoint> NextDue() const;

  /// The number of entry instances that the instance list or the peers show
  /// live at this moment, this one included.
  void SetInstanceCount(int live_instances);

  /// Other instances' attempts in flight on a target, as told by peers.
  void SetPeerInFlight(const std::string& peer,
                       const std::string& service,
                       const std::vector<std::pair<std::string, int>>& counts);

  /// Knowledge from peers. These cause no hook calls.
  void LearnDrain(const DrainNotice& notice);
  void LearnQuarantine(const QuarantineNotice& notice);
  void LearnSuspect(const SuspectNotice& notice);

  /// Whether a target was lost with the same request in flight, here or at a
  /// peer, so that news of a second loss may be on its way.
  bool IsSuspect(const RequestTraits& traits) const;
  std::vector<DrainNotice> Drains() const;
  std::vector<QuarantineNotice> Quarantines() const;

  /// This instance's attempts in flight by service and target, zeros left out.
  InFlightCounts InFlight() const;

  std::vector<ServiceStatus> Status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross

#endif  // GUAVACROSS_ROUTING_H_
