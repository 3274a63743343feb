#ifndef GUAVACROSS_POLICY_TARGET_LOAD_H_
#define GUAVACROSS_POLICY_TARGET_LOAD_H_

#include "guavacross/time.h"

namespace guavacross::policy {

/// How long knowledge about a target stays useful.
struct LoadAging {
  /// A reported in-flight count counts less and less over this time.
  Duration m_reading_life = std::chrono::milliseconds(500);
  /// A report younger than this is evidence of free slots.
  Duration m_evidence_life = std::chrono::milliseconds(50);
  /// Requests that may be sent on the strength of one reading.
  int m_uses_per_reading = 2;
  /// A slow or failing target is taken for a usual one again at this rate.
  Duration m_slowness_half_life = std::chrono::milliseconds(500);

  bool operator==(const LoadAging&) const = default;
};

/// What one instance knows of one target's load.
///
/// The load is this instance's own attempts in flight, which are known exactly,
/// and those of the other instances: the last count that the target reported
/// less the own attempts at that time. A reading so never goes stale by this
/// instance's own doing; against what the others do it ages towards a fallback
/// and is used a bounded number of times (Wydrowski et al., "Load is not what
/// you should balance: Introducing Prequal", NSDI 2024). Not thread safe.
class TargetLoad {
 public:
  /// Slowness recorded for an attempt that failed: a target that fails fast
  /// must not look fast.
  static constexpr double kFailureSlowness = 10;

  /// An attempt was sent to the target.
  void Sent();
  /// An attempt has ended.
  void Ended();
  /// The target reported `in_flight` requests, from all instances, at `at`.
  /// A report that is older than the last one is left aside.
  void Report(int in_flight, TimePoint at);
  /// The target reported at `at` that work takes `slowdown` times longer than
  /// usual there.
  void ReportSlowdown(double slowdown, TimePoint at);
  /// The other instances tell that they have `in_flight` attempts there.
  void PeersReport(int in_flight, TimePoint at);

  /// Records an answer that took `ratio` times what is usual for its class.
  /// Ratios are averaged by their logarithms: service times vary widely, and
  /// one long request must not make a target look slow.
  void RecordSlowness(double ratio, const LoadAging& aging, TimePoint now);

  /// Records an attempt that failed.
  void RecordFailure(const LoadAging& aging, TimePoint now);

  /// Own attempts in flight.
  int own() const { return m_own; }
  /// Attempts sent since the last report.
  int uses() const { return m_uses; }
  /// Other instances' attempts at the time of the last report.
  int reported_others() const { return m_others; }

  /// When the last report was made; `TimePoint::min()` if there was none.
  TimePoint reported_at() const { return m_reported_at; }

  /// Whether the last report is young and hasn't been used up.
  bool IsFresh(const LoadAging& aging, TimePoint now) const;
  /// The time since the last report; very long if there was none.
  Duration ReadingAge(TimePoint now) const;
  /// Whether the other instances have told for a while that they don't use the
  /// target, and its last report agrees. Their word alone isn't enough: nobody
  /// uses a target that is down, and all come when it is back.
  bool IsUnusedByPeers(const LoadAging& aging, TimePoint now) const;

  /// The estimate of other instances' attempts in flight. `usual` stands in for
  /// what isn't known: the average over the service's targets.
  double Others(const LoadAging& aging, double usual, TimePoint now) const;

  /// How many times longer work takes there. A target's last word, which
  /// neighbours on its machine make outdated many times a second, fades towards
  /// what is `usual` among the service's targets.
  double Slowdown(double usual, TimePoint now) const;

  /// How many times slower than usual the target answers; faded towards 1.
  double Slowness(const LoadAging& aging, TimePoint now) const;

 private:
  void Blend(double ratio, double gain, const LoadAging& aging, TimePoint now);
  double LogSlowness(const LoadAging& aging, TimePoint now) const;

  int m_own = 0;
  int m_uses = 0;
  int m_others = 0;
  int m_peers = 0;
  TimePoint m_reported_at = TimePoint::min();
  TimePoint m_peers_at = TimePoint::min();
  // Since when the other instances tell that they don't use the target.
  TimePoint m_unused_since = TimePoint::max();
  double m_slowdown = 1;
  TimePoint m_slowdown_at = TimePoint::min();
  double m_log_slowness = 0;
  TimePoint m_slowness_at = TimePoint::min();
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_TARGET_LOAD_H_
