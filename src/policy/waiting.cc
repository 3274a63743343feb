#include "policy/waiting.h"

#include <algorithm>

namespace guavacross::policy {

namespace {

// Time for a few rounds of probes between availability zones: no request is
// refused while its target is still being selected.
constexpr Duration kMinWaitLimit = std::chrono::milliseconds(80);

// Fraction of the time that the usual work leaves of the objective. Half of the
// answers take longer than the median, some much longer, and while a queue
// stays full every request waits as long as it may.
constexpr double kWaitShare = 0.5;

// Fraction of the time left to its deadline that a request past its objective
// may wait: the rest is for the work, which may take several times as long as
// usual.
constexpr double kPastObjectiveWaitShare = 0.25;

// Limits of the time before a caller retries, without jitter: about the time
// that one request holds a slot, and as long as callers that wait at all are
// likely to.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

// Time before a retry while there is room, without jitter.
constexpr Duration kRetryAfterWithRoom = std::chrono::milliseconds(5);

// Above this utilization targets refuse requests because of their load.
constexpr double kRoomUtilization = 0.8;

// Differences in what callers ask for that aren't due to an earlier attempt.
constexpr Duration kAskedWaitTolerance = std::chrono::milliseconds(4);

}  // namespace

bool IsPastObjective(const WaitBounds& bounds) {
  return bounds.m_latency_objective > Duration::zero() &&
         bounds.m_elapsed + bounds.m_usual_time > bounds.m_latency_objective;
}

Duration LongestWait(const WaitBounds& bounds) {
  const Duration by_deadline =
      std::max(Duration::zero(), bounds.m_deadline_left);
  if (bounds.m_latency_objective <= Duration::zero()) {
    return by_deadline;
  }
  if (IsPastObjective(bounds)) {
    return FromSeconds(kPastObjectiveWaitShare * Seconds(by_deadline));
  }
  const Duration spare = std::min(bounds.m_latency_objective - bounds.m_elapsed,
                                  bounds.m_deadline_left) -
                         bounds.m_usual_time;
  const Duration by_objective = FromSeconds(kWaitShare * Seconds(spare));
  return std::min(by_deadline, std::max(kMinWaitLimit, by_objective));
}

Duration RetryAfter(Duration excess, Random* random) {
  const Duration base_delay =
      std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
  return FromSeconds(Seconds(base_delay) * (1 + random->Uniform()));
}

Duration RetryAfterWithRoom(Random* random) {
  return FromSeconds(Seconds(kRetryAfterWithRoom) * (1 + random->Uniform()));
}

bool HasRoom(double utilization, int waiting_requests) {
  return utilization < kRoomUtilization && waiting_requests == 0;
}

bool HasReturned(Duration asked_wait, Duration longest_asked_wait) {
  return asked_wait > Duration::zero() &&
         longest_asked_wait - asked_wait > kAskedWaitTolerance;
}

void RecentMaximum::Record(Duration value, TimePoint now) {
  if (m_span_start == TimePoint::min() || now - m_span_start >= kSpan) {
    const bool is_previous_recent =
        m_span_start != TimePoint::min() && now - m_span_start < 2 * kSpan;
    m_previous = is_previous_recent ? m_current : Duration::zero();
    m_current = Duration::zero();
    m_span_start = now;
  }
  m_current = std::max(m_current, value);
}

}  // namespace guavacross::policy
