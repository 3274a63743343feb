#ifndef GUAVACROSS_LOG_SERVICE_BACKOFF_H_
#define GUAVACROSS_LOG_SERVICE_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "guavacross/time.h"

namespace guavacross::log_service {

/// Exponential backoff with full jitter, so that clients that failed at the
/// same time don't retry at the same time.
///
/// Source: M. Brooker, "Exponential Backoff and Jitter", AWS, 2015.
class Backoff {
 public:
  Backoff(Duration first, Duration max, std::uint64_t seed)
      : m_first(first), m_max(max), m_ceiling(first), m_random(seed) {}

  /// Returns the delay before the next attempt, at least half of the first
  /// delay, and doubles the upper bound up to the maximum.
  Duration Next() {
    const Duration delay = Between(m_first / 2, m_ceiling);
    m_ceiling = std::min(m_ceiling * 2, m_max);
    return delay;
  }

  /// Returns to the first delay. To be called after a success.
  void Reset() { m_ceiling = m_first; }

  /// Returns a uniformly distributed duration from `low` to `high`.
  Duration Between(Duration low, Duration high) {
    std::uniform_int_distribution<Duration::rep> distribution(
        low.count(), std::max(low, high).count());
    return Duration(distribution(m_random));
  }

 private:
  Duration m_first;
  Duration m_max;
  Duration m_ceiling;
  std::mt19937_64 m_random;
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_BACKOFF_H_
