#ifndef GUAVACROSS_TIME_H_
#define GUAVACROSS_TIME_H_

#include <chrono>
#include <functional>
#include <memory>

/// Time as the rest of the program sees it.
///
/// Decisions never read a clock: they are given `TimePoint` values. Code that
/// needs timers is given a `Clock`, so that tests can pause and advance time.
namespace guavacross {

/// A length of time.
using Duration = std::chrono::nanoseconds;

/// A point on the monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point on the wall clock, for values that people read.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// A pending call. Destroying it cancels the call.
class Timer {
 public:
  virtual ~Timer() = default;
};

/// The source of time and of timers.
///
/// `util::QtClock()` gives the running program's clock and
/// `util::ManualClock` one that tests advance by hand.
struct Clock {
  /// The monotonic time. Thread safe.
  std::function<TimePoint()> m_now;
  /// The wall-clock time. Thread safe.
  std::function<WallTime()> m_wall_now;
  /// Calls a function once after a delay, on the calling thread's event loop.
  /// The returned timer must be destroyed on that thread.
  std::function<std::unique_ptr<Timer>(Duration, std::function<void()>)>
      m_call_after;
};

/// Converts a duration to floating-point milliseconds.
inline double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Converts a duration to floating-point seconds.
inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Converts floating-point seconds to a duration.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace guavacross

#endif  // GUAVACROSS_TIME_H_
