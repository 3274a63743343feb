#ifndef GUAVACROSS_FEED_FETCH_TURN_H_
#define GUAVACROSS_FEED_FETCH_TURN_H_

#include <optional>

#include "guavacross/time.h"

namespace guavacross::feed {

/// Limits an instance to one fetch of a stream's records at a time.
///
/// Several peers offer the same records within milliseconds. A peer that has
/// lost power after its offer never answers, so that a fetch without an answer
/// makes way for one from another peer long before its timeout. Not thread
/// safe.
class FetchTurn {
 public:
  /// How long a fetch may be unanswered before another one may begin: many
  /// round trips between availability zones.
  static constexpr Duration kPatience = std::chrono::milliseconds(150);

  /// Begins a fetch, if none is in progress or the last one is overdue.
  ///
  /// @return whether to fetch; then pass the same time to `End`.
  bool TryBegin(TimePoint now) {
    if (m_begun_at.has_value() && now - *m_begun_at < kPatience) {
      return false;
    }
    m_begun_at = now;
    return true;
  }

  /// The fetch that began at `begun_at` was answered or has failed.
  void End(TimePoint begun_at) {
    if (m_begun_at == begun_at) {
      m_begun_at.reset();
    }
  }

 private:
  std::optional<TimePoint> m_begun_at;
};

}  // namespace guavacross::feed

#endif  // GUAVACROSS_FEED_FETCH_TURN_H_
