#ifndef GUAVACROSS_POLICY_ZONE_CHOICE_H_
#define GUAVACROSS_POLICY_ZONE_CHOICE_H_

#include "guavacross/time.h"

/// When a request leaves its availability zone.
///
/// Load pattern: a zone's own targets are too few at times, slow or gone, while
/// other zones have room; traffic between zones takes time and costs money.
/// Each request compares what targets cost it: one in another zone costs more
/// by the time of the way and by the bytes that cross the border. So requests
/// leave in the order in which it pays, and exactly as many as its own zone's
/// targets can't serve as well. No instance has to know what the others send:
/// all compare the loads that the same targets report.
namespace guavacross::policy {

/// The cost of leaving the zone for a request whose traffic isn't known, as a
/// share of the usual service time.
inline constexpr double kMinLeavingCost = 0.2;

/// The most that leaving the zone may cost: a request whose own zone has
/// no target that is responsive leaves, whatever it carries.
inline constexpr double kMaxLeavingCost = 1.2;

/// What leaving its zone means for a request.
struct ZoneTerms {
  /// Usual time to an answer in the request's class; zero if unknown.
  Duration m_usual_time{};
  /// Bytes of the request and of the expected answer.
  double m_bytes = 0;
  /// The delay of a request that is as bad as a megabyte between zones; zero if
  /// only time counts.
  Duration m_delay_per_megabyte{};

  bool operator==(const ZoneTerms&) const = default;
};

/// The cost of sending a request to a zone that is `extra_time` farther away,
/// there and back, as a share of the usual service time. Pure.
double LeavingCost(const ZoneTerms& terms, Duration extra_time);

/// The shortest of the recent times of a quantity, such as those of probes to a
/// zone: the time of the way without waiting. Not thread safe.
class RecentMinimum {
 public:
  void Record(Duration value, TimePoint now);
  /// Zero if nothing was recorded.
  Duration value() const;

 private:
  // A value is kept for one to two of these.
  static constexpr Duration kSpan = std::chrono::seconds(10);

  TimePoint m_span_start = TimePoint::min();
  Duration m_current = Duration::max();
  Duration m_previous = Duration::max();
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_ZONE_CHOICE_H_
