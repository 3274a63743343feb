#ifndef GUAVACROSS_UTIL_MANUAL_CLOCK_H_
#define GUAVACROSS_UTIL_MANUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "guavacross/time.h"

namespace guavacross::util {

/// A clock for tests whose time changes only through `Advance`.
///
/// `Clock clock = manual.clock(); ... manual.Advance(1s);` calls the due timers
/// in order, each with the clock set to its own time. Not thread safe, except
/// that other threads may call `m_now` while no thread advances the clock.
class ManualClock {
 public:
  ManualClock();

  /// A `Clock` driven by this object, which must outlive it.
  Clock clock();

  TimePoint now() const;

  /// Advances the time and calls the timers that become due.
  void Advance(Duration duration);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_MANUAL_CLOCK_H_
