// Targets that name a limit on the requests of all instances together.

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/routing.h"
#include "policy/random.h"
#include "policy/request_limit.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr char kService[] = "shop";
constexpr char kLimited[] = "t0";
constexpr int kTargets = 24;

// A limit must hold from this long after it was first named, in any window.
constexpr Duration kStable = seconds(3);
constexpr Duration kWindow = seconds(4);

// The rule: in no window more than one and a half times the limit, and 5.
double Allowed(double limit) {
  return 1.5 * limit * Seconds(kWindow) + 5;
}

// Several instances, each with a router of its own, that send requests to the
// same targets. The target `kLimited` names a limit in all its answers.
class Fleet {
 public:
  struct Instance {
    std::string m_name;
    std::unique_ptr<Router> m_router;
    // The group of instances that hears of this one, and is heard by it.
    int m_group = 0;
    bool m_running = true;
    // Gets no notices of limits.
    bool m_deaf = false;
  };

  Fleet(int instances, double requests_per_second, double limit)
      : m_requests_per_step(requests_per_second * Seconds(kStep)),
        m_limit(limit) {
    for (int i = 0; i < instances; ++i) {
      auto instance = std::make_unique<Instance>();
      instance->m_name = "edge-" + std::to_string(100 + i);
      m_instances.push_back(std::move(instance));
    }
    for (const auto& instance : m_instances) {
      Start(instance.get());
    }
    UpdateViews();
  }

  void Start(Instance* instance) {
    instance->m_router =
        std::make_unique<Router>(RouterOptions{.m_name = instance->m_name,
                                               .m_zone = "a",
                                               .m_seed = ++m_seed,
                                               .m_clock = m_clock.clock()},
                                 Hooks(instance));
    instance->m_running = true;
    instance->m_router->Configure(Service());
  }

  void Stop(Instance* instance) { instance->m_running = false; }

  // Lets the instances of each group see each other, and no others.
  void UpdateViews() {
    for (const auto& instance : m_instances) {
      std::vector<InstancePlace> seen;
      for (const auto& peer : m_instances) {
        if (peer->m_running && peer->m_group == instance->m_group) {
          seen.push_back({.m_name = peer->m_name, .m_zone = "a"});
        }
      }
      if (instance->m_running) {
        instance->m_router->SetInstanceCount(static_cast<int>(seen.size()));
        instance->m_router->SetInstances(seen);
      }
    }
  }

  void Run(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kStep) {
      m_clock.Advance(kStep);
      m_due += m_requests_per_step;
      for (; m_due >= 1; --m_due) {
        SendOne();
      }
      EndRequests();
      for (const auto& instance : m_instances) {
        if (instance->m_running) {
          instance->m_router->ExpireWaiters();
        }
      }
    }
  }

  // Requests and probes of a target since `since`, and the most in any window.
  int Sent(TimePoint since) const {
    return static_cast<int>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(),
                      [since](TimePoint arrival) { return arrival >= since; }));
  }
  int MostInWindow(TimePoint since) const {
    int most = 0;
    for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
      const auto last = std::find_if(
          first, m_arrivals.end(),
          [first](TimePoint arrival) { return arrival >= *first + kWindow; });
      if (*first >= since) {
        most = std::max(most, static_cast<int>(last - first));
      }
    }
    return most;
  }

  // Checks what the limited target got since `since`.
  void CheckLimit(TimePoint since, const std::string& when) const {
    const int most = MostInWindow(since);
    CPPUNIT_ASSERT_MESSAGE(when + ": " + std::to_string(most) +
                               " requests in a window, allowed " +
                               std::to_string(Allowed(m_limit)),
                           most <= Allowed(m_limit));
    const double rate = Sent(since) / Seconds(now() - since);
    CPPUNIT_ASSERT_MESSAGE(when + ": " + std::to_string(rate) +
                               " requests a second of " +
                               std::to_string(m_limit),
                           rate <= m_limit * 1.1 + 1 / Seconds(now() - since));
  }
  void CheckUse(TimePoint since, const std::string& when) const {
    const double rate = Sent(since) / Seconds(now() - since);
    CPPUNIT_ASSERT_MESSAGE(when + ": only " + std::to_string(rate) +
                               " requests a second of " +
                               std::to_string(m_limit),
                           rate >= 0.8 * m_limit);
  }

  TimePoint now() const { return m_clock.now(); }
  std::vector<std::unique_ptr<Instance>>& instances() { return m_instances; }
  int refused() const { return m_refused; }
  static ServiceConfig Service();
  void set_limit(double limit) { m_limit = limit; }

 private:
  struct Running {
    TimePoint m_ends_at;
    Instance* m_instance = nullptr;
    Grant m_grant;
    RequestTraits m_traits;
  };

  static constexpr Duration kStep = milliseconds(5);
  static constexpr Duration kWork = milliseconds(70);

  RouterHooks Hooks(Instance* instance) {
    RouterHooks hooks;
    hooks.m_on_probes = [this,
                         instance](const std::vector<ProbeOrder>& orders) {
      for (const ProbeOrder& order : orders) {
        NoteArrival(order.m_target);
        instance->m_router->ReportProbe({.m_service = order.m_service,
                                         .m_target = order.m_target,
                                         .m_load = LoadOf(order.m_target),
                                         .m_answered = true});
      }
    };
    hooks.m_on_limit = [this, instance](const LimitNotice& notice) {
      for (const auto& peer : m_instances) {
        if (!peer->m_deaf && peer.get() != instance && peer->m_running &&
            peer->m_group == instance->m_group) {
          peer->m_router->LearnLimit(notice);
        }
      }
    };
    return hooks;
  }

  LoadReport LoadOf(const std::string& target) const {
    return {.m_in_flight = 0,
            .m_slowdown = 1,
            .m_request_limit = target == kLimited ? m_limit : 0};
  }

  void NoteArrival(const std::string& target) {
    if (target == kLimited) {
      m_arrivals.push_back(now());
    }
  }

  void SendOne() {
    Instance* const instance =
        m_instances[m_random.Below(m_instances.size())].get();
    if (!instance->m_running) {
      return;
    }
    const RequestTraits traits{.m_service = kService,
                               .m_class_name = "read",
                               .m_deadline = now() + seconds(1),
                               .m_caller_timeout = seconds(1),
                               .m_arrived = now()};
    instance->m_router->Acquire(
        traits, {},
        [this, instance, traits](const util::Expected<Grant>& grant) {
          if (!grant) {
            ++m_refused;
            return;
          }
          NoteArrival(grant.m_value->m_target);
          m_running.push_back({.m_ends_at = now() + kWork,
                               .m_instance = instance,
                               .m_grant = *grant.m_value,
                               .m_traits = traits});
        });
  }

  void EndRequests() {
    while (!m_running.empty() && m_running.front().m_ends_at <= now()) {
      const Running ended = std::move(m_running.front());
      m_running.pop_front();
      if (ended.m_instance->m_running) {
        ended.m_instance->m_router->Release(
            ended.m_grant, ended.m_traits,
            {.m_latency = kWork,
             .m_answer_begun = true,
             .m_load = LoadOf(ended.m_grant.m_target)});
      }
    }
  }

  util::ManualClock m_clock;
  policy::Random m_random{1};
  std::vector<std::unique_ptr<Instance>> m_instances;
  double m_requests_per_step = 0;
  double m_due = 0;
  double m_limit = 0;
  std::uint64_t m_seed = 0;
  std::deque<Running> m_running;
  std::vector<TimePoint> m_arrivals;
  int m_refused = 0;
};

ServiceConfig Fleet::Service() {
  ServiceConfig service;
  service.m_name = kService;
  for (int i = 0; i < kTargets; ++i) {
    service.m_targets.push_back({.m_name = "t" + std::to_string(i),
                                 .m_zone = "a",
                                 .m_slots = 64,
                                 .m_incarnation = 1});
  }
  service.m_classes = {{.m_name = "read", .m_claims = false}};
  service.m_classes.front().m_latency_objective = milliseconds(200);
  service.m_probe.m_probes_per_second = 10000;
  service.m_probe.m_probe_cost = Duration::zero();
  service.m_probe.m_path = "/health";
  service.m_probe.m_per_request = true;
  return service;
}

struct Deployment {
  int m_instances = 0;
  double m_requests_per_second = 0;
};

// Sizes of the deployments, and requests of one service a second there.
constexpr Deployment kDeployments[] = {{6, 320}, {38, 900}, {123, 1600}};
constexpr double kLimits[] = {0.5, 2, 50};

// Runs `body` for each deployment and limit, after the limit has been named and
// has become stable.
void ForEachDeployment(
    const std::function<void(Fleet*, const std::string& what)>& body) {
  for (const Deployment& deployment : kDeployments) {
    for (const double limit : kLimits) {
      const std::string what = std::to_string(deployment.m_instances) +
                               " instances, limit " + std::to_string(limit);
      Section(what, [&] {
        Fleet fleet(deployment.m_instances, deployment.m_requests_per_second,
                    0);
        fleet.Run(seconds(4));
        fleet.set_limit(limit);
        fleet.Run(kStable);
        body(&fleet, what);
      });
    }
  }
}

}  // namespace

// Guards against a failure seen on cedarbloom-gw: a target that had named a
// limit of 2.4 requests a second got 32 in 4 s.
GUAVACROSS_TEST_CASE(TargetsGetNoMoreThanTheLimitTheyName) {
  ForEachDeployment([](Fleet* fleet, const std::string& what) {
    const TimePoint start = fleet->now();
    const int refused = fleet->refused();
    fleet->Run(seconds(24));
    fleet->CheckLimit(start, what);
    fleet->CheckUse(start, what);
    // The other targets have room for all the rest.
    CPPUNIT_ASSERT_EQUAL(refused, fleet->refused());
  });
}

GUAVACROSS_TEST_CASE(LimitsOfInstancesThatAreNotTold) {
  for (const Deployment& deployment : kDeployments) {
    Section(std::to_string(deployment.m_instances) + " instances", [&] {
      Fleet fleet(deployment.m_instances, deployment.m_requests_per_second, 0);
      fleet.instances().front()->m_deaf = true;
      fleet.Run(seconds(4));
      fleet.set_limit(2);
      fleet.Run(kStable);
      const TimePoint start = fleet.now();
      fleet.Run(seconds(24));
      fleet.CheckLimit(start, "one isn't told");
    });
  }
}

GUAVACROSS_TEST_CASE(LimitsAfterARestartOfAllInstances) {
  ForEachDeployment([](Fleet* fleet, const std::string& what) {
    for (const auto& instance : fleet->instances()) {
      fleet->Start(instance.get());
    }
    // They see each other, and themselves alone before that.
    for (const auto& instance : fleet->instances()) {
      instance->m_router->SetInstances(
          {{.m_name = instance->m_name, .m_zone = "a"}});
    }
    fleet->Run(seconds(1));
    fleet->UpdateViews();
    fleet->Run(kStable);
    const TimePoint start = fleet->now();
    fleet->Run(seconds(24));
    fleet->CheckLimit(start, what);
    fleet->CheckUse(start, what);
  });
}

GUAVACROSS_TEST_CASE(LimitsAcrossGroupsThatHaveLostEachOther) {
  Section("two halves", [] {
    ForEachDeployment([](Fleet* fleet, const std::string& what) {
      const auto size = fleet->instances().size();
      for (std::size_t i = 0; i < size / 2; ++i) {
        fleet->instances()[i]->m_group = 1;
      }
      fleet->UpdateViews();
      const TimePoint start = fleet->now();
      fleet->Run(seconds(24));
      fleet->CheckLimit(start, what);
      fleet->CheckUse(start + seconds(8), what);
    });
  });
  Section("one instance alone, seen by none", [] {
    ForEachDeployment([](Fleet* fleet, const std::string& what) {
      fleet->instances().front()->m_group = 1;
      fleet->UpdateViews();
      const TimePoint start = fleet->now();
      fleet->Run(seconds(24));
      fleet->CheckLimit(start, what);
    });
  });
}

GUAVACROSS_TEST_CASE(LimitsWhenInstancesStop) {
  Section("one of them", [] {
    ForEachDeployment([](Fleet* fleet, const std::string& what) {
      fleet->Stop(fleet->instances().front().get());
      fleet->UpdateViews();
      fleet->Run(policy::RequestShare::kGrowthDelay);
      const TimePoint start = fleet->now();
      fleet->Run(seconds(24));
      fleet->CheckLimit(start, what);
      fleet->CheckUse(start, what);
    });
  });
  Section("all but one, which takes the limit only when it is certain", [] {
    Fleet fleet(6, 320, 2);
    fleet.Run(seconds(4));
    for (std::size_t i = 1; i < 6; ++i) {
      fleet.Stop(fleet.instances()[i].get());
    }
    fleet.UpdateViews();
    const TimePoint start = fleet.now();
    fleet.Run(seconds(24));
    fleet.CheckLimit(start, "the one that is left");
    CPPUNIT_ASSERT(fleet.Sent(start) > 0);
  });
}

GUAVACROSS_TEST_CASE(LimitsThatEnd) {
  Fleet fleet(6, 320, 2);
  fleet.Run(seconds(8));
  Section("end with the first answer without one, for all instances", [&] {
    const TimePoint start = fleet.now();
    fleet.set_limit(0);
    fleet.Run(seconds(4));
    // Its part of the requests, as any other target.
    CPPUNIT_ASSERT(fleet.Sent(start) > 2 * Allowed(2));
  });
  Section("and begin again", [&] {
    fleet.set_limit(2);
    fleet.Run(kStable);
    const TimePoint start = fleet.now();
    fleet.Run(seconds(8));
    fleet.CheckLimit(start, "again");
  });
}

namespace {

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
    ServiceConfig service = Fleet::Service();
    service.m_targets.resize(2);
    probing.Configure(service);
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
