// Replays targets that refuse a part of their requests regardless of load.

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/routing.h"
#include "policy/random.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

// One of 38 instances before 92 targets, all of which refuse 40 % of their
// requests for eight seconds. Callers return once after a refusal.
constexpr int kInstances = 38;
constexpr int kTargets = 92;
constexpr double kShedShare = 0.4;
constexpr double kRequestsPerSecond = 12;
constexpr double kRetryShare = 0.17;
constexpr double kSharedRetries = 136;
constexpr Duration kServiceTime = milliseconds(130);
constexpr Duration kRefusalTime = milliseconds(2);
constexpr Duration kCallerTimeout = milliseconds(1500);
constexpr Duration kObjective = milliseconds(400);
constexpr Duration kCallerRoundTrip = milliseconds(12);
constexpr int kMaxAttempts = 2;

class SheddingTargets {
 public:
  explicit SheddingTargets(bool callers_return)
      : m_callers_return(callers_return),
        m_random(1),
        m_router({.m_seed = 1, .m_clock = m_clock.clock()}, {}) {
    ServiceConfig service;
    service.m_name = "shop";
    for (int i = 0; i < kTargets; ++i) {
      service.m_targets.push_back({.m_name = "t" + std::to_string(i),
                                   .m_slots = 3,
                                   .m_incarnation = 1});
    }
    service.m_classes = {{.m_name = "read", .m_claims = false}};
    service.m_classes.front().m_latency_objective = kObjective;
    service.m_retry.m_budget_share = kRetryShare;
    service.m_retry.m_shared_max_balance = kSharedRetries;
    service.m_retry.m_max_attempts = kMaxAttempts;
    m_router.Configure(service);
    m_router.SetInstanceCount(kInstances);
  }

  void Run(Duration duration, double shed_share) {
    m_shed_share = shed_share;
    const TimePoint end = m_clock.now() + duration;
    TimePoint next = m_clock.now();
    while (m_clock.now() < end) {
      if (m_clock.now() >= next) {
        next += FromSeconds(1 / kRequestsPerSecond);
        ++m_requests;
        Arrive(m_clock.now());
      }
      m_clock.Advance(milliseconds(1));
      m_router.ExpireWaiters();
    }
  }

  double ShareServed() const {
    return static_cast<double>(m_served) / std::max(1, m_requests);
  }
  double ShareInObjective() const {
    return static_cast<double>(m_in_objective) / std::max(1, m_requests);
  }
  double RetriesPerRequest() const {
    return static_cast<double>(m_retries) / std::max(1, m_arrivals);
  }

 private:
  struct Call {
    TimePoint m_first_sent;
    RequestTraits m_traits;
    std::vector<std::string> m_tried;
  };

  void After(Duration delay, std::function<void()> call) {
    m_timers.push_back(m_clock.clock().m_call_after(delay, std::move(call)));
  }

  void Arrive(TimePoint first_sent) {
    ++m_arrivals;
    const TimePoint now = m_clock.now();
    const Duration left = first_sent + kCallerTimeout - now;
    auto call = std::make_shared<Call>();
    call->m_first_sent = first_sent;
    call->m_traits = {.m_service = "shop",
                      .m_class_name = "read",
                      .m_deadline = now + left,
                      .m_caller_timeout = left,
                      .m_arrived = now};
    Acquire(call);
  }

  void Acquire(const std::shared_ptr<Call>& call) {
    m_router.Acquire(call->m_traits, call->m_tried,
                     [this, call](const util::Expected<Grant>& grant) {
                       if (grant) {
                         Send(call, *grant.m_value);
                       }
                     });
  }

  void Send(const std::shared_ptr<Call>& call, const Grant& grant) {
    call->m_tried.push_back(grant.m_target);
    const bool refused = m_random.Uniform() < m_shed_share;
    After(refused ? kRefusalTime : kServiceTime, [this, call, grant, refused] {
      m_router.Release(grant, call->m_traits,
                       {.m_end = refused ? AttemptEnd::kRefusedNotRun
                                         : AttemptEnd::kAnswered,
                        .m_latency = kServiceTime,
                        .m_load = {.m_in_flight = 0}});
      if (refused) {
        OnRefused(call);
        return;
      }
      ++m_served;
      m_in_objective += m_clock.now() - call->m_first_sent <= kObjective;
    });
  }

  void OnRefused(const std::shared_ptr<Call>& call) {
    if (m_router.TryChargeRetry(call->m_traits,
                                static_cast<int>(call->m_tried.size()),
                                AttemptEnd::kRefusedNotRun)) {
      ++m_retries;
      Acquire(call);
      return;
    }
    const bool is_first = call->m_traits.m_caller_timeout == kCallerTimeout;
    if (is_first && m_callers_return) {
      After(kCallerRoundTrip + m_router.RetryAfterRefusal("shop"),
            [this, first_sent = call->m_first_sent] { Arrive(first_sent); });
    }
  }

  const bool m_callers_return;
  util::ManualClock m_clock;
  policy::Random m_random;
  std::vector<std::unique_ptr<Timer>> m_timers;
  double m_shed_share = 0;
  int m_requests = 0;
  int m_arrivals = 0;
  int m_served = 0;
  int m_in_objective = 0;
  int m_retries = 0;
  Router m_router;
};

}  // namespace

// With the first retries spent on any request, a quarter of the callers was
// refused twice, and most that came back were late.
GUAVACROSS_TEST_CASE(AllTargetsShedAShareOfTheirRequests) {
  Section("callers that come back are served within their objective", [] {
    SheddingTargets shedding(true);
    shedding.Run(seconds(20), kShedShare);
    const std::string figures =
        std::to_string(shedding.ShareServed()) + " served, " +
        std::to_string(shedding.ShareInObjective()) + " in objective, " +
        std::to_string(shedding.RetriesPerRequest()) + " retries each";
    CPPUNIT_ASSERT_MESSAGE(figures, shedding.ShareServed() >= 0.92);
    CPPUNIT_ASSERT_MESSAGE(figures, shedding.ShareInObjective() >= 0.88);
    Section("without more retries than the budget allows", [&] {
      const double saved = kSharedRetries / kInstances;
      CPPUNIT_ASSERT_MESSAGE(
          figures, shedding.RetriesPerRequest() <=
                       kRetryShare + saved / (20 * kRequestsPerSecond) + 0.01);
    });
  });
  Section("callers that don't come back get as many retries as before", [] {
    SheddingTargets shedding(false);
    shedding.Run(seconds(20), kShedShare);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(shedding.RetriesPerRequest()),
                           shedding.RetriesPerRequest() >= kRetryShare - 0.01);
  });
}

}  // namespace guavacross::routing
