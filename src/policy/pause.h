#ifndef GUAVACROSS_POLICY_PAUSE_H_
#define GUAVACROSS_POLICY_PAUSE_H_

#include <algorithm>

#include "guavacross/time.h"
#include "policy/random.h"

namespace guavacross::policy {

/// Until when one target has asked this instance for no further requests.
///
/// A target that sheds load names a time for which it wants nothing from the
/// instance that it refused. Probes count as requests. The pause is between the
/// target and this instance: it isn't told to others, and ends early only with
/// the target's run. Not thread safe.
class Pause {
 public:
  /// The target asked for `duration` without requests. A shorter request
  /// doesn't end a longer pause.
  void Request(Duration duration, TimePoint now) {
    m_until = std::max(m_until, now + std::min(duration, kLongest));
  }

  bool IsActive(TimePoint now) const { return now < m_until; }
  /// When the pause ends; in the past if there is none.
  TimePoint until() const { return m_until; }

 private:
  // Keeps times far from the limits of their type.
  static constexpr Duration kLongest = std::chrono::hours(24);

  TimePoint m_until = TimePoint::min();
};

/// Limits of the time over which callers return after a pause.
inline constexpr Duration kMinReturnSpread = std::chrono::milliseconds(50);
inline constexpr Duration kMaxReturnSpread = std::chrono::seconds(1);

/// How long a caller should wait before it retries a request that was refused
/// because all targets pause for at least `remaining`.
///
/// Returns are spread over a time as long as the pause, up to a second, so that
/// the targets aren't met by all callers at the moment at which they take
/// requests again. Pure but for `random`.
inline Duration RetryAfterPause(Duration remaining, Random* random) {
  const Duration spread =
      std::clamp(remaining, kMinReturnSpread, kMaxReturnSpread);
  return remaining + FromSeconds(Seconds(spread) * random->Uniform());
}

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_PAUSE_H_
