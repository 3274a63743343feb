#ifndef GUAVACROSS_POLICY_PROBE_BUDGET_H_
#define GUAVACROSS_POLICY_PROBE_BUDGET_H_

#include <utility>
#include <vector>

#include "guavacross/document.h"
#include "guavacross/time.h"

/// Limits on the cost of load probes: the rate that the document allows, and
/// the token bucket that keeps one instance to its share of it.
namespace guavacross::policy {

/// Probes per second that all instances together may send to a service whose
/// targets have `total_slots` slots: the lower of the configured rate and the
/// rate at which probes take the configured share of the slots' time.
double AllowedProbeRate(const ProbeConfig& config, int total_slots);

/// The largest number of live instances in a sliding window of time.
///
/// A lagging instance list may show fewer instances than are running; dividing
/// a budget by the current count would then overspend it. Not thread safe.
class InstanceCountWindow {
 public:
  /// How long a count is taken into account.
  static constexpr Duration kWindow = std::chrono::minutes(5);

  /// Records that `live_instances` instances are live at `now`.
  void Record(int live_instances, TimePoint now);

  /// The largest count within the window, at least 1.
  int Largest(TimePoint now) const;

 private:
  // Counts in descending order, with the time at which each last held. The last
  // entry is the current count, which doesn't age.
  std::vector<std::pair<int, TimePoint>> m_counts;
};

/// One instance's token bucket for the probes of one service.
///
/// A probe is charged when it is sent and never refunded. The bucket holds at
/// most `kDefaultBurst` probes, unless another burst is set, so that an
/// instance doesn't send the probes it missed during a pause. Not thread safe.
class ProbeBudget {
 public:
  /// Default number of probes that may be sent at once after an idle period.
  static constexpr double kDefaultBurst = 1;

  /// Sets the rate from `now` on, in probes per second of this instance.
  void SetRate(double probes_per_second, TimePoint now);

  /// Sets the number of probes that may be sent at once after an idle period.
  /// The first call also grants that many probes, since nothing is known of any
  /// target at the start.
  void SetBurst(double probes);

  /// Charges one probe. Returns false, charging nothing, if the bucket is
  /// empty.
  bool Take(TimePoint now);
  /// Whether a probe may be sent now.
  bool HasProbe(TimePoint now) {
    Refill(now);
    return m_tokens >= 1;
  }

  /// When the next probe may be sent; `TimePoint::max()` if never.
  TimePoint NextProbeTime(TimePoint now) const;

  /// Probes that the rate has allowed since the start, whether sent or not.
  double TotalAllowed(TimePoint now) const;

 private:
  void Refill(TimePoint now);

  double m_rate = 0;
  double m_burst = kDefaultBurst;
  bool m_initial_burst_granted = false;
  double m_tokens = 0;
  double m_allowed = 0;
  TimePoint m_refilled_at{};
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_PROBE_BUDGET_H_
