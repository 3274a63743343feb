#include "policy/split_picker.h"

#include <array>
#include <vector>

#include "policy/read_failover.h"
#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using util::Section;

}  // namespace

GUAVACROSS_TEST_CASE(SplitsFollowTheirWeights) {
  SplitPicker picker;
  const std::vector<int> weights = {90, 10};
  std::array<int, 2> counts{};
  for (int i = 0; i < 100; ++i) {
    ++counts[picker.Pick(weights)];
  }
  CPPUNIT_ASSERT_EQUAL(90, counts[0]);
  CPPUNIT_ASSERT_EQUAL(10, counts[1]);

  Section("a part with weight 0 gets no requests", [&] {
    const std::vector<int> one = {0, 5, 0};
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, picker.Pick(one));
    }
  });
}

GUAVACROSS_TEST_CASE(StandbyReadersByRank) {
  const TimePoint read_at{};
  const TimePoint now = read_at + milliseconds(100);
  ReadFailover failover{.m_failover_delay = milliseconds(780),
                        .m_delay_per_rank = milliseconds(150)};
  CPPUNIT_ASSERT(NextReadTime(failover, read_at, now) == now);

  Section("instances of later rank read only after a delay", [&] {
    failover.m_rank = 1;
    CPPUNIT_ASSERT(NextReadTime(failover, read_at, now) ==
                   read_at + milliseconds(780));
    failover.m_rank = 4;
    CPPUNIT_ASSERT(NextReadTime(failover, read_at, now) ==
                   read_at + milliseconds(780 + 3 * 150));
  });

  Section("many silent instances before it delay an instance little", [&] {
    failover.m_rank = 5;
    CPPUNIT_ASSERT(NextReadTime(failover, read_at, now) ==
                   read_at + milliseconds(780 + 525));
    failover.m_rank = 9;
    CPPUNIT_ASSERT(NextReadTime(failover, read_at, now) ==
                   read_at + milliseconds(780 + 600));
    failover.m_rank = 122;
    CPPUNIT_ASSERT(NextReadTime(failover, read_at, now) ==
                   read_at + milliseconds(780 + 825));
  });

  Section("without a known read, all instances read", [&] {
    CPPUNIT_ASSERT(NextReadTime(failover, std::nullopt, now) == now);
  });
}

}  // namespace guavacross::policy
