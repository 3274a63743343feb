#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peers/member_table.h"
#include "util/test_case.h"

namespace guavacross::peers {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr Duration kInterval = milliseconds(250);
constexpr std::size_t kFanout = 5;
constexpr std::size_t kRumors = 4;
// Added to the age of a rumor by its receiver.
constexpr Duration kAssumedTransit = milliseconds(50);
constexpr Duration kLongTransit = milliseconds(400);

// By when every instance must have noticed that another has lost power: callers
// are given its address until then.
constexpr Duration kNoticeBound = seconds(6);

// The tables of a number of instances that send each other heartbeats, which
// take `transit` on their way.
class TableGroup {
 public:
  explicit TableGroup(int count, Duration transit = {}) : m_transit(transit) {
    for (int i = 0; i < count; ++i) {
      m_names.push_back("m" + std::to_string(1000 + i));
      m_tables.emplace_back(
          MemberTableOptions{.m_self = m_names.back(),
                             .m_suspect_after = milliseconds(900),
                             .m_dead_after = seconds(2),
                             .m_forget_after = seconds(60),
                             .m_fanout = static_cast<int>(kFanout)});
    }
    for (MemberTable& table : m_tables) {
      table.Tick(m_now);
      for (const std::string& name : m_names) {
        table.UpdateFromMessage(MemberNamed(name), m_now);
      }
    }
    Run(seconds(5), [] {});
  }

  // Instances in the set neither send nor receive anything.
  std::set<std::size_t> m_unreachable;

  // Runs heartbeats; calls `each_interval` after each interval.
  void Run(Duration duration, const std::function<void()>& each_interval) {
    const int intervals = static_cast<int>(duration / kInterval);
    for (int i = 0; i < intervals; ++i) {
      for (std::size_t from = 0; from < m_tables.size(); ++from) {
        m_now += kInterval / static_cast<int>(m_tables.size());
        while (!m_on_the_way.empty() && m_on_the_way.begin()->first <= m_now) {
          m_on_the_way.extract(m_on_the_way.begin()).mapped()();
        }
        SendHeartbeats(from);
      }
      each_interval();
    }
  }

  // Number of the reachable instances at which the member is live.
  int LiveAt(std::size_t member) const {
    int count = 0;
    for (std::size_t i = 0; i < m_tables.size(); ++i) {
      count += i != member && !m_unreachable.contains(i) &&
               IsLiveAt(i, m_names[member]);
    }
    return count;
  }

  // Number of members that are live at an instance.
  int LiveMembersOf(std::size_t instance) const {
    const std::vector<Member> members = m_tables[instance].Members();
    return static_cast<int>(
        std::count_if(members.begin(), members.end(), [](const Member& member) {
          return member.m_state == MemberState::kLive;
        }));
  }

 private:
  static Member MemberNamed(const std::string& name) {
    return {.m_id = {.m_name = name, .m_incarnation = 1}};
  }

  bool IsLiveAt(std::size_t instance, const std::string& name) const {
    for (const Member& member : m_tables[instance].Members()) {
      if (member.m_id.m_name == name) {
        return member.m_state == MemberState::kLive;
      }
    }
    return false;
  }

  // A heartbeat to or from an unreachable instance fails at once, as it does
  // while the connection is in back-off.
  void SendHeartbeats(std::size_t from) {
    MemberTable& sender = m_tables[from];
    sender.Tick(m_now);
    for (const Member& member : sender.NextHeartbeatRecipients(kFanout)) {
      const auto found =
          std::find(m_names.begin(), m_names.end(), member.m_id.m_name);
      const auto to = static_cast<std::size_t>(found - m_names.begin());
      if (m_unreachable.contains(from) || m_unreachable.contains(to)) {
        sender.UpdateFromMissedReply(member.m_id, m_now);
      } else {
        Send(from, to, {});
        Send(to, from, sender.Suspects());
      }
    }
  }

  void Send(std::size_t from,
            std::size_t to,
            const std::vector<std::string>& asked) {
    MemberTable& sender = m_tables[from];
    std::vector<Rumor> rumors = sender.NextRumors(kRumors, m_now);
    for (const Rumor& rumor : sender.RumorsOf(asked, m_now)) {
      rumors.push_back(rumor);
    }
    for (Rumor& rumor : rumors) {
      rumor.m_age += kAssumedTransit;
    }
    m_on_the_way.emplace(
        m_now + m_transit,
        [this, from, to, rumors = std::move(rumors),
         suspects = sender.Suspects(), number = ++m_last_number] {
          if (m_unreachable.contains(to)) {
            return;
          }
          MemberTable& receiver = m_tables[to];
          receiver.UpdateFromMessage(MemberNamed(m_names[from]), m_now, number);
          for (const Rumor& rumor : rumors) {
            receiver.UpdateFromRumor(rumor, m_now);
          }
          receiver.CheckSuspectsOf(suspects, m_now);
        });
  }

  std::vector<std::string> m_names;
  std::vector<MemberTable> m_tables;
  Duration m_transit;
  // Messages by when they arrive.
  std::multimap<TimePoint, std::function<void()>> m_on_the_way;
  std::uint64_t m_last_number = 0;
  TimePoint m_now{std::chrono::hours(1)};
};

void TestGroupOf(int count) {
  TableGroup group(count);
  Section("an instance without power is live nowhere after the bound", [&] {
    group.m_unreachable = {static_cast<std::size_t>(count / 2)};
    group.Run(kNoticeBound, [] {});
    group.Run(seconds(10), [&] {
      CPPUNIT_ASSERT_EQUAL(0,
                           group.LiveAt(static_cast<std::size_t>(count / 2)));
    });
  });
  Section("it is live everywhere soon after its return", [&] {
    group.m_unreachable = {};
    group.Run(seconds(2), [] {});
    CPPUNIT_ASSERT_EQUAL(count - 1,
                         group.LiveAt(static_cast<std::size_t>(count / 2)));
  });
  Section("an instance that is cut off from all suspects nobody", [&] {
    group.m_unreachable = {0};
    group.Run(seconds(3),
              [&] { CPPUNIT_ASSERT_EQUAL(count - 1, group.LiveMembersOf(0)); });
    group.m_unreachable = {};
    group.Run(seconds(5),
              [&] { CPPUNIT_ASSERT_EQUAL(count - 1, group.LiveMembersOf(0)); });
  });
}

}  // namespace

// Guards against an instance without power whose address callers are given for
// long: heartbeats to it that failed at once, in a connection's back-off, were
// dropped.
GUAVACROSS_TEST_CASE(InstanceWhoseHeartbeatsFailAtOnce) {
  for (const int count : {45, 123}) {
    Section("of " + std::to_string(count) + " instances",
            [&] { TestGroupOf(count); });
  }
}

// Guards against evidence of a run that has ended which seems more recent with
// each instance that passes it on: messages that take longer than assumed made
// instances take the lost one for live again.
GUAVACROSS_TEST_CASE(InstanceThatOthersTellOfAfterItsEnd) {
  for (const int count : {45, 123}) {
    Section("of " + std::to_string(count) + " instances", [&] {
      const auto lost = static_cast<std::size_t>(count / 2);
      TableGroup group(count, kLongTransit);
      group.m_unreachable = {lost};
      int live = group.LiveAt(lost);
      // What was on the way, and what was passed on of it, has arrived.
      group.Run(seconds(4), [&] { live = group.LiveAt(lost); });
      group.Run(seconds(15), [&] {
        const int before = std::exchange(live, group.LiveAt(lost));
        CPPUNIT_ASSERT_MESSAGE("live at more instances than before",
                               live <= before);
      });
      CPPUNIT_ASSERT_EQUAL(0, live);
    });
  }
}

}  // namespace guavacross::peers
