// Tests of queueing and refusal while the load exceeds the targets' capacity.

#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/routing.h"
#include "policy/random.h"
#include "policy/waiting.h"
#include "util/manual_clock.h"
#include "util/story_test.h"

namespace guavacross::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

// Service time, objective and deadline of the most frequent class of requests,
// and a burst as recorded on a day on which a third of the targets became
// unresponsive during it.
constexpr Duration kWork = milliseconds(220);
constexpr Duration kObjective = milliseconds(600);
constexpr Duration kPatience = milliseconds(1500);
constexpr int kTargets = 28;
constexpr int kSlots = 4;
constexpr double kCalmLoad = 0.5;
constexpr double kBurstLoad = 1.3;
constexpr double kDarkShare = 1.0 / 3;
constexpr Duration kBurstFrom = seconds(3);
constexpr Duration kBurstTo = seconds(7);
constexpr Duration kLength = seconds(11);
// The share of callers that ignore the retry delay, and how soon they retry.
constexpr double kHastyShare = 0.2;
constexpr Duration kHastyReturn = milliseconds(5);
constexpr std::uint64_t kSeed = 7;

struct Figures {
  int m_asked = 0;
  int m_in_objective = 0;
  int m_served = 0;

  double ShareInObjective() const {
    return static_cast<double>(m_in_objective) / std::max(1, m_asked);
  }
};

// Simulates callers, one instance and its targets.
class Burst {
 public:
  Burst(ChoicePolicy policy, std::set<Mechanism> disabled)
      : m_random(kSeed),
        m_start(m_clock.now()),
        m_router({.m_zone = "z",
                  .m_policy = policy,
                  .m_disabled = std::move(disabled),
                  .m_seed = kSeed,
                  .m_clock = m_clock.clock()},
                 {}) {
    ServiceConfig service;
    service.m_name = "shop";
    for (int i = 0; i < kTargets; ++i) {
      const std::string name = "t" + std::to_string(i);
      service.m_targets.push_back(
          {.m_name = name, .m_zone = "z", .m_slots = kSlots});
      m_dark[name] = i < kTargets * kDarkShare;
    }
    ClassConfig read{.m_name = "read"};
    read.m_claims = false;
    read.m_deadline = kPatience;
    read.m_objective = kObjective;
    read.m_queue_limit = 256;
    read.m_queue_wait = kPatience;
    service.m_classes = {read};
    m_router.Configure(service);
  }

  void Run() {
    TimePoint next = m_clock.now();
    while (Passed() < kLength) {
      if (m_clock.now() >= next) {
        const double load = InBurst() ? kBurstLoad : kCalmLoad;
        const double rate = load * kTargets * kSlots / Seconds(kWork);
        next += FromSeconds(-std::log(1 - m_random.Uniform()) / rate);
        Arrive();
      }
      m_clock.Advance(milliseconds(1));
      m_router.ExpireWaiters();
    }
  }

  Figures m_calm;
  Figures m_burst;
  Figures m_after;
  int m_refused_in_calm = 0;
  // The time from each refused attempt to its refusal.
  std::vector<double> m_held_ms;

 private:
  struct Caller {
    TimePoint m_first;
    bool m_hasty = false;
    bool m_came_back = false;
    Figures* m_figures = nullptr;
  };

  Duration Passed() const { return m_clock.now() - m_start; }
  bool InBurst() const { return Passed() >= kBurstFrom && Passed() < kBurstTo; }

  void After(Duration delay, std::function<void()> call) {
    m_timers.push_back(m_clock.clock().m_call_after(delay, std::move(call)));
  }

  void Arrive() {
    auto caller = std::make_shared<Caller>();
    caller->m_first = m_clock.now();
    caller->m_hasty = m_random.Uniform() < kHastyShare;
    caller->m_figures = InBurst()               ? &m_burst
                        : Passed() < kBurstFrom ? &m_calm
                                                : &m_after;
    ++caller->m_figures->m_asked;
    Ask(caller);
  }

  void Ask(const std::shared_ptr<Caller>& caller) {
    const TimePoint asked_at = m_clock.now();
    const TimePoint deadline = caller->m_first + kPatience;
    const RequestTraits traits{.m_service = "shop",
                               .m_class_name = "read",
                               .m_tenant = "t",
                               .m_deadline = deadline,
                               .m_asked_wait = deadline - asked_at,
                               .m_arrived = asked_at};
    m_router.Acquire(traits, {}, [=, this](const util::Expected<Grant>& grant) {
      if (grant) {
        Send(caller, traits, *grant.m_value);
      } else {
        Refused(caller, asked_at, grant.m_error);
      }
    });
  }

  void Refused(const std::shared_ptr<Caller>& caller,
               TimePoint asked_at,
               const Error& error) {
    m_held_ms.push_back(Milliseconds(m_clock.now() - asked_at));
    m_refused_in_calm += Passed() < kBurstFrom ? 1 : 0;
    if (std::exchange(caller->m_came_back, true)) {
      return;
    }
    const Duration told = std::max(error.m_retry_after, kHastyReturn);
    const Duration wait =
        std::min(caller->m_hasty ? kHastyReturn : told,
                 (caller->m_first + kPatience - m_clock.now()) / 3);
    After(wait, [=, this] { Ask(caller); });
  }

  void Send(const std::shared_ptr<Caller>& caller,
            const RequestTraits& traits,
            const Grant& grant) {
    const bool dark = InBurst() && m_dark[grant.m_target];
    const Duration work = FromSeconds(
        Seconds(kWork) * (0.5 + m_random.Uniform()) *
        std::max(1.0,
                 static_cast<double>(++m_running[grant.m_target]) / kSlots));
    const Duration left = traits.m_deadline - m_clock.now();
    const bool answered = !dark && work < left;
    const Duration until = answered ? work : std::max(left, Duration::zero());
    After(until, [=, this] {
      --m_running[grant.m_target];
      if (answered) {
        ++caller->m_figures->m_served;
        caller->m_figures->m_in_objective +=
            m_clock.now() - caller->m_first <= kObjective ? 1 : 0;
      }
      m_router.Release(
          grant, traits,
          {.m_end = answered ? AttemptEnd::kAnswered : AttemptEnd::kTimeout,
           .m_latency = until});
    });
  }

  util::ManualClock m_clock;
  policy::Random m_random;
  TimePoint m_start;
  std::map<std::string, bool> m_dark;
  std::map<std::string, int> m_running;
  std::vector<std::unique_ptr<Timer>> m_timers;
  Router m_router;
};

std::unique_ptr<Burst> Play(ChoicePolicy policy,
                            std::set<Mechanism> disabled = {}) {
  auto burst = std::make_unique<Burst>(policy, std::move(disabled));
  burst->Run();
  return burst;
}

}  // namespace

GUAVACROSS_STORY(BurstWhileAThirdIsDark) {
  const auto now = Play(ChoicePolicy::kGuavacross);
  std::cout << " (in objective: " << now->m_burst.ShareInObjective();

  Section(
      "more callers are answered in time than if all wait until their deadline",
      [&] {
        const auto before =
            Play(ChoicePolicy::kGuavacross, {Mechanism::kObjectiveWaits});
        std::cout << ", waiting until the deadline: "
                  << before->m_burst.ShareInObjective();
        CPPUNIT_ASSERT(now->m_burst.ShareInObjective() >
                       before->m_burst.ShareInObjective());
        CPPUNIT_ASSERT(now->m_after.ShareInObjective() >=
                       before->m_after.ShareInObjective());
      });
  Section("more callers are answered in time than with any baseline", [&] {
    for (const ChoicePolicy policy :
         {ChoicePolicy::kLeastInFlight, ChoicePolicy::kRoundRobin,
          ChoicePolicy::kRandom}) {
      const double share = Play(policy)->m_burst.ShareInObjective();
      std::cout << ", baseline: " << share;
      CPPUNIT_ASSERT(now->m_burst.ShareInObjective() > share);
    }
  });
  std::cout << ")";
  Section("no caller is refused before the burst", [&] {
    CPPUNIT_ASSERT_EQUAL(0, now->m_refused_in_calm);
    CPPUNIT_ASSERT(now->m_calm.ShareInObjective() > 0.95);
  });
  Section("no refusal takes more than half of the objective", [&] {
    CPPUNIT_ASSERT(!now->m_held_ms.empty());
    for (const double held : now->m_held_ms) {
      CPPUNIT_ASSERT(held <= Milliseconds(kObjective) / 2);
    }
  });
}

}  // namespace guavacross::routing

namespace guavacross::policy {

GUAVACROSS_STORY(WaitsByWhatIsLeft) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  using util::Section;
  const WaitBounds fresh{.m_objective = milliseconds(600),
                         .m_deadline_left = milliseconds(1500),
                         .m_usual_time = milliseconds(200)};
  Section("a request without an objective may wait until its deadline", [] {
    CPPUNIT_ASSERT(LongestWait({.m_deadline_left = seconds(3)}) == seconds(3));
    CPPUNIT_ASSERT(!IsPastObjective({.m_deadline_left = seconds(3)}));
  });
  Section("a new request waits up to half of the objective less its usual time",
          [&] { CPPUNIT_ASSERT(LongestWait(fresh) == milliseconds(200)); });
  Section("a retried request may wait less", [&] {
    WaitBounds back = fresh;
    back.m_elapsed = milliseconds(200);
    CPPUNIT_ASSERT(LongestWait(back) == milliseconds(100));
    CPPUNIT_ASSERT(!IsPastObjective(back));
  });
  Section("a request past its objective may wait a quarter of its deadline",
          [&] {
            WaitBounds late = fresh;
            late.m_elapsed = milliseconds(500);
            late.m_deadline_left = milliseconds(1000);
            CPPUNIT_ASSERT(IsPastObjective(late));
            CPPUNIT_ASSERT(LongestWait(late) == milliseconds(250));
          });
  Section("retry delays of callers refused together are spread out", [] {
    Random random(1);
    Duration soonest = seconds(9);
    Duration latest{};
    for (int i = 0; i < 100; ++i) {
      const Duration told = RetryAfter(milliseconds(400), &random);
      soonest = std::min(soonest, told);
      latest = std::max(latest, told);
    }
    CPPUNIT_ASSERT(soonest >= milliseconds(400));
    CPPUNIT_ASSERT(latest <= milliseconds(800));
    CPPUNIT_ASSERT(latest - soonest > milliseconds(300));
  });
  Section("a recent maximum expires once the value isn't recorded any more",
          [] {
            RecentMaximum longest;
            const TimePoint start{seconds(100)};
            longest.Record(seconds(2), start);
            longest.Record(seconds(1), start + seconds(11));
            CPPUNIT_ASSERT(longest.value() == seconds(2));
            longest.Record(seconds(1), start + seconds(22));
            CPPUNIT_ASSERT(longest.value() == seconds(1));
          });
}

}  // namespace guavacross::policy
