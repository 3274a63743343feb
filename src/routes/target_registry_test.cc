#include "routes/target_registry.h"

#include "util/test_case.h"

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

GUAVACROSS_TEST_CASE(TargetRegistryEntryUpdates) {
  TargetRegistry registry;
  CPPUNIT_ASSERT(registry.Put(Target(10, 1)) == Change::kAdded);

  Section("a newer heartbeat alone is no update", [&] {
    CPPUNIT_ASSERT(registry.Put(Target(10, 2)) == Change::kHeartbeat);
  });

  Section("a draining run stays draining", [&] {
    CPPUNIT_ASSERT(registry.Put(Draining(10, 3)) == Change::kDraining);
    registry.Put(Target(10, 4));
    CPPUNIT_ASSERT(registry.Targets()[0].m_draining);
  });

  Section("an older heartbeat is ignored", [&] {
    CPPUNIT_ASSERT(registry.Put(Target(10, 1)) == Change::kNone);
  });

  Section("a later run under the same id replaces the target", [&] {
    CPPUNIT_ASSERT(registry.Put(Target(20, 1)) == Change::kReplaced);
    CPPUNIT_ASSERT(!registry.Targets()[0].m_draining);
    Section("an entry of the replaced run is ignored", [&] {
      CPPUNIT_ASSERT(registry.Put(Target(10, 9)) == Change::kNone);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{20},
                           registry.Targets()[0].m_incarnation);
    });
  });

  Section("a late entry doesn't restore a removed run", [&] {
    const TimePoint now{};
    CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kRemoved);
    CPPUNIT_ASSERT(registry.Put(Target(20, 1)) == Change::kNone);
    Section("but a newer heartbeat does", [&] {
      CPPUNIT_ASSERT(registry.Put(Target(20, 2)) == Change::kAdded);
    });
  });
}

GUAVACROSS_TEST_CASE(TargetRegistryAfterStoreOutage) {
  TargetRegistry registry;
  TimePoint now{};
  now += seconds(60);
  registry.Put(Target(10, 1));

  Section("an entry that is removed while the store is there has left", [&] {
    CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kRemoved);
    CPPUNIT_ASSERT(registry.Targets().empty());
    registry.Put(Target(10, 2));
  });

  registry.SetOutageEnd(now);

  Section("one that lapsed is kept for about two seconds after the outage",
          [&] {
            now += milliseconds(300);
            CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kLapsed);
            now += milliseconds(1600);
            CPPUNIT_ASSERT(registry.Expire(now).empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.Targets().size());
            Section("however late the removal is learned of", [&] {
              CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kLapsed);
            });
            Section("and is removed after that", [&] {
              now += milliseconds(400);
              CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.Expire(now).size());
              CPPUNIT_ASSERT(registry.Targets().empty());
            });
          });

  Section("a target that registers again in time stays", [&] {
    registry.Put(Target(10, 5));
    registry.SetOutageEnd(now);
    registry.Remove("t1", now);
    registry.Put(Target(10, 6));
    now += seconds(5);
    CPPUNIT_ASSERT(registry.Expire(now).empty());
  });

  Section("a removal after that time is none of a lapse", [&] {
    CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kRemoved);
    registry.Put(Target(10, 7));
  });

  Section("nothing is kept for an outage that turns out to be none", [&] {
    registry.SetOutageEnd(now);
    CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kLapsed);
    registry.SetOutageEnd(std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.Expire(now).size());
  });

  Section("a draining target is removed even after an outage", [&] {
    registry.Put(Target(10, 8));
    registry.Put(Draining(10, 9));
    registry.SetOutageEnd(now);
    CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kRemoved);
  });
}

GUAVACROSS_TEST_CASE(TargetRegistryAfterStoreRestoration) {
  TargetRegistry registry;
  TimePoint now{};
  registry.Put(Target(10, 5));
  registry.SetOutageEnd(now);

  Section("an entry that the copy lacks is kept for about two seconds", [&] {
    CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kLapsed);
    now += milliseconds(1900);
    CPPUNIT_ASSERT(registry.Expire(now).empty());
    Section("and stays if the target writes it again", [&] {
      registry.Put(Target(10, 6));
      now += seconds(5);
      CPPUNIT_ASSERT(registry.Expire(now).empty());
    });
  });

  Section("an entry as it was before the copy's age changes nothing", [&] {
    registry.Put(Draining(10, 8));
    CPPUNIT_ASSERT(registry.Put(Target(10, 7)) == Change::kNone);
    CPPUNIT_ASSERT(registry.Targets()[0].m_draining);
    Section("also if the target has left", [&] {
      CPPUNIT_ASSERT(registry.Remove("t1", now) == Change::kRemoved);
      CPPUNIT_ASSERT(registry.Put(Target(10, 7)) == Change::kNone);
      CPPUNIT_ASSERT(registry.Targets().empty());
    });
  });
}

}  // namespace guavacross::routes
