#ifndef GUAVACROSS_TIME_H_
#define GUAVACROSS_TIME_H_

#include <chrono>
#include <functional>
#include <memory>

/// Types for times, and the injected clock.
///
/// Decision functions never read a clock but take `TimePoint` values. Code that
/// needs timers takes a `Clock`, so that tests can pause and advance time.
namespace guavacross {

/// A length of time.
using Duration = std::chrono::nanoseconds;

/// A point on the monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point on the wall clock, for values shown to people.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// A scheduled call. Destroying the timer cancels the call.
class Timer {
 public:
  virtual ~Timer() = default;
};

/// The source of time and of timers.
///
/// `util::QtClock()` is the running program's clock; `util::ManualClock` is one
/// that tests advance.
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
