#include "util/manual_clock.h"

#include <vector>

#include "util/test_case.h"

namespace guavacross::util {

GUAVACROSS_TEST_CASE(ManualClockTimers) {
  ManualClock manual;
  const Clock clock = manual.clock();
  std::vector<int> calls;
  const auto late = clock.m_call_after(std::chrono::seconds(2),
                                       [&calls] { calls.push_back(2); });
  const auto early = clock.m_call_after(std::chrono::seconds(1),
                                        [&calls] { calls.push_back(1); });
  auto cancelled = clock.m_call_after(std::chrono::seconds(1),
                                      [&calls] { calls.push_back(9); });
  cancelled.reset();

  Section("no timer is called before the clock advances",
          [&] { CPPUNIT_ASSERT(calls.empty()); });
  Section("advancing calls the due timers in order", [&] {
    manual.Advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT((calls == std::vector<int>{1, 2}));
  });
}

}  // namespace guavacross::util
