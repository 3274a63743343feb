#ifndef GUAVACROSS_POLICY_COLD_SPELL_H_
#define GUAVACROSS_POLICY_COLD_SPELL_H_

#include <optional>

#include "guavacross/time.h"

namespace guavacross::policy {

/// Until when a target is cold, so that it takes only few requests.
///
/// Load pattern: a target has started, or is back after a time in which it got
/// nothing, and crashes if it gets its full share at once. Its registration and
/// its health checks say how long it stays cold. A target that comes back
/// without saying so is assumed to be cold until a health check tells. Not
/// thread safe.
class ColdSpell {
 public:
  /// The target says that it stays cold for `left` more.
  void Begin(Duration left, TimePoint now) {
    m_until = now + left;
    m_is_assumed = false;
  }

  /// The target has come back and may be cold for `time`.
  void Assume(Duration time, TimePoint now) {
    if (!IsCold(now)) {
      m_until = now + time;
      m_is_assumed = true;
    }
  }

  void End() { m_until = TimePoint::min(); }

  /// Processes a health check that says that the target stays cold for `left`
  /// more, or doesn't mention it. Silence ends only what was assumed: an entry
  /// of the registration may be newer than the check.
  void UpdateFromHealth(std::optional<Duration> left, TimePoint now) {
    if (left.has_value() && *left > Duration::zero()) {
      Begin(*left, now);
    } else if (left.has_value() || m_is_assumed) {
      End();
    }
  }

  bool IsCold(TimePoint now) const { return now < m_until; }
  /// Whether nothing but the target's return suggests that it is cold.
  bool is_assumed() const { return m_is_assumed; }
  TimePoint until() const { return m_until; }

 private:
  TimePoint m_until = TimePoint::min();
  bool m_is_assumed = false;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_COLD_SPELL_H_
