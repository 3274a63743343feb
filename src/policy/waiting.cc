#include "policy/waiting.h"

#include <algorithm>

namespace guavacross::policy {

namespace {

// Time for a few rounds of probes between availability zones: nobody is refused
// because his target is being looked for.
constexpr Duration kShortestWait = std::chrono::milliseconds(80);

// Part of the time that the work leaves of the objective. Half of the answers
// take longer than the median, some much longer, and a queue that is full for
// long makes everybody wait as long as it allows.
constexpr double kWaitShare = 0.5;

// Part of what is left until its deadline for which a request that can't meet
// its objective may wait: the rest is for the work, which may take several
// times as long as usual.
constexpr double kLateWaitShare = 0.25;

// Between these a caller is told to come back: about the time that one request
// holds a slot, and as long as callers that wait at all are likely to.
constexpr Duration kSoonestReturn = std::chrono::milliseconds(150);
constexpr Duration kLatestReturn = std::chrono::seconds(2);

}  // namespace

bool IsPastObjective(const WaitBounds& bounds) {
  return bounds.m_objective > Duration::zero() &&
         bounds.m_elapsed + bounds.m_usual_time > bounds.m_objective;
}

Duration LongestWait(const WaitBounds& bounds) {
  const Duration by_deadline =
      std::max(Duration::zero(), bounds.m_deadline_left);
  if (bounds.m_objective <= Duration::zero()) {
    return by_deadline;
  }
  if (IsPastObjective(bounds)) {
    return FromSeconds(kLateWaitShare * Seconds(by_deadline));
  }
  const Duration spare =
      std::min(bounds.m_objective - bounds.m_elapsed, bounds.m_deadline_left) -
      bounds.m_usual_time;
  const Duration by_objective = FromSeconds(kWaitShare * Seconds(spare));
  return std::min(by_deadline, std::max(kShortestWait, by_objective));
}

Duration RetryAfter(Duration excess, Random* random) {
  const Duration earliest = std::clamp(excess, kSoonestReturn, kLatestReturn);
  return FromSeconds(Seconds(earliest) * (1 + random->Uniform()));
}

void RecentMaximum::Record(Duration value, TimePoint now) {
  if (m_span_began == TimePoint::min() || now - m_span_began >= kSpan) {
    const bool just_before =
        m_span_began != TimePoint::min() && now - m_span_began < 2 * kSpan;
    m_before = just_before ? m_current : Duration::zero();
    m_current = Duration::zero();
    m_span_began = now;
  }
  m_current = std::max(m_current, value);
}

}  // namespace guavacross::policy
