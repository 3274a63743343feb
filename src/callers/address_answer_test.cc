#include "callers/address_answer.h"

#include <numeric>

#include "util/test_case.h"

namespace guavacross::callers {

namespace {

using util::Section;

Member MakeMember(int number, const std::string& zone, double load) {
  Member member;
  member.m_zone = zone;
  member.m_region = "r1";
  member.m_load = load;
  member.m_callers = {.m_ip = "127.0.0." + std::to_string(number),
                      .m_port = 80};
  return member;
}

int ZoneWeight(const std::vector<WeightedAddress>& addresses,
               const std::string& zone) {
  return std::accumulate(addresses.begin(), addresses.end(), 0,
                         [&zone](int sum, const WeightedAddress& each) {
                           return sum +
                                  (each.m_zone == zone ? each.m_weight : 0);
                         });
}

}  // namespace

GUAVACROSS_TEST_CASE(AddressWeights) {
  const CallerLocation caller{.m_region = "r1", .m_zone = "a"};

  Section("keep requests in the caller's zone below the load limit", [&] {
    const auto addresses = WeighAddresses(
        {MakeMember(1, "b", 0.1), MakeMember(2, "a", 0.5)}, caller);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), addresses.front().m_zone);
    CPPUNIT_ASSERT_EQUAL(50, ZoneWeight(addresses, "a"));
    CPPUNIT_ASSERT_EQUAL(0, ZoneWeight(addresses, "b"));
  });
  Section("spill over to other zones above the load limit", [&] {
    const auto addresses = WeighAddresses(
        {MakeMember(1, "a", 0.95), MakeMember(2, "b", 0.1)}, caller);
    CPPUNIT_ASSERT(ZoneWeight(addresses, "b") > ZoneWeight(addresses, "a"));
  });
  Section("include only live members", [&] {
    Member leaving = MakeMember(1, "a", 0);
    leaving.m_state = MemberState::kLeaving;
    Member suspect = MakeMember(2, "a", 0);
    suspect.m_state = MemberState::kSuspect;
    const auto addresses =
        WeighAddresses({leaving, suspect, MakeMember(3, "b", 0)}, caller);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, addresses.size());
    CPPUNIT_ASSERT_EQUAL(100, ZoneWeight(addresses, "b"));
  });
  Section("include this instance unless it is leaving", [&] {
    const Member self = MakeMember(9, "a", 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         AdvertisedMembers({}, self, false).size());
    CPPUNIT_ASSERT(AdvertisedMembers({self}, self, true).empty());
  });
  Section("are serialized with the time for which to cache them", [&] {
    const std::string body = AddressAnswerBody(
        "shop", WeighAddresses({MakeMember(1, "a", 0)}, caller),
        std::chrono::seconds(5), "id-1");
    CPPUNIT_ASSERT_EQUAL(
        std::string("{\"addresses\":[{\"address\":\"127.0.0.1:80\","
                    "\"weight\":100,\"zone\":\"a\"}],\"identity\":\"id-1\","
                    "\"keep_for_ms\":5000,\"service\":\"shop\"}"),
        body);
  });
}

}  // namespace guavacross::callers
