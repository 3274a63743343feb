// Probing of a service whose targets don't answer.

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "guavacross/routing.h"
#include "routing/testing/probed_service.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr int kTargets = 20;

}  // namespace

// Guards against a wake-up every 250 ms for each probe that ever failed.
GUAVACROSS_TEST_CASE(WakeUpsWhileTargetsAreSilent) {
  util::ManualClock clock;
  Router router({.m_relays = true, .m_seed = 1, .m_clock = clock.clock()}, {});
  std::vector<TargetConfig> targets;
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back({.m_name = "t" + std::to_string(i), .m_slots = 4});
  }
  router.Configure(testing::ProbedService("shop", targets));
  const std::uint64_t ticket =
      router.Acquire({.m_service = "shop", .m_class_name = "read"}, {},
                     [](const util::Expected<Grant>&) {});
  router.CancelWait("shop", ticket);
  for (int i = 0; i < kTargets; ++i) {
    clock.Advance(milliseconds(1));
    router.ReportProbe(
        {.m_service = "shop", .m_target = "t" + std::to_string(i)});
    router.TakeDueProbes();
  }

  const TimePoint end = clock.now() + seconds(2);
  int wake_ups = 0;
  while (router.NextDue().has_value() && *router.NextDue() < end) {
    clock.Advance(std::max(Duration::zero(), *router.NextDue() - clock.now()));
    router.ExpireWaiters();
    router.TakeDueProbes();
    ++wake_ups;
  }
  Section("are as many as for one probe", [&] {
    CPPUNIT_ASSERT(wake_ups >= 4);
    CPPUNIT_ASSERT(wake_ups <= 12);
  });
}

}  // namespace guavacross::routing
