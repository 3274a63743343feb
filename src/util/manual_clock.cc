#include "util/manual_clock.h"

namespace guavacross::util {

struct ManualClock::State {
  using TimerKey = std::pair<TimePoint, std::uint64_t>;

  // Not zero, so that times before the start are representable.
  TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_next_id = 0;
  std::map<TimerKey, std::function<void()>> m_timers;
};

namespace {

class ManualTimer : public Timer {
 public:
  explicit ManualTimer(std::function<void()> cancel)
      : m_cancel(std::move(cancel)) {}
  ~ManualTimer() override { m_cancel(); }

 private:
  std::function<void()> m_cancel;
};

}  // namespace

ManualClock::ManualClock() : m_state(std::make_shared<State>()) {}

Clock ManualClock::clock() {
  Clock clock;
  clock.m_now = [state = m_state] { return state->m_now; };
  clock.m_wall_now = [state = m_state] {
    return WallTime(state->m_now.time_since_epoch());
  };
  clock.m_call_after = [state = m_state](Duration delay,
                                         std::function<void()> call) {
    const State::TimerKey key{state->m_now + delay, state->m_next_id++};
    state->m_timers.emplace(key, std::move(call));
    auto cancel = [state, key] { state->m_timers.erase(key); };
    return std::unique_ptr<Timer>(
        std::make_unique<ManualTimer>(std::move(cancel)));
  };
  return clock;
}

TimePoint ManualClock::now() const {
  return m_state->m_now;
}

void ManualClock::Advance(Duration duration) {
  const TimePoint end = m_state->m_now + duration;
  while (!m_state->m_timers.empty()) {
    const auto first = m_state->m_timers.begin();
    if (first->first.first > end) {
      break;
    }
    m_state->m_now = std::max(m_state->m_now, first->first.first);
    const std::function<void()> call = std::move(first->second);
    m_state->m_timers.erase(first);
    call();
  }
  m_state->m_now = end;
}

}  // namespace guavacross::util
