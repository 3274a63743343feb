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
constexpr int kTargets = 24;

// A limit must hold from this long after it was first named, in any window.
constexpr Duration kStable = seconds(3);
constexpr Duration kWindow = seconds(4);

// The rule: in no window more than one and a half times the limit, and 5.
double Allowed(double limit) {
  return 1.5 * limit * Seconds(kWindow) + 5;
}

ServiceConfig Service() {
  std::vector<TargetConfig> targets;
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back({.m_name = "t" + std::to_string(i),
                       .m_zone = "a",
                       .m_slots = 64,
                       .m_incarnation = 1});
  }
  return testing::ProbedService(kService, std::move(targets));
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

}  // namespace guavacross::routing
