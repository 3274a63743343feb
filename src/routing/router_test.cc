#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <vector>

#include "guavacross/routing.h"
#include "util/handle.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::routing {

namespace {

ServiceConfig TwoTargets() {
  ServiceConfig config;
  config.m_name = "catalog";
  config.m_targets = {{.m_name = "a", .m_slots = 1},
                      {.m_name = "b", .m_slots = 1}};
  config.m_classes = {{.m_name = "preview", .m_queue_limit = 1}};
  return config;
}

// Stores the decision passed to a callback.
struct AcquireResult {
  std::optional<Grant> m_grant;
  std::optional<ErrorKind> m_error;

  GrantCallback callback() {
    return [this](const util::Expected<Grant>& result) {
      m_grant = result.m_value;
      if (!result) {
        m_error = result.m_error.m_kind;
      }
    };
  }
};

}  // namespace

GUAVACROSS_TEST_CASE(RouterGrantsAndQueues) {
  using util::Section;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  router.Configure(TwoTargets());
  const RequestTraits traits{.m_service = "catalog", .m_class_name = "preview"};

  AcquireResult first;
  AcquireResult second;
  AcquireResult third;
  AcquireResult fourth;
  router.Acquire(traits, {}, first.callback());
  router.Acquire(traits, {}, second.callback());
  Section("free slots are granted at once, one on each target", [&] {
    CPPUNIT_ASSERT(first.m_grant && second.m_grant);
    CPPUNIT_ASSERT(first.m_grant->m_target != second.m_grant->m_target);
  });
  router.Acquire(traits, {}, third.callback());
  router.Acquire(traits, {}, fourth.callback());
  Section("a request beyond the queue limit is refused", [&] {
    CPPUNIT_ASSERT(!third.m_grant && !third.m_error);
    CPPUNIT_ASSERT(fourth.m_error == ErrorKind::kQueueFull);
  });
  Section("a freed slot is granted to the waiting request", [&] {
    router.Release(*first.m_grant, traits, {});
    CPPUNIT_ASSERT(third.m_grant);
  });
  Section("a request whose queue wait has expired is refused", [&] {
    AcquireResult late;
    router.Acquire(traits, {}, late.callback());
    manual.Advance(std::chrono::seconds(2));
    router.ExpireWaiters();
    CPPUNIT_ASSERT(late.m_error == ErrorKind::kQueueTimeout);
  });
}

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A service with targets named 0, 1, ..., the class `refund` and the bulk class
// `master`.
ServiceConfig ArchiveService(int targets) {
  ServiceConfig config;
  config.m_name = "archive";
  for (int i = 0; i < targets; ++i) {
    config.m_targets.push_back({.m_name = std::to_string(i)});
  }
  config.m_classes = {
      {.m_name = "refund", .m_repeatable = false, .m_queue_limit = 1000},
      {.m_name = "master",
       .m_bulk = true,
       .m_deadline = Duration::zero(),
       .m_queue_limit = 1000,
       .m_queue_wait = seconds(600)}};
  return config;
}

RequestTraits TraitsOf(const std::string& class_name,
                       const std::string& tenant = "t",
                       std::uint64_t fingerprint = 0) {
  return {.m_service = "archive",
          .m_class_name = class_name,
          .m_tenant = tenant,
          .m_fingerprint = fingerprint};
}

// Acquires and releases a grant `count` times with the given report, and
// returns the names of the targets used.
std::set<std::string> SendRequests(Router* router,
                                   int count,
                                   const AttemptReport& report) {
  std::set<std::string> used;
  for (int i = 0; i < count; ++i) {
    AcquireResult result;
    router->Acquire(TraitsOf("refund"), {}, result.callback());
    CPPUNIT_ASSERT(result.m_grant);
    used.insert(result.m_grant->m_target);
    router->Release(*result.m_grant, TraitsOf("refund"), report);
  }
  return used;
}

}  // namespace

GUAVACROSS_TEST_CASE(RouterKeepsDownloadsToTheirShare) {
  using util::Section;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  router.Configure(ArchiveService(8));
  AcquireResult refund_before;
  router.Acquire(TraitsOf("refund"), {}, refund_before.callback());
  std::vector<AcquireResult> masters(100);
  for (AcquireResult& master : masters) {
    router.Acquire(TraitsOf("master"), {}, master.callback());
  }
  const auto running = std::count_if(
      masters.begin(), masters.end(),
      [](const AcquireResult& master) { return master.m_grant.has_value(); });
  Section("a burst of bulk downloads gets half of the slots",
          [&] { CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{16}, running); });
  Section("another class gets a slot at once, ahead of waiting downloads", [&] {
    AcquireResult refund;
    router.Acquire(TraitsOf("refund"), {}, refund.callback());
    CPPUNIT_ASSERT(refund.m_grant);
  });
}

GUAVACROSS_TEST_CASE(RouterSharesBetweenTenants) {
  using util::Section;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  ServiceConfig config = ArchiveService(1);
  config.m_tenants = {{.m_name = "heavy"}, {.m_name = "light"}};
  router.Configure(config);
  std::deque<Grant> running;
  int light_served = 0;
  const auto acquire = [&](const std::string& tenant) {
    router.Acquire(TraitsOf("refund", tenant), {},
                   [&, tenant](const util::Expected<Grant>& grant) {
                     if (grant) {
                       running.push_back(*grant.m_value);
                       light_served += tenant == "light" ? 1 : 0;
                     }
                   });
  };
  for (int i = 0; i < 100; ++i) {
    acquire("heavy");
  }
  for (int i = 0; i < 5; ++i) {
    acquire("light");
  }
  Section("a tenant that floods the queue doesn't delay another tenant", [&] {
    for (int i = 0; i < 12; ++i) {
      const Grant ended = running.front();
      running.pop_front();
      router.Release(ended, TraitsOf("refund"), {});
    }
    CPPUNIT_ASSERT(light_served >= 4);
  });
}

GUAVACROSS_TEST_CASE(RouterRefusesEarly) {
  using util::Section;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  router.Configure(ArchiveService(1));
  // Each request holds its slot for 100 ms.
  for (int i = 0; i < 50; ++i) {
    AcquireResult result;
    router.Acquire(TraitsOf("refund"), {}, result.callback());
    manual.Advance(milliseconds(100));
    router.Release(*result.m_grant, TraitsOf("refund"),
                   {.m_latency = milliseconds(100)});
  }
  std::vector<AcquireResult> results(100);
  for (AcquireResult& result : results) {
    router.Acquire(TraitsOf("refund"), {}, result.callback());
  }
  Section("requests that can't be served within their wait are refused at once",
          [&] {
            // 4 slots serve 40 requests of 100 ms within the queue wait of 1 s.
            const auto refused = std::count_if(
                results.begin(), results.end(),
                [](const AcquireResult& result) {
                  return result.m_error == ErrorKind::kQueueTimeout;
                });
            CPPUNIT_ASSERT_DOUBLES_EQUAL(56, static_cast<double>(refused), 4);
          });
}

GUAVACROSS_TEST_CASE(RouterStopsUsingDrainingTargets) {
  using util::Section;
  util::ManualClock manual;
  std::vector<DrainNotice> notices;
  RouterHooks hooks;
  hooks.m_on_drain = [&notices](const DrainNotice& notice) {
    notices.push_back(notice);
  };
  Router router({.m_seed = 1, .m_clock = manual.clock()}, hooks);
  Router peer({.m_seed = 2, .m_clock = manual.clock()}, {});
  router.Configure(ArchiveService(2));
  peer.Configure(ArchiveService(2));
  Section(
      "draining reported by a probe is announced to peers, which obey it", [&] {
        router.ReportProbe({.m_service = "archive",
                            .m_target = "0",
                            .m_load = LoadReport{.m_draining = true,
                                                 .m_incarnation = "run-1"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices.size());
        peer.LearnDrain(notices.front());
        CPPUNIT_ASSERT(SendRequests(&router, 50, {}) ==
                       std::set<std::string>{"1"});
        CPPUNIT_ASSERT(SendRequests(&peer, 50, {}) ==
                       std::set<std::string>{"1"});
      });
  Section(
      "a later probe without draining doesn't make the target eligible", [&] {
        router.ReportProbe({.m_service = "archive",
                            .m_target = "0",
                            .m_load = LoadReport{.m_incarnation = "run-1"}});
        CPPUNIT_ASSERT(SendRequests(&router, 50, {}) ==
                       std::set<std::string>{"1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, router.Drains().size());
      });
  Section("a new incarnation makes it eligible", [&] {
    router.ReportProbe({.m_service = "archive",
                        .m_target = "0",
                        .m_load = LoadReport{.m_incarnation = "run-2"}});
    manual.Advance(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, SendRequests(&router, 50, {}).size());
  });
}

GUAVACROSS_TEST_CASE(RouterQuarantinesThroughPeers) {
  using util::Section;
  util::ManualClock manual;
  Router* other = nullptr;
  RouterHooks hooks;
  hooks.m_on_suspect = [&other](const SuspectNotice& notice) {
    other->LearnSuspect(notice);
  };
  Router first({.m_seed = 1, .m_clock = manual.clock()}, hooks);
  Router second({.m_seed = 2, .m_clock = manual.clock()}, hooks);
  first.Configure(ArchiveService(8));
  second.Configure(ArchiveService(8));
  constexpr std::uint64_t crashing_fingerprint = 99;
  const auto lose_one_target = [&](Router* through, Router* peer,
                                   const std::vector<std::string>& avoid) {
    other = peer;
    AcquireResult result;
    through->Acquire(TraitsOf("refund", "t", crashing_fingerprint), avoid,
                     result.callback());
    if (result.m_grant) {
      through->Release(*result.m_grant,
                       TraitsOf("refund", "t", crashing_fingerprint),
                       {.m_end = AttemptEnd::kReset});
    }
    return result;
  };
  Section("two targets lost through different instances quarantine a request",
          [&] {
            const AcquireResult one = lose_one_target(&first, &second, {});
            const AcquireResult two =
                lose_one_target(&second, &first, {one.m_grant->m_target});
            CPPUNIT_ASSERT(one.m_grant && two.m_grant);
            CPPUNIT_ASSERT(lose_one_target(&first, &second, {}).m_error ==
                           ErrorKind::kQuarantined);
            CPPUNIT_ASSERT(lose_one_target(&second, &first, {}).m_error ==
                           ErrorKind::kQuarantined);
          });
  Section("other requests are still granted", [&] {
    AcquireResult result;
    first.Acquire(TraitsOf("refund", "t", crashing_fingerprint + 1), {},
                  result.callback());
    CPPUNIT_ASSERT(result.m_grant);
  });
}

GUAVACROSS_TEST_CASE(RouterIgnoresResetsOfBegunAnswers) {
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  router.Configure(ArchiveService(8));
  const RequestTraits traits = TraitsOf("refund", "t", 99);
  for (int i = 0; i < 4; ++i) {
    AcquireResult result;
    router.Acquire(traits, {}, result.callback());
    CPPUNIT_ASSERT(result.m_grant);
    router.Release(*result.m_grant, traits,
                   {.m_end = AttemptEnd::kReset, .m_answer_begun = true});
  }
  CPPUNIT_ASSERT(router.Quarantines().empty());
}

GUAVACROSS_TEST_CASE(RouterDoesNotQuarantineAnsweredRequests) {
  using util::Section;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  router.Configure(ArchiveService(8));
  const RequestTraits popular = TraitsOf("refund", "t", 99);
  std::vector<AcquireResult> results(9);
  for (AcquireResult& result : results) {
    router.Acquire(popular, {}, result.callback());
  }
  router.Release(*results.front().m_grant, popular, {});
  Section(
      "a recently answered request isn't quarantined when several targets are "
      "lost at once",
      [&] {
        for (std::size_t i = 1; i < results.size(); ++i) {
          router.Release(*results[i].m_grant, popular,
                         {.m_end = AttemptEnd::kReset});
        }
        CPPUNIT_ASSERT(router.Quarantines().empty());
      });
  Section("an old answer doesn't prevent the quarantine", [&] {
    manual.Advance(seconds(60));
    for (int i = 0; i < 8 && router.Quarantines().empty(); ++i) {
      AcquireResult result;
      router.Acquire(popular, {}, result.callback());
      router.Release(*result.m_grant, popular, {.m_end = AttemptEnd::kReset});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, router.Quarantines().size());
  });
}

GUAVACROSS_TEST_CASE(RouterAppliesLoadReportsImmediately) {
  using util::Section;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  router.SetInstanceCount(6);
  router.Configure(ArchiveService(2));
  Section("no request goes to a target whose first load report shows it full",
          [&] {
            router.ReportProbe({.m_service = "archive",
                                .m_target = "0",
                                .m_load = LoadReport{.m_in_flight = 10}});
            router.ReportProbe({.m_service = "archive",
                                .m_target = "1",
                                .m_load = LoadReport{.m_in_flight = 0}});
            CPPUNIT_ASSERT(SendRequests(&router, 50, {}) ==
                           std::set<std::string>{"1"});
          });
}

GUAVACROSS_TEST_CASE(RouterOnManyThreads) {
  using util::Section;
  constexpr int threads = 4;
  constexpr int rounds = 5000;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  router.Configure(ArchiveService(2));
  std::atomic<int> granted{0};
  std::atomic<int> refused{0};
  const auto work = [&] {
    for (int i = 0; i < rounds; ++i) {
      router.Acquire(TraitsOf("refund"), {},
                     [&](const util::Expected<Grant>& grant) {
                       if (!grant) {
                         ++refused;
                         return;
                       }
                       ++granted;
                       router.Release(*grant.m_value, TraitsOf("refund"),
                                      {.m_load = {.m_in_flight = 1}});
                     });
      router.ExpireWaiters();
      router.TakeDueProbes();
    }
  };
  std::vector<std::thread> workers;
  workers.reserve(threads);
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back(work);
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  Section("every request is decided once and every slot is released", [&] {
    CPPUNIT_ASSERT_EQUAL(threads * rounds, granted + refused);
    CPPUNIT_ASSERT(router.InFlight().empty());
  });
}

GUAVACROSS_TEST_CASE(RouterProbes) {
  using util::Section;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  router.Configure(ArchiveService(4));
  Section("a service without requests isn't probed", [&] {
    manual.Advance(seconds(1));
    CPPUNIT_ASSERT(router.TakeDueProbes().empty());
  });
  SendRequests(&router, 1, {});
  Section("unanswered probes are charged to the budget and not repeated early",
          [&] {
            std::map<std::string, int> probes;
            for (int i = 0; i < 200; ++i) {
              manual.Advance(milliseconds(5));
              for (const ProbeOrder& order : router.TakeDueProbes()) {
                ++probes[order.m_target];
              }
            }
            int sum = 0;
            for (const auto& [target, count] : probes) {
              sum += count;
              // A probe counts as lost after 4 timeouts, which is 1 s.
              CPPUNIT_ASSERT(count <= 2);
            }
            CPPUNIT_ASSERT(sum <= 11);
            CPPUNIT_ASSERT(router.Status().front().m_probes_sent <=
                           router.Status().front().m_probes_allowed + 1);
          });
  Section("load reports on answers make probes unnecessary", [&] {
    int probes = 0;
    for (int i = 0; i < 200; ++i) {
      manual.Advance(milliseconds(5));
      SendRequests(&router, 8, {.m_load = {.m_in_flight = 1}});
      probes += static_cast<int>(router.TakeDueProbes().size());
    }
    CPPUNIT_ASSERT(probes <= 2);
  });
}

GUAVACROSS_TEST_CASE(RouterLimitsRetriesAndHedges) {
  using util::Section;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  ServiceConfig config = ArchiveService(4);
  config.m_classes.front() = {.m_name = "refund", .m_hedge = true};
  router.Configure(config);
  SendRequests(&router, 100, {.m_latency = milliseconds(20)});
  Section("the hedge delay is a high percentile of the latencies", [&] {
    const auto delay = router.HedgeDelay(TraitsOf("refund"));
    CPPUNIT_ASSERT(delay);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, Milliseconds(*delay), 4);
    CPPUNIT_ASSERT(!router.HedgeDelay(TraitsOf("master")));
  });
  Section("retries and hedges together are limited to a tenth of the requests",
          [&] {
            int extra = 0;
            for (int i = 0; i < 100; ++i) {
              extra += router.TryChargeRetry(TraitsOf("refund"), 1) ? 1 : 0;
              extra += router.TryChargeHedge(TraitsOf("refund"), 1) ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(10, extra);
            CPPUNIT_ASSERT(!router.TryChargeRetry(TraitsOf("refund"), 3));
          });
}

}  // namespace guavacross::routing
