// What instances learn of each other and of the store through their peers.

#include <algorithm>
#include <memory>
#include <vector>

#include "peers/testing/test_instance.h"
#include "util/test_case.h"

namespace guavacross::peers {

namespace {

using std::chrono::seconds;
using testing::ControlLoop;
using testing::TestInstance;
using util::Section;

}  // namespace

// Guards against instances that only ever see the one that all of them started
// from: each then divides what is shared by too few instances.
GUAVACROSS_TEST_CASE(PeersOfACommonSeedMeet) {
  ControlLoop loop;
  std::vector<std::unique_ptr<TestInstance>> all;
  for (const char* const name : {"a", "b", "c", "d", "e", "f"}) {
    all.push_back(std::make_unique<TestInstance>(&loop, name, 1));
  }
  for (std::size_t i = 1; i < all.size(); ++i) {
    all[i]->SetListedPeer(*all.front(), "a");
  }
  loop.RunUntil("every instance sees all others", [&] {
    return std::all_of(all.begin(), all.end(), [&](const auto& instance) {
      return instance->m_network->LiveCount() == static_cast<int>(all.size());
    });
  });
}

GUAVACROSS_TEST_CASE(PeersShareStoreRecords) {
  ControlLoop loop;
  TestInstance a(&loop, "a", 1);
  TestInstance b(&loop, "b", 1);
  const Clock clock = loop.clock();
  const TimePoint read_at = clock.m_now();
  a.m_local.m_streams = {
      {.m_stream = "targets", .m_changed_to = 3, .m_read_at = read_at}};
  a.m_records = {{.m_key = "t1", .m_value = "ready", .m_offset = 0},
                 {.m_key = "t2", .m_offset = 1, .m_last_value = "gone"},
                 {.m_key = "t\xff", .m_value = "\xfe", .m_offset = 2}};
  b.SetListedPeer(a, "a");

  Section("missing records are fetched from a peer", [&] {
    loop.RunUntil("the records arrive",
                  [&] { return b.m_received_records == a.m_records; });
  });

  Section("an instance that knows fewer deletions fetches them", [&] {
    b.m_deletions_from = 7;
    b.m_received_records.clear();
    a.m_local.m_streams[0].m_deletions_from = 4;
    loop.RunUntil("the deletion arrives", [&] {
      return b.m_deletions_from == 4 &&
             b.m_received_records == std::vector{a.m_records[1]};
    });
  });

  Section("the age of a read grows from heartbeat to heartbeat", [&] {
    const TimePoint until = clock.m_now() + seconds(3);
    loop.RunUntil("time passed", [&] { return clock.m_now() >= until; });
    CPPUNIT_ASSERT(b.m_reported_reads.size() > 4);
    CPPUNIT_ASSERT(b.m_reported_reads.back() < until - seconds(2));
  });
}

}  // namespace guavacross::peers
