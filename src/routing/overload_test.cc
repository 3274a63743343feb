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
#include "util/test_case.h"

namespace guavacross::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

// Service time, objective and deadline of the most frequent class of requests,
// and a burst as recorded on a day on which a third of the targets became
// unresponsive during it.
constexpr Duration kServiceTime = milliseconds(220);
constexpr Duration kObjective = milliseconds(600);
constexpr Duration kCallerDeadline = milliseconds(1500);
constexpr int kTargets = 28;
constexpr int kSlots = 4;
constexpr double kNormalLoad = 0.5;
constexpr double kBurstLoad = 1.3;
constexpr double kUnresponsiveShare = 1.0 / 3;
constexpr Duration kBurstStart = seconds(3);
constexpr Duration kBurstEnd = seconds(7);
constexpr Duration kRunTime = seconds(11);
// The share of callers that ignore the retry delay, and how soon they retry.
constexpr double kImmediateRetryShare = 0.2;
constexpr Duration kImmediateRetryDelay = milliseconds(5);
constexpr std::uint64_t kSeed = 7;

struct RequestCounts {
  int m_requests = 0;
  int m_in_objective = 0;
  int m_served = 0;

  double ShareInObjective() const {
    return static_cast<double>(m_in_objective) / std::max(1, m_requests);
  }
};

// Simulates callers, one instance and its targets.
class BurstSimulation {
 public:
  BurstSimulation(ChoicePolicy policy, std::set<Mechanism> disabled)
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
      m_unresponsive[name] = i < kTargets * kUnresponsiveShare;
    }
    ClassConfig read{.m_name = "read"};
    read.m_claims = false;
    read.m_deadline = kCallerDeadline;
    read.m_latency_objective = kObjective;
    read.m_queue_limit = 256;
    read.m_queue_wait = kCallerDeadline;
    service.m_classes = {read};
    m_router.Configure(service);
  }

  void Run() {
    TimePoint next = m_clock.now();
    while (Elapsed() < kRunTime) {
      if (m_clock.now() >= next) {
        const double load = InBurst() ? kBurstLoad : kNormalLoad;
        const double rate = load * kTargets * kSlots / Seconds(kServiceTime);
        next += FromSeconds(-std::log(1 - m_random.Uniform()) / rate);
        Arrive();
      }
      m_clock.Advance(milliseconds(1));
      m_router.ExpireWaiters();
    }
  }

  RequestCounts m_before_burst;
  RequestCounts m_during_burst;
  RequestCounts m_after_burst;
  int m_refused_before_burst = 0;
  // The time from each refused attempt to its refusal.
  std::vector<double> m_refusal_times_ms;

 private:
  struct Caller {
    TimePoint m_first_attempt_at;
    bool m_ignores_retry_delay = false;
    bool m_has_retried = false;
    RequestCounts* m_counts = nullptr;
  };

  Duration Elapsed() const { return m_clock.now() - m_start; }
  bool InBurst() const {
    return Elapsed() >= kBurstStart && Elapsed() < kBurstEnd;
  }

  void After(Duration delay, std::function<void()> call) {
    m_timers.push_back(m_clock.clock().m_call_after(delay, std::move(call)));
  }

  void Arrive() {
    auto caller = std::make_shared<Caller>();
    caller->m_first_attempt_at = m_clock.now();
    caller->m_ignores_retry_delay = m_random.Uniform() < kImmediateRetryShare;
    caller->m_counts = InBurst()                 ? &m_during_burst
                       : Elapsed() < kBurstStart ? &m_before_burst
                                                 : &m_after_burst;
    ++caller->m_counts->m_requests;
    RequestTarget(caller);
  }

  void RequestTarget(const std::shared_ptr<Caller>& caller) {
    const TimePoint asked_at = m_clock.now();
    const TimePoint deadline = caller->m_first_attempt_at + kCallerDeadline;
    const RequestTraits traits{.m_service = "shop",
                               .m_class_name = "read",
                               .m_tenant = "t",
                               .m_deadline = deadline,
                               .m_caller_timeout = deadline - asked_at,
                               .m_arrived = asked_at};
    m_router.Acquire(traits, {}, [=, this](const util::Expected<Grant>& grant) {
      if (grant) {
        Send(caller, traits, *grant.m_value);
      } else {
        HandleRefusal(caller, asked_at, grant.m_error);
      }
    });
  }

  void HandleRefusal(const std::shared_ptr<Caller>& caller,
                     TimePoint asked_at,
                     const Error& error) {
    m_refusal_times_ms.push_back(Milliseconds(m_clock.now() - asked_at));
    m_refused_before_burst += Elapsed() < kBurstStart ? 1 : 0;
    if (std::exchange(caller->m_has_retried, true)) {
      return;
    }
    const Duration retry_delay =
        std::max(error.m_retry_after, kImmediateRetryDelay);
    const Duration wait = std::min(
        caller->m_ignores_retry_delay ? kImmediateRetryDelay : retry_delay,
        (caller->m_first_attempt_at + kCallerDeadline - m_clock.now()) / 3);
    After(wait, [=, this] { RequestTarget(caller); });
  }

  void Send(const std::shared_ptr<Caller>& caller,
            const RequestTraits& traits,
            const Grant& grant) {
    const bool unresponsive = InBurst() && m_unresponsive[grant.m_target];
    const Duration work = FromSeconds(
        Seconds(kServiceTime) * (0.5 + m_random.Uniform()) *
        std::max(1.0,
                 static_cast<double>(++m_running[grant.m_target]) / kSlots));
    const Duration left = traits.m_deadline - m_clock.now();
    const bool answered = !unresponsive && work < left;
    const Duration attempt_time =
        answered ? work : std::max(left, Duration::zero());
    After(attempt_time, [=, this] {
      --m_running[grant.m_target];
      if (answered) {
        ++caller->m_counts->m_served;
        caller->m_counts->m_in_objective +=
            m_clock.now() - caller->m_first_attempt_at <= kObjective ? 1 : 0;
      }
      m_router.Release(
          grant, traits,
          {.m_end = answered ? AttemptEnd::kAnswered : AttemptEnd::kTimeout,
           .m_latency = attempt_time});
    });
  }

  util::ManualClock m_clock;
  policy::Random m_random;
  TimePoint m_start;
  std::map<std::string, bool> m_unresponsive;
  std::map<std::string, int> m_running;
  std::vector<std::unique_ptr<Timer>> m_timers;
  Router m_router;
};

std::unique_ptr<BurstSimulation> RunSimulation(
    ChoicePolicy policy,
    std::set<Mechanism> disabled = {}) {
  auto simulation =
      std::make_unique<BurstSimulation>(policy, std::move(disabled));
  simulation->Run();
  return simulation;
}

}  // namespace

GUAVACROSS_TEST_CASE(BurstWithAThirdOfTargetsUnresponsive) {
  const auto bounded_waits = RunSimulation(ChoicePolicy::kGuavacross);
  std::cout << " (in objective: "
            << bounded_waits->m_during_burst.ShareInObjective();

  Section(
      "more callers are answered in time than if all wait until their deadline",
      [&] {
        const auto deadline_waits = RunSimulation(ChoicePolicy::kGuavacross,
                                                  {Mechanism::kObjectiveWaits});
        std::cout << ", waiting until the deadline: "
                  << deadline_waits->m_during_burst.ShareInObjective();
        CPPUNIT_ASSERT(bounded_waits->m_during_burst.ShareInObjective() >
                       deadline_waits->m_during_burst.ShareInObjective());
        CPPUNIT_ASSERT(bounded_waits->m_after_burst.ShareInObjective() >=
                       deadline_waits->m_after_burst.ShareInObjective());
      });
  Section("more callers are answered in time than with any baseline", [&] {
    for (const ChoicePolicy policy :
         {ChoicePolicy::kLeastInFlight, ChoicePolicy::kRoundRobin,
          ChoicePolicy::kRandom}) {
      const double share =
          RunSimulation(policy)->m_during_burst.ShareInObjective();
      std::cout << ", baseline: " << share;
      CPPUNIT_ASSERT(bounded_waits->m_during_burst.ShareInObjective() > share);
    }
  });
  std::cout << ")";
  Section("no caller is refused before the burst", [&] {
    CPPUNIT_ASSERT_EQUAL(0, bounded_waits->m_refused_before_burst);
    CPPUNIT_ASSERT(bounded_waits->m_before_burst.ShareInObjective() > 0.95);
  });
  Section("no refusal takes more than half of the objective", [&] {
    CPPUNIT_ASSERT(!bounded_waits->m_refusal_times_ms.empty());
    for (const double refusal_time_ms : bounded_waits->m_refusal_times_ms) {
      CPPUNIT_ASSERT(refusal_time_ms <= Milliseconds(kObjective) / 2);
    }
  });
}

}  // namespace guavacross::routing

namespace guavacross::policy {

GUAVACROSS_TEST_CASE(LongestWaitAndRetryDelay) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  using util::Section;
  const WaitBounds first_attempt{.m_latency_objective = milliseconds(600),
                                 .m_deadline_left = milliseconds(1500),
                                 .m_usual_time = milliseconds(200)};
  Section("a request without an objective may wait until its deadline", [] {
    CPPUNIT_ASSERT(LongestWait({.m_deadline_left = seconds(3)}) == seconds(3));
    CPPUNIT_ASSERT(!IsPastObjective({.m_deadline_left = seconds(3)}));
  });
  Section(
      "a new request waits up to half of the objective less its usual time",
      [&] { CPPUNIT_ASSERT(LongestWait(first_attempt) == milliseconds(200)); });
  Section("a retried request may wait less", [&] {
    WaitBounds retried = first_attempt;
    retried.m_elapsed = milliseconds(200);
    CPPUNIT_ASSERT(LongestWait(retried) == milliseconds(100));
    CPPUNIT_ASSERT(!IsPastObjective(retried));
  });
  Section("a request past its objective may wait a quarter of its deadline",
          [&] {
            WaitBounds past_objective = first_attempt;
            past_objective.m_elapsed = milliseconds(500);
            past_objective.m_deadline_left = milliseconds(1000);
            CPPUNIT_ASSERT(IsPastObjective(past_objective));
            CPPUNIT_ASSERT(LongestWait(past_objective) == milliseconds(250));
          });
  Section("retry delays of callers refused together are spread out", [] {
    Random random(1);
    Duration soonest = seconds(9);
    Duration latest{};
    for (int i = 0; i < 100; ++i) {
      const Duration retry_delay = RetryAfter(milliseconds(400), &random);
      soonest = std::min(soonest, retry_delay);
      latest = std::max(latest, retry_delay);
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
