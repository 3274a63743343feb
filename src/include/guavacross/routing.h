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

/// Routing: the policy of all services behind one thread-safe interface.
///
/// For each request the data path calls `Acquire`, sends the request to the
/// granted target, reports what happened with `Release`, and asks
/// `TryChargeRetry` and `HedgeDelay` before it sends another attempt.
/// `TakeDueProbes` returns the probes to send; their results are passed to
/// `ReportProbe`.
namespace guavacross {

/// What the policy needs to know about a request.
struct RequestTraits {
  std::string m_service;
  std::string m_class_name;
  std::string m_tenant;
  /// Hash of method, path and body; the same when a request is sent again.
  std::uint64_t m_fingerprint = 0;
  /// When the caller's deadline ends; `TimePoint::max()` means never.
  TimePoint m_deadline = TimePoint::max();
  /// How long the caller said that it waits for this attempt of its own, zero
  /// if it didn't say, and when the attempt arrived.
  Duration m_caller_timeout{};
  TimePoint m_arrived;
  /// Size of the request's body; 0 if it isn't known.
  std::uint64_t m_body_bytes = 0;
  /// Load balancers that this request has passed before this one.
  int m_hops = 0;
  /// Whether a peer that has lost the path to the targets has sent it here; it
  /// isn't passed on again.
  bool m_relayed = false;
  /// Attempts that the peer has made before.
  int m_attempts_before = 0;

  bool operator==(const RequestTraits&) const = default;
};

/// Permission to send one attempt to one target, or to the peer that is to send
/// it to one.
struct Grant {
  std::uint64_t m_id = 0;
  std::string m_service;
  /// Empty if `m_peer` is set.
  std::string m_target;
  /// The peer that sends the request on this instance's behalf; empty if this
  /// instance sends it.
  std::string m_peer;
  /// The availability zone of the target or the peer.
  std::string m_zone;
  Endpoint m_address;
  TimePoint m_granted_at;

  bool operator==(const Grant&) const = default;
};

/// Another instance to which requests can be passed on while this one has no
/// path to their targets.
struct RelayPeer {
  std::string m_name;
  std::string m_zone;
  /// Where it accepts requests of other instances.
  Endpoint m_address;
  /// Share of its connections that requests occupy, 0 to 1.
  double m_load = 0;

  bool operator==(const RelayPeer&) const = default;
};

/// The hash by which instances name a service to each other.
std::uint32_t ServiceHash(const std::string& service);

/// What an instance says of its path to the targets.
struct ReachState {
  /// It gets no answers from targets of any service.
  bool m_lost = false;
  /// Time since a target last answered it; nothing if none has.
  std::optional<Duration> m_answer_age;
  /// Hashes of the services of which it reaches no target or only a few. See
  /// `ServiceHash`.
  std::vector<std::uint32_t> m_impaired;
  /// Peers that reach targets, and the time since a target last answered them.
  /// Only an instance that has lost the path names them.
  std::vector<std::pair<std::string, Duration>> m_reaching_peers;

  bool operator==(const ReachState&) const = default;
};

/// How an attempt ended, as the policy distinguishes it.
enum class AttemptEnd {
  /// A complete answer that isn't a server error.
  kAnswered,
  /// A complete answer with a server error (5xx); the request may have run.
  kServerError,
  /// Refused with the not-run header.
  kRefusedNotRun,
  /// Another backend server now has the address; it did not run the request.
  kWrongTarget,
  /// Refused by a peer that has no path to the targets or can't take requests.
  kPeerRefused,
  kConnectFailed,
  kReset,
  /// Bytes that aren't an answer in the protocol, or not the target's own
  /// answer; the request may have run.
  kBadAnswer,
  kTimeout,
  /// Cancelled by this instance: the caller disconnected or another copy was
  /// answered first.
  kCancelled,
};

/// What a backend server reports about itself in answers to requests and
/// probes.
struct LoadReport {
  /// Requests in flight on the backend server, from all instances.
  std::optional<int> m_in_flight;
  /// Current processing time as a multiple of the usual one, raised for example
  /// by other load on the same machine.
  std::optional<double> m_slowdown;
  bool m_draining = false;
  /// How long the backend server wants no further request from this instance;
  /// zero if it didn't ask for a pause.
  Duration m_pause{};
  /// Identifies one run of the backend server; empty if unknown.
  std::string m_incarnation;
  /// Requests per second that the backend server takes from all instances
  /// together; 0 if its answer names no limit. Nothing if there is no answer,
  /// or one whose limit can't be read.
  std::optional<double> m_request_limit;
  /// How much longer the backend server stays cold, if it says so.
  std::optional<Duration> m_warm_up_left;
  /// The limit as it was received, if it can't be read.
  std::string m_unreadable_limit;

  bool operator==(const LoadReport&) const = default;
};

/// The report on an attempt that has ended.
struct AttemptReport {
  AttemptEnd m_end = AttemptEnd::kAnswered;
  /// Time from sending to the first byte of the answer.
  Duration m_latency{};
  /// Whether any byte of an answer was received.
  bool m_answer_begun = false;
  /// Size of the answer's body; nothing if it isn't known.
  std::optional<std::uint64_t> m_answer_bytes;
  LoadReport m_load;

  bool operator==(const AttemptReport&) const = default;
};

/// A probe to be sent now, already charged to the budget.
struct ProbeOrder {
  std::string m_service;
  std::string m_target;
  Endpoint m_address;
  Duration m_timeout{};
  /// The path to request; empty for the default.
  std::string m_path;

  bool operator==(const ProbeOrder&) const = default;
};

/// The result of a probe; without `m_load` it failed or timed out.
struct ProbeReport {
  std::string m_service;
  std::string m_target;
  std::optional<LoadReport> m_load;
  Duration m_latency{};
  /// Whether the target answered at all.
  bool m_answered = false;

  bool operator==(const ProbeReport&) const = default;
};

/// Tells other instances of a draining backend server.
struct DrainNotice {
  std::string m_service;
  std::string m_target;
  /// The run of the backend server that is draining; empty if unknown.
  std::string m_incarnation;

  auto operator<=>(const DrainNotice&) const = default;
};

/// Tells other instances of the limit that a backend server names.
struct LimitNotice {
  std::string m_service;
  std::string m_target;
  /// The run of the backend server; empty if unknown.
  std::string m_incarnation;
  /// Requests per second from all instances together; 0 if the backend server
  /// names no limit any more.
  double m_limit = 0;
  /// Time since the backend server last said so.
  Duration m_age{};

  bool operator==(const LimitNotice&) const = default;
};

/// A request that is refused because it has crashed backend servers.
struct QuarantineNotice {
  std::uint64_t m_fingerprint = 0;
  /// Time that remains until the quarantine ends.
  Duration m_remaining{};

  bool operator==(const QuarantineNotice&) const = default;
};

/// A target that was lost while the request with this fingerprint was in flight
/// on it.
struct SuspectNotice {
  std::uint64_t m_fingerprint = 0;
  std::string m_service;
  std::string m_target;

  auto operator<=>(const SuspectNotice&) const = default;
};

/// One target's state for the status page and for the exchange between
/// instances.
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
  /// Time that remains of a pause that the backend server asked for.
  Duration m_pause_left{};
  /// The limit that the backend server names, in requests per second from all
  /// instances together, and this instance's share of it; 0 without a limit.
  double m_request_limit = 0;
  double m_request_share = 0;
  /// Time that the target stays cold, and this instance's share of the rate
  /// that it takes meanwhile, in requests per second.
  Duration m_cold_left{};
  double m_cold_share = 0;

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
  /// Attempts sent to other availability zones, and how many of them while no
  /// target of this zone took requests.
  std::uint64_t m_left_zone = 0;
  std::uint64_t m_left_empty_zone = 0;
  /// Number of probes that the budget has allowed since the start.
  double m_probes_allowed = 0;
  bool m_panic = false;
  /// See `policy::IsCrowded`.
  bool m_crowded = false;

  bool operator==(const ServiceStatus&) const = default;
};

/// Attempts in flight by service and target.
using InFlightCounts = std::vector<
    std::pair<std::string, std::vector<std::pair<std::string, int>>>>;

/// The policy that chooses targets; all but `kGuavacross` are baselines for
/// comparison.
enum class ChoicePolicy { kGuavacross, kRandom, kRoundRobin, kLeastInFlight };

/// Parts of the policy that can be disabled one by one to measure the effect of
/// each.
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
  kSubsets,
};

/// The name and the availability zone of an instance.
struct InstancePlace {
  std::string m_name;
  std::string m_zone;

  auto operator<=>(const InstancePlace&) const = default;
};

/// Construction parameters of a router.
struct RouterOptions {
  /// The instance's name; empty if targets aren't divided among instances.
  std::string m_name;
  std::string m_zone;
  ChoicePolicy m_policy = ChoicePolicy::kGuavacross;
  /// See `policy::ZoneTerms::m_delay_per_megabyte`.
  Duration m_zone_delay_per_megabyte{};
  /// Whether requests are passed on to peers while targets can't be reached.
  bool m_relays = false;
  /// Disabled mechanisms; none in production.
  std::set<Mechanism> m_disabled;
  std::uint64_t m_seed = 0;
  Clock m_clock;
};

/// Hooks through which the router notifies the rest of the program. They are
/// called without holding any router lock, on the thread whose call caused
/// them.
struct RouterHooks {
  std::function<void(const DrainNotice&)> m_on_drain;
  std::function<void(const LimitNotice&)> m_on_limit;
  std::function<void(const QuarantineNotice&)> m_on_quarantine;
  std::function<void(const SuspectNotice&)> m_on_suspect;
  /// Probes to send immediately, in addition to those of
  /// `Router::TakeDueProbes`.
  std::function<void(std::vector<ProbeOrder>)> m_on_probes;
  /// The path to the targets of a service has been lost, or is back. The name
  /// is empty for the targets of all services.
  std::function<void(const std::string& service, bool lost)> m_on_reach;
};

/// Called once with a grant or the reason for the refusal. Takes a plain value,
/// because a `Result` that is created outside of the callback would lose its
/// error.
using GrantCallback = std::function<void(util::Expected<Grant>)>;

/// The policy of all services of one instance. All functions are thread safe.
class Router {
 public:
  Router(RouterOptions options, RouterHooks hooks);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Puts a service's configuration in force, keeping the state of the targets
  /// that remain. Attempts in flight on removed targets continue.
  void Configure(const ServiceConfig& config);
  void Remove(const std::string& service);

  /// The configuration in force for a service, or null.
  std::shared_ptr<const ServiceConfig> FindService(
      const std::string& service) const;

  /// Requests a target, or a peer while targets can't be reached. `on_grant` is
  /// called once: before the return or later,
  /// on whichever thread frees a slot or calls `ExpireWaiters`. The callback
  /// must post its work to the caller's own thread.
  ///
  /// @return a ticket for `CancelWait`.
  /// Errors to the callback: `kUnknownService`, `kQueueFull`, `kQueueTimeout`,
  /// `kNoTarget`, `kNoPath`, `kQuarantined`, `kDeadlineExpired`.
  std::uint64_t Acquire(const RequestTraits& traits,
                        const std::vector<std::string>& targets_to_avoid,
                        GrantCallback on_grant);

  /// Removes a request from the queue. Its callback is not called afterwards,
  /// unless it is already running.
  void CancelWait(const std::string& service, std::uint64_t ticket);

  /// Ends a granted attempt and frees its slot. Call exactly once per grant.
  void Release(const Grant& grant,
               const RequestTraits& traits,
               const AttemptReport& report);

  /// Reports the load from an answer's header before the answer ends, so that a
  /// long download doesn't delay it.
  void ReportLoad(const Grant& grant,
                  const LoadReport& load,
                  Duration time_to_first_byte);

  /// Charges one retry to the service's budget and returns true, if the budget
  /// allows it. `last_end` is how the previous attempt ended: in a chain of
  /// calls it is cheaper to repeat an attempt that did not run than one that
  /// may have run.
  bool TryChargeRetry(const RequestTraits& traits,
                      int attempts_so_far,
                      AttemptEnd last_end = AttemptEnd::kReset);

  /// Whether a request can't meet the latency objective of its class any more,
  /// counted from its caller's first attempt, even if it is sent at once.
  bool IsPastObjective(const RequestTraits& traits) const;

  /// How long the caller of a request that targets refused should wait before
  /// it retries; zero if the service is unknown.
  Duration RetryAfterRefusal(const std::string& service);

  /// Delay from sending an attempt to sending its hedge, or nothing if the
  /// class isn't hedged.
  std::optional<Duration> HedgeDelay(const RequestTraits& traits) const;
  /// Charges one hedge to the same budget and returns true, if the budget
  /// allows it.
  bool TryChargeHedge(const RequestTraits& traits, int attempts_so_far);

  /// Refuses the queued requests whose waiting time has expired. Call every few
  /// milliseconds.
  void ExpireWaiters();

  /// Returns the probes that are due and charges them to the budget. Call every
  /// few milliseconds.
  std::vector<ProbeOrder> TakeDueProbes();
  void ReportProbe(const ProbeReport& report);

  /// When `ExpireWaiters` or `TakeDueProbes` next has work, as far as is known
  /// now.
  std::optional<TimePoint> NextDue() const;

  /// Sets the number of entry instances that are live according to the instance
  /// list or the peers, including this one.
  void SetInstanceCount(int live_instances);

  /// Sets the live instances, this one included unless it is leaving, among
  /// which the targets of each service and their request limits are divided.
  void SetInstances(const std::vector<InstancePlace>& instances);

  /// Sets the live peers that accept requests of other instances.
  void SetRelayPeers(std::vector<RelayPeer> peers);
  /// Records what a peer says of its path to the targets.
  void LearnReach(const std::string& peer, const ReachState& reach);
  /// This instance's path to the targets, for its peers.
  ReachState Reach() const;

  /// Sets a peer's attempts in flight on a service's targets, as it reported
  /// them.
  void SetPeerInFlight(const std::string& peer,
                       const std::string& service,
                       const std::vector<std::pair<std::string, int>>& counts);

  /// Apply notices from peers. They don't call the hooks.
  ///
  /// `LearnDrain` returns whether the target wasn't known to drain, and
  /// `LearnLimit` whether the target's limit has changed.
  bool LearnDrain(const DrainNotice& notice);
  bool LearnLimit(const LimitNotice& notice);
  void LearnQuarantine(const QuarantineNotice& notice);
  void LearnSuspect(const SuspectNotice& notice);

  /// Whether a target was lost with the same request in flight, here or at a
  /// peer, so that the notice of a second loss may still be on its way.
  bool IsSuspect(const RequestTraits& traits) const;
  std::vector<DrainNotice> Drains() const;
  /// The limits that targets name, and those that they don't name any more.
  std::vector<LimitNotice> Limits() const;
  std::vector<QuarantineNotice> Quarantines() const;

  /// This instance's attempts in flight by service and target, without zeros.
  InFlightCounts InFlight() const;

  std::vector<ServiceStatus> Status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross

#endif  // GUAVACROSS_ROUTING_H_
