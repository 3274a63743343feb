// How a limit is divided among instances, and when one may use its share.

#include "policy/request_limit.h"

#include <rapidcheck.h>

#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr double kTolerance = 1e-9;

std::vector<SubsetInstance> Instances(std::size_t first, std::size_t count) {
  std::vector<SubsetInstance> instances;
  for (std::size_t i = first; i < first + count; ++i) {
    instances.push_back({.m_hash = i * 0x9e3779b97f4a7c15U + 1});
  }
  return instances;
}

// The sum of the shares of instances that all see exactly each other.
double SumOfShares(double limit,
                   std::uint64_t target,
                   const std::vector<SubsetInstance>& instances,
                   std::size_t largest) {
  double sum = 0;
  for (const SubsetInstance& each : instances) {
    sum += ShareOfLimit(limit, target,
                        {.m_self = each.m_hash,
                         .m_instances = instances,
                         .m_largest_count = static_cast<int>(largest)});
  }
  return sum;
}

}  // namespace

GUAVACROSS_TEST_CASE(SharesOfALimit) {
  Section("add up to the limit", [] {
    for (const std::size_t count : {1, 6, 38, 123}) {
      for (const double limit : {0.1, 0.5, 2.0, 2.1, 50.0, 100000.0}) {
        const double sum = SumOfShares(limit, 7, Instances(0, count), count);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(limit, sum, limit * kTolerance);
      }
    }
  });
  Section("add up to it also across groups that don't see each other", [] {
    CPPUNIT_ASSERT(rc::check([] {
      const auto count = *rc::gen::inRange<std::size_t>(2, 123);
      const auto part = *rc::gen::inRange<std::size_t>(0, count);
      const auto target = *rc::gen::arbitrary<std::uint64_t>();
      const double limit = *rc::gen::inRange(1, 100000) / 100.0;
      const double sum =
          SumOfShares(limit, target, Instances(0, part), count) +
          SumOfShares(limit, target, Instances(part, count - part), count);
      RC_ASSERT(sum <= limit * (1 + kTolerance));
    }));
  });
  Section("an instance that is leaving has none", [] {
    CPPUNIT_ASSERT_EQUAL(
        0.0,
        ShareOfLimit(5, 7, {.m_self = 99, .m_instances = Instances(0, 3)}));
  });
}

GUAVACROSS_TEST_CASE(LimitsThatATargetNames) {
  NamedLimit limit;
  Section("a target that never named one has none", [&] {
    CPPUNIT_ASSERT(!limit.UpdateFromTarget(0, kStart, kStart));
    CPPUNIT_ASSERT(!limit.is_active() && !limit.named_at().has_value());
  });
  const TimePoint named = kStart + seconds(1);
  CPPUNIT_ASSERT(limit.UpdateFromTarget(2.1, kStart, named));
  Section("an answer to an earlier request doesn't end it", [&] {
    CPPUNIT_ASSERT(!limit.UpdateFromTarget(0, kStart, named + seconds(1)));
    CPPUNIT_ASSERT(limit.is_active());
  });
  Section("an older notice of a peer changes nothing", [&] {
    CPPUNIT_ASSERT(!limit.UpdateFromPeer(0, named - milliseconds(1)));
    CPPUNIT_ASSERT(limit.is_active());
  });
  Section("small changes are not news", [&] {
    CPPUNIT_ASSERT(!limit.UpdateFromTarget(2.2, named, named));
    CPPUNIT_ASSERT_EQUAL(2.2, limit.limit());
    CPPUNIT_ASSERT(limit.UpdateFromTarget(1.5, named, named));
  });
  Section("an answer to a later request ends it", [&] {
    CPPUNIT_ASSERT(limit.UpdateFromTarget(0, named, named + seconds(1)));
    CPPUNIT_ASSERT(!limit.is_active());
    Section("and a later notice of a peer begins it again", [&] {
      CPPUNIT_ASSERT(limit.UpdateFromPeer(3, named + seconds(2)));
      CPPUNIT_ASSERT_EQUAL(3.0, limit.limit());
    });
  });
}

GUAVACROSS_TEST_CASE(RequestsOfAShare) {
  RequestShare share;
  share.Start(2, kStart);
  Section("none may be sent until the former holder knows", [&] {
    CPPUNIT_ASSERT(!share.HasRoom(kStart));
    CPPUNIT_ASSERT(!share.RoomAt(0, kStart + seconds(2)).has_value());
  });
  const TimePoint start = kStart + RequestShare::kGrowthDelay;
  Section("they are spaced evenly", [&] {
    CPPUNIT_ASSERT(share.HasRoom(start));
    share.Take(start);
    CPPUNIT_ASSERT(!share.HasRoom(start + milliseconds(249)));
    CPPUNIT_ASSERT(share.HasRoom(start + milliseconds(250)));
    CPPUNIT_ASSERT(share.RoomAt(2, start) == start + milliseconds(1250));
  });
  Section("an idle time isn't made up for", [&] {
    const TimePoint later = start + seconds(60);
    int sent = 0;
    for (TimePoint at = later; at < later + seconds(4); at += milliseconds(5)) {
      if (share.HasRoom(at)) {
        share.Take(at);
        ++sent;
      }
    }
    CPPUNIT_ASSERT(sent <= 9);
  });
  Section("a smaller share holds at once, a larger one later", [&] {
    const TimePoint changed = start + seconds(100);
    share.Set(0.5, changed);
    CPPUNIT_ASSERT_EQUAL(0.5, share.Share(changed));
    share.Set(4, changed);
    CPPUNIT_ASSERT_EQUAL(0.5, share.Share(changed + seconds(2)));
    Section("also if it changes all the while", [&] {
      for (int i = 0; i < 8; ++i) {
        share.Set(4 + i % 2, changed + i * seconds(1));
      }
      CPPUNIT_ASSERT(share.Share(changed + seconds(8)) >= 4);
    });
  });
}

}  // namespace guavacross::policy
