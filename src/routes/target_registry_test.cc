#include "routes/target_registry.h"

#include "util/story_test.h"

namespace guavacross::routes {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;
using Change = TargetRegistry::Change;

RegisteredTarget Target(std::uint64_t incarnation, std::uint64_t heartbeat) {
  return {.m_id = "t1",
          .m_incarnation = incarnation,
          .m_heartbeat = heartbeat,
          .m_service = "shop",
          .m_address = {.m_ip = "10.0.0.1", .m_port = 80},
          .m_zone = "a",
          .m_slots = 4};
}

RegisteredTarget Draining(std::uint64_t incarnation, std::uint64_t heartbeat) {
  RegisteredTarget target = Target(incarnation, heartbeat);
  target.m_draining = true;
  return target;
}

}  // namespace

GUAVACROSS_STORY(RegistryFollowsARun) {
  TargetRegistry registry;
  CPPUNIT_ASSERT(registry.Put(Target(10, 1)) == Change::kAdded);

  Section("a heartbeat alone changes nothing", [&] {
    CPPUNIT_ASSERT(registry.Put(Target(10, 2)) == Change::kHeartbeat);
  });

  Section("a run that drains does so for good", [&] {
    CPPUNIT_ASSERT(registry.Put(Draining(10, 3)) == Change::kDraining);
    registry.Put(Target(10, 4));
    CPPUNIT_ASSERT(registry.Targets()[0].m_draining);
  });

  Section("an older heartbeat is left aside", [&] {
    CPPUNIT_ASSERT(registry.Put(Target(10, 1)) == Change::kNone);
  });

  Section("another run under the id is another target", [&] {
    CPPUNIT_ASSERT(registry.Put(Target(20, 1)) == Change::kReplaced);
    CPPUNIT_ASSERT(!registry.Targets()[0].m_draining);
    Section("and the old one doesn't come back", [&] {
      CPPUNIT_ASSERT(registry.Put(Target(10, 9)) == Change::kNone);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{20},
                           registry.Targets()[0].m_incarnation);
    });
  });

  Section("a removed run doesn't come back with an entry written late", [&] {
    const TimePoint now{};
    CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kRemoved);
    CPPUNIT_ASSERT(registry.Put(Target(20, 1)) == Change::kNone);
    Section("but with a heartbeat of a later time it lives", [&] {
      CPPUNIT_ASSERT(registry.Put(Target(20, 2)) == Change::kAdded);
    });
  });
}

GUAVACROSS_STORY(RegistryWithTheStoreAway) {
  TargetRegistry registry;
  TimePoint now{};
  registry.Put(Target(10, 1));
  registry.SetStoreReachable(false, now);

  Section("an entry that lapses meanwhile is kept", [&] {
    CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kLapsed);
    now += seconds(30);
    CPPUNIT_ASSERT(registry.Expire(now).empty());
  });

  registry.SetStoreReachable(true, now);

  Section("it may come back for about two seconds", [&] {
    now += milliseconds(1900);
    CPPUNIT_ASSERT(registry.Expire(now).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.Targets().size());
    Section("and is gone after that", [&] {
      now += milliseconds(400);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.Expire(now).size());
      CPPUNIT_ASSERT(registry.Targets().empty());
    });
  });

  Section("one that registers again in time stays", [&] {
    registry.Put(Target(10, 5));
    registry.SetStoreReachable(false, now);
    registry.Remove("t1", now);
    registry.SetStoreReachable(true, now);
    registry.Put(Target(10, 6));
    now += seconds(5);
    CPPUNIT_ASSERT(registry.Expire(now).empty());
  });

  Section("one that drains is bound by that with the store away", [&] {
    registry.Put(Draining(10, 7));
    registry.SetStoreReachable(false, now);
    CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kRemoved);
  });
}

}  // namespace guavacross::routes
