#include "util/qt_clock.h"

#include <QTimer>
#include <algorithm>
#include <utility>

namespace guavacross::util {

namespace {

class QtTimer : public Timer {
 public:
  QtTimer(Duration delay, std::function<void()> call) {
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    // `call` may destroy this timer, which owns it, so a copy is called.
    QObject::connect(&m_timer, &QTimer::timeout, [call = std::move(call)] {
      const auto copy = call;
      copy();
    });
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(delay);
    m_timer.start(std::max(milliseconds, std::chrono::milliseconds(0)));
  }

 private:
  QTimer m_timer;
};

}  // namespace

Clock QtClock() {
  Clock clock;
  clock.m_now = [] {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  };
  clock.m_wall_now = [] {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::system_clock::now());
  };
  clock.m_call_after = [](Duration delay, std::function<void()> call) {
    return std::unique_ptr<Timer>(
        std::make_unique<QtTimer>(delay, std::move(call)));
  };
  return clock;
}

}  // namespace guavacross::util
