#ifndef GUAVACROSS_UTIL_MANUAL_CLOCK_H_
#define GUAVACROSS_UTIL_MANUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "guavacross/time.h"

namespace guavacross::util {

/// A clock that stands still until a test advances it.
///
/// `Clock clock = manual.clock(); ... manual.Advance(1s);` calls the timers
/// that are due, in order, each at its own time. Not thread safe, except that
/// `m_now` may be read by other threads while nobody advances.
class ManualClock {
 public:
  ManualClock();

  /// A clock that reads this one, which must outlive it.
  Clock clock();

  TimePoint now() const;

  /// Moves time on and calls the timers that fall due on the way.
  void Advance(Duration duration);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_MANUAL_CLOCK_H_
