#ifndef GUAVACROSS_POLICY_PROBE_BUDGET_H_
#define GUAVACROSS_POLICY_PROBE_BUDGET_H_

#include <utility>
#include <vector>

#include "guavacross/document.h"
#include "guavacross/time.h"

/// What measuring load may cost: the rate that the document allows, and the
/// token bucket by which one instance keeps to its part of it.
namespace guavacross::policy {

/// Probes per second that all instances together may send to a service whose
/// targets have `total_slots` slots: the lesser of the agreed rate and the rate
/// at which probes take the agreed share of the slots' time.
double AllowedProbeRate(const ProbeConfig& config, int total_slots);

/// The largest number of live instances seen in the last minutes.
///
/// A lagging instance list may show fewer instances than run; dividing a budget
/// by a momentary count would then overspend it. Not thread safe.
class InstanceCountWindow {
 public:
  /// How long a count goes on counting.
  static constexpr Duration kWindow = std::chrono::minutes(5);

  /// Records that `live_instances` instances are live at `now`.
  void Record(int live_instances, TimePoint now);

  /// The largest count within the window, at least 1.
  int Largest(TimePoint now) const;

 private:
  // Counts in falling order, with the time at which each was last true. The
  // last entry is the count that holds at present and doesn't age.
  std::vector<std::pair<int, TimePoint>> m_counts;
};

/// One instance's token bucket for the probes of one service.
///
/// A probe is charged when it is sent and never refunded. The bucket holds at
/// most `kBurst` probes, unless another burst is set, so that an instance that
/// was paused doesn't make up for what it missed. Not thread safe.
class ProbeBudget {
 public:
  /// Probes that may be sent at once after a quiet time.
  static constexpr double kBurst = 1;

  /// Sets the rate from `now` on, in probes per second of this instance.
  void SetRate(double probes_per_second, TimePoint now);

  /// Sets the most probes that may be sent at once after a quiet time, and
  /// grants as many for the start, when nothing is known of any target.
  void SetBurst(double probes);

  /// Charges one probe. Returns false, charging nothing, if the bucket is
  /// empty.
  bool Take(TimePoint now);

  /// When the next probe may be sent; `TimePoint::max()` if never.
  TimePoint NextAt(TimePoint now) const;

  /// Probes that the rate has allowed since the start, whether sent or not.
  double Allowed(TimePoint now) const;

 private:
  void Refill(TimePoint now);

  double m_rate = 0;
  double m_burst = kBurst;
  bool m_granted_start = false;
  double m_tokens = 0;
  double m_allowed = 0;
  TimePoint m_refilled_at{};
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_PROBE_BUDGET_H_
