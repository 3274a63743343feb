// Limits that targets name, beside the other rules for choosing a target.

#include <memory>
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

constexpr char kService[] = "shop";
constexpr char kLimited[] = "t0";

// A router that alone uses the target `t0`, which names a limit, and others.
class Alone {
 public:
  explicit Alone(int targets, double limit)
      : m_router({.m_seed = 1, .m_clock = m_clock.clock()}, {}) {
    ServiceConfig service;
    service.m_name = kService;
    for (int i = 0; i < targets; ++i) {
      service.m_targets.push_back({.m_name = "t" + std::to_string(i),
                                   .m_slots = 8,
                                   .m_incarnation = 1});
    }
    service.m_classes = {{.m_name = "read", .m_claims = false}};
    service.m_classes.front().m_latency_objective = seconds(1);
    m_router.Configure(service);
    m_clock.Advance(seconds(10));
    m_answer.m_load.m_request_limit = limit;
    while (m_router.Limits().empty()) {
      Send({}, m_answer);
    }
  }

  // Sends a request, and ends it with `report` if it was placed.
  util::Expected<Grant> Send(const std::vector<std::string>& avoid,
                             const AttemptReport& report) {
    const RequestTraits traits = Traits();
    util::Expected<Grant> result;
    m_router.Acquire(traits, avoid,
                     [&result](const auto& grant) { result = grant; });
    if (result) {
      const bool limited = result.m_value->m_target == kLimited;
      m_router.Release(*result.m_value, traits,
                       limited ? report : AttemptReport());
    }
    return result;
  }

  RequestTraits Traits() {
    return {.m_service = kService,
            .m_class_name = "read",
            .m_deadline = m_clock.now() + seconds(2),
            .m_caller_timeout = seconds(2),
            .m_arrived = m_clock.now()};
  }

  util::ManualClock m_clock;
  Router m_router;
  AttemptReport m_answer{.m_latency = milliseconds(5), .m_answer_begun = true};
};

}  // namespace

GUAVACROSS_TEST_CASE(LimitsBesideOtherRules) {
  Section("retries and hedges count like first attempts", [] {
    Alone alone(2, 1);
    alone.m_clock.Advance(seconds(1));
    CPPUNIT_ASSERT(alone.Send({"t1"}, alone.m_answer).m_value->m_target ==
                   kLimited);
    CPPUNIT_ASSERT(alone.Send({"t1"}, alone.m_answer).m_value->m_target !=
                   kLimited);
  });
  Section("with no room a request is refused at once, with a true delay", [] {
    Alone alone(1, 0.2);
    CPPUNIT_ASSERT(alone.Send({}, alone.m_answer));
    const util::Expected<Grant> refusal = alone.Send({}, alone.m_answer);
    CPPUNIT_ASSERT(!refusal && refusal.m_error.m_kind == ErrorKind::kNoTarget);
    CPPUNIT_ASSERT(refusal.m_error.m_retry_after > seconds(2));
    CPPUNIT_ASSERT(refusal.m_error.m_retry_after < seconds(7));
  });
  Section("of many requests only those wait that will be sent in time", [] {
    Alone alone(1, 4);
    int waiting = 0;
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
      ++waiting;
      alone.m_router.Acquire(alone.Traits(), {}, [&](const auto& grant) {
        --waiting;
        refused += grant ? 0 : 1;
      });
    }
    CPPUNIT_ASSERT(waiting >= 1 && waiting <= 3);
    CPPUNIT_ASSERT(refused >= 16);
  });
  Section("a target at its limit isn't ejected", [] {
    Alone alone(3, 1);
    for (int i = 0; i < 100; ++i) {
      alone.Send({}, alone.m_answer);
      alone.m_clock.Advance(milliseconds(20));
    }
    const std::vector<ServiceStatus> status = alone.m_router.Status();
    for (const TargetStatus& target : status.front().m_targets) {
      CPPUNIT_ASSERT(!target.m_ejected);
      CPPUNIT_ASSERT(target.m_request_limit ==
                     (target.m_name == kLimited ? 1 : 0));
    }
  });
  Section("a pause and a limit hold for one target at once", [] {
    Alone alone(1, 10);
    AttemptReport pause{.m_end = AttemptEnd::kRefusedNotRun};
    pause.m_load = {.m_pause = seconds(3), .m_request_limit = 10};
    alone.m_clock.Advance(seconds(1));
    alone.Send({}, pause);
    alone.m_clock.Advance(seconds(2));
    CPPUNIT_ASSERT(!alone.Send({}, alone.m_answer));
    alone.m_clock.Advance(seconds(1));
    CPPUNIT_ASSERT(alone.Send({}, alone.m_answer));
    CPPUNIT_ASSERT(
        alone.m_router.Status().front().m_targets.front().m_request_limit ==
        10);
  });
  Section("a target that leaves gets nothing, whatever its limit", [] {
    Alone alone(1, 10);
    alone.m_router.LearnDrain({kService, kLimited, "1"});
    alone.m_clock.Advance(seconds(1));
    CPPUNIT_ASSERT(!alone.Send({}, alone.m_answer));
  });
  Section("a target that didn't answer is probed within its limit", [] {
    util::ManualClock clock;
    Router* router = nullptr;
    int probes = 0;
    bool answers = false;
    RouterHooks hooks;
    hooks.m_on_probes = [&](const std::vector<ProbeOrder>& orders) {
      for (const ProbeOrder& order : orders) {
        const bool answered = order.m_target != kLimited || answers;
        probes += order.m_target == kLimited ? 1 : 0;
        ProbeReport report{.m_service = kService,
                           .m_target = order.m_target,
                           .m_answered = answered};
        if (answered) {
          report.m_load = LoadReport{.m_in_flight = 0, .m_slowdown = 1};
        }
        router->ReportProbe(report);
      }
    };
    Router probing({.m_seed = 1, .m_clock = clock.clock()}, hooks);
    router = &probing;
    probing.Configure(testing::ProbedService(
        kService, {{.m_name = kLimited, .m_slots = 64, .m_incarnation = 1},
                   {.m_name = "t1", .m_slots = 64, .m_incarnation = 1}}));
    const auto used = [&](Duration duration) {
      int reached = 0;
      for (Duration passed{}; passed < duration; passed += milliseconds(10)) {
        clock.Advance(milliseconds(10));
        const RequestTraits traits{.m_service = kService,
                                   .m_class_name = "read",
                                   .m_deadline = clock.now() + seconds(1),
                                   .m_arrived = clock.now()};
        probing.Acquire(traits, {}, [&](const util::Expected<Grant>& grant) {
          reached += grant && grant.m_value->m_target == kLimited ? 1 : 0;
          if (grant) {
            probing.Release(*grant.m_value, traits, AttemptReport());
          }
        });
        probing.ExpireWaiters();
      }
      return reached;
    };
    used(seconds(4));
    probing.LearnLimit(
        {.m_service = kService, .m_target = kLimited, .m_limit = 2});
    probes = 0;
    CPPUNIT_ASSERT_EQUAL(0, used(seconds(4)));
    CPPUNIT_ASSERT(probes >= 6 && probes <= 10);
    Section("and used again once it answers", [&] {
      answers = true;
      CPPUNIT_ASSERT(used(seconds(4)) >= 6);
    });
  });
  Section("a notice of an earlier run changes nothing", [] {
    Alone alone(1, 10);
    CPPUNIT_ASSERT(!alone.m_router.LearnLimit({.m_service = kService,
                                               .m_target = kLimited,
                                               .m_incarnation = "7",
                                               .m_limit = 1}));
  });
}

}  // namespace guavacross::routing
