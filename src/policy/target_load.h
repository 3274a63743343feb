#ifndef GUAVACROSS_POLICY_TARGET_LOAD_H_
#define GUAVACROSS_POLICY_TARGET_LOAD_H_

#include "guavacross/time.h"

namespace guavacross::policy {

/// How long information about a target's load stays valid.
struct LoadAging {
  /// Time in which the weight of a reported in-flight count falls to zero.
  Duration m_report_lifetime = std::chrono::milliseconds(500);
  /// A report younger than this is evidence of free slots.
  Duration m_max_evidence_age = std::chrono::milliseconds(50);
  /// Attempts that may be based on one report.
  int m_max_uses_per_report = 2;
  /// Half-life of the slowness recorded for a slow or failing target.
  Duration m_slowness_half_life = std::chrono::milliseconds(500);

  bool operator==(const LoadAging&) const = default;
};

/// One instance's estimate of one target's load.
///
/// The load is the sum of this instance's own attempts in flight, which are
/// known exactly, and those of the other instances: the last count that the
/// target reported minus the own attempts at that time. A report is thus not
/// outdated by this instance's own attempts; because of those of the other
/// instances, it ages towards a fallback and is used a limited number of times
/// (Wydrowski et al., "Load is not what you should balance: Introducing
/// Prequal", NSDI 2024). Not thread safe.
class TargetLoad {
 public:
  /// Slowness recorded for a failed attempt: a target that fails fast must not
  /// appear fast.
  static constexpr double kFailureSlowness = 10;

  /// An attempt was sent to the target.
  void Sent();
  /// An attempt has ended.
  void Ended();
  /// The target reported `in_flight` requests, from all instances, at `at`. A
  /// report that is older than the last one is ignored.
  void Report(int in_flight, TimePoint at);
  /// The target reported at `at` that its service times are `slowdown` times
  /// the usual ones.
  void ReportSlowdown(double slowdown, TimePoint at);
  /// The other instances together reported `in_flight` attempts on the target
  /// at `at`.
  void PeersReport(int in_flight, TimePoint at);

  /// Records an answer that took `ratio` times the usual latency of its class.
  /// Ratios are averaged on a logarithmic scale: service times vary widely, and
  /// one long request must not make a target appear slow.
  void RecordSlowness(double ratio, const LoadAging& aging, TimePoint now);

  void RecordFailure(const LoadAging& aging, TimePoint now);

  /// Own attempts in flight.
  int own() const { return m_own; }
  /// Attempts sent since the last report.
  int attempts_since_report() const { return m_attempts_since_report; }
  /// Other instances' attempts at the time of the last report.
  int reported_peer_attempts() const { return m_peer_attempts; }

  /// When the last report was made; `TimePoint::min()` if there was none.
  TimePoint reported_at() const { return m_reported_at; }

  /// Whether the last report is recent and may still be used for an attempt.
  bool IsFresh(const LoadAging& aging, TimePoint now) const;
  /// The time since the last report; `Duration::max()` if there was none.
  Duration ReportAge(TimePoint now) const;
  /// Whether the other instances have reported for some time that they don't
  /// use the target, and its last report agrees. The peers' reports alone
  /// aren't enough: no instance uses a target that is down, and all send to it
  /// once it is back.
  bool IsUnusedByPeers(const LoadAging& aging, TimePoint now) const;

  /// The estimated attempts of the other instances in flight. `usual`, the
  /// average over the service's targets, is used where nothing is known.
  double PeerAttempts(const LoadAging& aging,
                      double usual,
                      TimePoint now) const;

  /// The target's service time as a multiple of the usual one. Other load on
  /// the target's machine outdates a reported value many times a second, so it
  /// decays towards `usual`, the value of the service's targets.
  double Slowdown(double usual, TimePoint now) const;

  /// The observed latency as a multiple of the usual one, decayed towards 1.
  double Slowness(const LoadAging& aging, TimePoint now) const;

 private:
  void UpdateSlowness(double ratio,
                      double gain,
                      const LoadAging& aging,
                      TimePoint now);
  double LogSlowness(const LoadAging& aging, TimePoint now) const;

  int m_own = 0;
  int m_attempts_since_report = 0;
  int m_peer_attempts = 0;
  int m_peers_in_flight = 0;
  TimePoint m_reported_at = TimePoint::min();
  TimePoint m_peers_reported_at = TimePoint::min();
  // Since when the other instances have reported that they don't use the
  // target.
  TimePoint m_unused_since = TimePoint::max();
  double m_slowdown = 1;
  TimePoint m_slowdown_at = TimePoint::min();
  double m_log_slowness = 0;
  TimePoint m_slowness_at = TimePoint::min();
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_TARGET_LOAD_H_
