#include "serve/member_views.h"

#include <string>
#include <vector>

#include "util/test_case.h"

namespace guavacross::serve {

namespace {

using util::Section;
using Endpoints = std::vector<Endpoint>;

Endpoint Peers(int number) {
  return {.m_ip = "10.0.0." + std::to_string(number), .m_port = 7660};
}

Endpoint Callers(int number) {
  return {.m_ip = "10.0.0." + std::to_string(number), .m_port = 8080};
}

Member Instance(int number, MemberState state = MemberState::kLive) {
  Member member;
  member.m_id.m_name = "e" + std::to_string(number);
  member.m_region = "r";
  member.m_zone = "z";
  member.m_callers = Callers(number);
  member.m_peers = Peers(number);
  member.m_state = state;
  member.m_config_version = 1;
  return member;
}

}  // namespace

GUAVACROSS_TEST_CASE(ViewsOfMembers) {
  const Member self = Instance(2);
  const std::vector<Member> members{Instance(1),
                                    Instance(3, MemberState::kDead),
                                    Instance(4, MemberState::kLeaving)};

  Section("only live instances are found by new instances", [&] {
    CPPUNIT_ASSERT(
        (LivePeerAddresses(members, self) == Endpoints{Peers(1), Peers(2)}));
    CPPUNIT_ASSERT(LiveNames(members) == std::vector<std::string>{"e1"});
  });
  Section("targets are divided among instances that have been heard of", [&] {
    std::vector<Member> seen = members;
    seen.front().m_id.m_incarnation = 1;
    const std::vector<InstancePlace> places = LivePlaces(seen, self);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, places.size());
    // A seed that hasn't answered is only an address.
    seen.front().m_id.m_incarnation = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, LivePlaces(seen, self).size());
  });
  Section("an instance leaves out its own address", [&] {
    const auto listed = ToListedInstances({Peers(2), Peers(9)}, self.m_peers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed.size());
    CPPUNIT_ASSERT(listed[0].m_peers == Peers(9));
  });
  Section("callers get only instances that are ready to serve", [&] {
    CPPUNIT_ASSERT(
        (CallerAddresses(members, self, true, "r", "z").size() == 2));
    std::vector<Member> without = members;
    without[0].m_config_version = 0;
    CPPUNIT_ASSERT((CallerAddresses(without, self, true, "r", "z") ==
                    Endpoints{Callers(2)}));
  });
}

}  // namespace guavacross::serve
