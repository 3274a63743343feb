#include "policy/zone_choice.h"

#include <algorithm>

namespace guavacross::policy {

namespace {

constexpr double kBytesPerMegabyte = 1e6;

}  // namespace

double LeavingCost(const ZoneTerms& terms, Duration extra_time) {
  if (terms.m_usual_time <= Duration::zero()) {
    return kMinLeavingCost;
  }
  const double traffic_s =
      terms.m_bytes / kBytesPerMegabyte * Seconds(terms.m_delay_per_megabyte);
  const double way_s = std::max(0.0, Seconds(extra_time));
  return std::clamp((traffic_s + way_s) / Seconds(terms.m_usual_time),
                    kMinLeavingCost, kMaxLeavingCost);
}

void RecentMinimum::Record(Duration value, TimePoint now) {
  if (m_span_start == TimePoint::min() || now - m_span_start >= kSpan) {
    m_previous = m_current;
    m_current = Duration::max();
    m_span_start = now;
  }
  m_current = std::min(m_current, value);
}

Duration RecentMinimum::value() const {
  const Duration least = std::min(m_current, m_previous);
  return least == Duration::max() ? Duration::zero() : least;
}

}  // namespace guavacross::policy
