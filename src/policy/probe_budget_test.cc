#include "policy/probe_budget.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <iostream>

#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr int kInstances = 6;
constexpr double kRate = 30;

}  // namespace

GUAVACROSS_TEST_CASE(ProbeBudgetOfOneInstance) {
  using util::Section;
  Section("the time share limits the rate of a small pool", [] {
    // 32 slots and 1 % of their time at 6 ms a probe.
    const ProbeConfig config{.m_probes_per_second = 1000};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(53.33, AllowedProbeRate(config, 32), 0.01);
    const ProbeConfig slow{.m_probes_per_second = 10};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, AllowedProbeRate(slow, 32), 0.01);
  });
  Section("a paused instance doesn't send the probes it missed", [] {
    ProbeBudget budget;
    budget.SetRate(10, kStart);
    const TimePoint later = kStart + minutes(10);
    int sent = 0;
    while (budget.Take(later)) {
      ++sent;
    }
    CPPUNIT_ASSERT_EQUAL(1, sent);
    CPPUNIT_ASSERT(budget.NextProbeTime(later) <= later + milliseconds(101));
    CPPUNIT_ASSERT(budget.Take(budget.NextProbeTime(later)));
  });
  Section("the largest count is used until the window has passed", [] {
    InstanceCountWindow window;
    window.Record(6, kStart);
    window.Record(1, kStart + seconds(1));
    CPPUNIT_ASSERT_EQUAL(6, window.Largest(kStart + minutes(4)));
    CPPUNIT_ASSERT_EQUAL(1, window.Largest(kStart + minutes(6)));
    window.Record(3, kStart + minutes(7));
    CPPUNIT_ASSERT_EQUAL(3, window.Largest(kStart + minutes(60)));
  });
}

GUAVACROSS_TEST_CASE(ProbeBudgetOfSixInstances) {
  // Six instances send no more than the budget and one probe each, whatever
  // counts a lagging instance list shows, however long instances pause, and
  // even if each sends whenever it may.
  const bool holds = rc::check("six instances stay within one budget", [] {
    const auto steps = *rc::gen::container<std::vector<std::array<int, 3>>>(
        rc::gen::container<std::array<int, 3>>(rc::gen::inRange(0, 200)));
    std::array<ProbeBudget, kInstances> budgets;
    std::array<InstanceCountWindow, kInstances> counts;
    TimePoint now = kStart;
    for (int i = 0; i < kInstances; ++i) {
      counts[i].Record(kInstances, now);
      budgets[i].SetRate(kRate / kInstances, now);
    }
    int sent = 0;
    for (const auto& [instance_pick, wait_ms, shown] : steps) {
      now += milliseconds(wait_ms);
      const int i = instance_pick % kInstances;
      counts[i].Record(1 + shown % kInstances, now);
      budgets[i].SetRate(kRate / counts[i].Largest(now), now);
      while (budgets[i].Take(now)) {
        ++sent;
      }
    }
    RC_ASSERT(sent <= kRate * Seconds(now - kStart) + kInstances + 1e-6);
  });
  CPPUNIT_ASSERT(holds);
}

}  // namespace guavacross::policy
