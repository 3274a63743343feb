// Tests of what target selection is based on: load estimates, costs, slot
// shares and latencies.

#include "policy/latency_window.h"
#include "policy/slot_shares.h"
#include "policy/target_choice.h"
#include "policy/target_load.h"
#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

GUAVACROSS_TEST_CASE(TargetLoadReports) {
  using util::Section;
  const LoadAging aging;
  TargetLoad load;
  load.Sent();
  load.Report(4, kStart);
  Section("a report takes effect at once, minus own attempts", [&] {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, load.PeerAttempts(aging, 0, kStart), 1e-9);
  });
  Section("own attempts sent later don't change the peers' count", [&] {
    load.Sent();
    CPPUNIT_ASSERT_EQUAL(2, load.own());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, load.PeerAttempts(aging, 0, kStart), 1e-9);
    CPPUNIT_ASSERT(load.IsFresh(aging, kStart));
  });
  Section("a report is used a limited number of times", [&] {
    load.Sent();
    CPPUNIT_ASSERT(!load.IsFresh(aging, kStart));
  });
  Section("an expired report is replaced by the usual load", [&] {
    const TimePoint later = kStart + aging.m_report_lifetime;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, load.PeerAttempts(aging, 1.5, later),
                                 1e-9);
  });
  Section("an older report doesn't replace a newer one", [&] {
    load.Report(9, kStart - milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(3, load.reported_peer_attempts());
  });
  Section("a failure raises slowness at once, and it decays", [&] {
    load.RecordFailure(aging, kStart);
    CPPUNIT_ASSERT(load.Slowness(aging, kStart) > 2.5);
    CPPUNIT_ASSERT(load.Slowness(aging, kStart + seconds(5)) < 1.01);
  });
  Section("peers that are idle for a moment may use the target again", [&] {
    TargetLoad quiet;
    quiet.Report(0, kStart);
    quiet.PeersReport(0, kStart);
    CPPUNIT_ASSERT(!quiet.IsUnusedByPeers(aging, kStart + milliseconds(100)));
    quiet.PeersReport(0, kStart + milliseconds(300));
    CPPUNIT_ASSERT(quiet.IsUnusedByPeers(aging, kStart + milliseconds(300)));
  });
  Section("peers' reports alone don't show a target to be unused", [&] {
    TargetLoad back;
    back.Report(0, kStart);
    back.PeersReport(0, kStart);
    const TimePoint later = kStart + seconds(1);
    back.PeersReport(0, later);
    CPPUNIT_ASSERT(!back.IsUnusedByPeers(aging, later));
  });
}

GUAVACROSS_TEST_CASE(TargetCosts) {
  using util::Section;
  const Candidate idle{.m_load = 0, .m_slots = 4};
  Section("of two targets with free slots, the less loaded is cheaper", [&] {
    CPPUNIT_ASSERT(Cost(idle) < Cost({.m_load = 2, .m_slots = 4}));
    CPPUNIT_ASSERT(Cost({.m_load = 3, .m_slots = 4}) <= kGoodCost);
  });
  Section("a full target costs more than any with a free slot", [] {
    CPPUNIT_ASSERT(Cost({.m_load = 5, .m_slots = 4}) > kGoodCost);
  });
  Section("an idle failing target costs more than a full healthy one", [&] {
    const Candidate failing{.m_load = 0, .m_slots = 4, .m_slowness = 4};
    CPPUNIT_ASSERT(Cost(failing) > Cost({.m_load = 5, .m_slots = 4}));
  });
  Section("the own zone is preferred until its target is busier", [] {
    const Candidate other_zone{.m_load = 1, .m_slots = 4, .m_other_zone = true};
    CPPUNIT_ASSERT(Cost({.m_load = 1, .m_slots = 4}) < Cost(other_zone));
    CPPUNIT_ASSERT(Cost({.m_load = 4, .m_slots = 4}) > Cost(other_zone));
  });
}

GUAVACROSS_TEST_CASE(SlotShares) {
  using util::Section;
  const SlotView full{.m_slots = 4, .m_instances = 6, .m_peer_attempts = 8};
  Section("every instance may have one attempt on every target",
          [&] { CPPUNIT_ASSERT(FindSlot(full) == SlotSource::kOwnShare); });
  Section("more attempts need a fresh report of free slots", [&] {
    SlotView view{.m_slots = 4, .m_instances = 6, .m_own = 1};
    CPPUNIT_ASSERT(FindSlot(view) == SlotSource::kNone);
    view.m_fresh = true;
    CPPUNIT_ASSERT(FindSlot(view) == SlotSource::kBorrowed);
    view.m_peer_attempts = 5;
    CPPUNIT_ASSERT(FindSlot(view) == SlotSource::kNone);
    view.m_peer_attempts = 2;
    CPPUNIT_ASSERT(FindSlot(view) == SlotSource::kBorrowed);
    view.m_attempts_since_report = 1;
    CPPUNIT_ASSERT(FindSlot(view) == SlotSource::kNone);
  });
  Section("all slots may be borrowed if peers don't use them", [] {
    SlotView view{.m_slots = 4, .m_instances = 6, .m_own = 3};
    view.m_unused_by_peers = true;
    CPPUNIT_ASSERT(FindSlot(view) == SlotSource::kBorrowed);
    view.m_own = 4;
    CPPUNIT_ASSERT(FindSlot(view) == SlotSource::kNone);
  });
  Section("a single instance may use all slots and no more", [] {
    CPPUNIT_ASSERT(FindSlot({.m_slots = 4, .m_own = 3}) ==
                   SlotSource::kOwnShare);
    CPPUNIT_ASSERT(FindSlot({.m_slots = 4, .m_own = 4}) == SlotSource::kNone);
  });
  Section("bulk transfers never get all slots", [] {
    CPPUNIT_ASSERT_EQUAL(2, BulkLimit(32, 6, 1.0 / 3, false));
    CPPUNIT_ASSERT_EQUAL(24, BulkLimit(32, 1, 1.0 / 3, true));
    CPPUNIT_ASSERT_EQUAL(1, BulkLimit(4, 6, 0.1, false));
  });
}

GUAVACROSS_TEST_CASE(LatencyPercentiles) {
  using util::Section;
  LatencyWindow window;
  for (int ms = 1; ms <= 100; ++ms) {
    window.Record(milliseconds(ms));
  }
  Section("percentiles are accurate to a bucket's width", [&] {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, Milliseconds(window.Percentile(50)), 8);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(99, Milliseconds(window.Percentile(99)), 15);
  });
  Section("old latencies lose weight", [&] {
    for (int i = 0; i < 5000; ++i) {
      window.Record(milliseconds(400));
    }
    CPPUNIT_ASSERT(window.median() > milliseconds(300));
  });
}

}  // namespace guavacross::policy
