#include "ledger/request_ledger.h"

#include <string>
#include <vector>

#include "ledger/ledger_cluster.h"
#include "util/test_case.h"

namespace guavacross::ledger {

namespace {

using testing::Cluster;
using testing::kInstanceCount;
using testing::LostAnswer;
using testing::milliseconds;
using testing::seconds;
using util::Section;

using Kind = ClaimDecision::Kind;

void AssertRefused(const Cluster::Copy& copy, ErrorKind kind) {
  CPPUNIT_ASSERT(copy.m_decision.has_value());
  CPPUNIT_ASSERT(copy.m_decision->m_kind == Kind::kRefuse);
  CPPUNIT_ASSERT_EQUAL(
      std::string(AnswerFor(kind).m_name),
      std::string(AnswerFor(copy.m_decision->m_error.m_kind).m_name));
}

void AssertKind(const Cluster::Copy& copy, Kind kind) {
  CPPUNIT_ASSERT(copy.m_decision.has_value());
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(kind),
                       static_cast<int>(copy.m_decision->m_kind));
}

}  // namespace

GUAVACROSS_TEST_CASE(LedgerCallerChosenKeys) {
  Cluster cluster;
  const auto first = cluster.Send(0, "k1");
  Section("a request doesn't run before its claim is read back",
          [&] { CPPUNIT_ASSERT(!first->m_decision.has_value()); });
  cluster.Advance(milliseconds(200));
  Section("the first copy runs", [&] { AssertKind(*first, Kind::kRun); });
  Section("a retry on any instance gets the recorded answer", [&] {
    for (int index = 0; index < kInstanceCount; ++index) {
      const auto copy = cluster.Send(index, "k1");
      cluster.Advance(milliseconds(100));
      AssertKind(*copy, Kind::kReplay);
    }
  });
  Section("the same key for another request is refused", [&] {
    const auto copy = cluster.Send(2, "k1", 77);
    cluster.Advance(milliseconds(100));
    AssertRefused(*copy, ErrorKind::kKeyConflict);
  });
  Section("a retry during the run is refused as in progress", [&] {
    cluster.SetRun(Outcome::kDone, seconds(2));
    cluster.Send(0, "k2");
    cluster.Advance(milliseconds(200));
    const auto copy = cluster.Send(1, "k2");
    cluster.Advance(milliseconds(100));
    AssertRefused(*copy, ErrorKind::kKeyInProgress);
  });
  Section("after an attempt ended as not run, a retry on another instance runs",
          [&] {
            cluster.SetRun(Outcome::kNotRun, milliseconds(1));
            cluster.Send(0, "k3");
            cluster.Advance(milliseconds(300));
            cluster.SetRun(Outcome::kDone, milliseconds(1));
            const auto copy = cluster.Send(1, "k3");
            cluster.Advance(milliseconds(300));
            AssertKind(*copy, Kind::kRun);
          });
  CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
}

GUAVACROSS_TEST_CASE(LedgerHolderFails) {
  Section("the outcome of a request is lost if its holder crashes", [] {
    Cluster cluster;
    cluster.SetRun(Outcome::kDone, seconds(9));
    cluster.Send(0, "k");
    cluster.Advance(milliseconds(300));
    cluster.Crash(0);
    const auto soon = cluster.Send(1, "k");
    cluster.Advance(seconds(5));
    AssertRefused(*soon, ErrorKind::kKeyInProgress);
    const auto later = cluster.Send(1, "k");
    cluster.Advance(seconds(2));
    AssertRefused(*later, ErrorKind::kOutcomeLost);
    cluster.Start(0);
    cluster.Advance(seconds(1));
    const auto again = cluster.Send(0, "k");
    cluster.Advance(seconds(2));
    AssertRefused(*again, ErrorKind::kOutcomeLost);
    CPPUNIT_ASSERT_EQUAL(1, cluster.RunsOf("k"));
  });
  Section(
      "while the holder is paused, no other instance may run the request", [] {
        Cluster cluster;
        cluster.Send(0, "k");
        cluster.Advance(milliseconds(1));
        cluster.Pause(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cluster.log().End(kClaimStream));
        cluster.Advance(seconds(30));
        const auto other = cluster.Send(1, "k");
        cluster.Advance(seconds(30));
        CPPUNIT_ASSERT(other->m_decision->m_kind == Kind::kRefuse);
        CPPUNIT_ASSERT_EQUAL(0, cluster.RunsOf("k"));
        cluster.Continue(0);
        cluster.Advance(seconds(5));
        // The copy on the paused instance has timed out or runs now.
        CPPUNIT_ASSERT(cluster.RunsOf("k") <= 1);
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
      });
  Section("a holder that shuts down hands its answers over to a peer", [] {
    Cluster cluster;
    cluster.Send(0, "k");
    cluster.Advance(milliseconds(300));
    bool done = false;
    cluster.instance(0).m_ledger->HandOver([&done] { done = true; });
    CPPUNIT_ASSERT(done);
    cluster.Crash(0);
    cluster.Advance(seconds(5));
    for (int index = 1; index < kInstanceCount; ++index) {
      const auto copy = cluster.Send(index, "k");
      cluster.Advance(seconds(2));
      AssertKind(*copy, Kind::kReplay);
    }
  });
}

GUAVACROSS_TEST_CASE(LedgerLogFails) {
  Section("with the log unavailable, a first copy is refused as not run", [] {
    Cluster cluster;
    // Lets each instance read the log to its end after it has learned
    // of the others.
    cluster.Advance(seconds(2));
    cluster.log().SetOutage(true);
    const auto copy = cluster.Send(0, "k");
    cluster.Advance(seconds(4));
    AssertRefused(*copy, ErrorKind::kStoreUnavailable);
    CPPUNIT_ASSERT_EQUAL(0, cluster.RunsOf("k"));
    cluster.log().SetOutage(false);
    cluster.Advance(seconds(6));
    const auto again = cluster.Send(1, "k");
    cluster.Advance(seconds(1));
    AssertKind(*again, Kind::kRun);
  });
  Section("the outcome is unclear if an instance joined since the log was read",
          [] {
            Cluster cluster;
            cluster.Advance(seconds(2));
            cluster.log().SetOutage(true);
            cluster.Crash(2);
            cluster.Start(2);
            const auto copy = cluster.Send(0, "k");
            cluster.Advance(seconds(4));
            AssertRefused(*copy, ErrorKind::kAppendUnclear);
            CPPUNIT_ASSERT_EQUAL(0, cluster.RunsOf("k"));
          });
  Section("a retry is not refused as not run if the first claim was not read",
          [] {
            Cluster cluster;
            cluster.log().SetPartitioned("i1", true);
            cluster.Send(0, "k");
            cluster.Advance(milliseconds(300));
            const auto copy = cluster.Send(1, "k");
            cluster.Advance(seconds(4));
            AssertRefused(*copy, ErrorKind::kAppendUnclear);
            cluster.Crash(0);
            cluster.Advance(seconds(1));
            const auto late = cluster.Send(1, "k");
            cluster.Advance(seconds(4));
            AssertRefused(*late, ErrorKind::kAppendUnclear);
          });
  Section("an append whose answer is lost is resolved by reading the log", [] {
    for (const LostAnswer how : {LostAnswer::kApplied, LostAnswer::kNotApplied,
                                 LostAnswer::kDelayed}) {
      Cluster cluster;
      cluster.log().LoseAnswers(1, how);
      const auto copy = cluster.Send(0, "k");
      cluster.Advance(seconds(3));
      AssertKind(*copy, Kind::kRun);
      cluster.log().DeliverDelayed();
      const auto again = cluster.Send(1, "k");
      cluster.Advance(seconds(3));
      AssertKind(*again, Kind::kReplay);
      CPPUNIT_ASSERT_EQUAL(1, cluster.RunsOf("k"));
    }
  });
}

GUAVACROSS_TEST_CASE(LedgerMintedKeys) {
  Cluster cluster;
  const std::string key = cluster.instance(0).m_ledger->MintIdentity() + ".1";
  cluster.log().SetOutage(true);
  Section("the minter grants without the log", [&] {
    const auto copy = cluster.Send(0, key);
    AssertKind(*copy, Kind::kRun);
    cluster.Advance(milliseconds(100));
    const auto again = cluster.Send(2, key);
    AssertKind(*again, Kind::kReplay);
  });
  Section("another instance asks the minter for a grant", [&] {
    const std::string other =
        cluster.instance(0).m_ledger->MintIdentity() + ".2";
    const auto copy = cluster.Send(1, other);
    AssertKind(*copy, Kind::kRun);
    const auto third = cluster.Send(2, other);
    AssertRefused(*third, ErrorKind::kKeyInProgress);
    cluster.Advance(milliseconds(100));
    const auto late = cluster.Send(3, other);
    AssertKind(*late, Kind::kReplay);
  });
  Section("a request whose grant is lost doesn't run and is granted again",
          [&] {
            const std::string lost =
                cluster.instance(0).m_ledger->MintIdentity() + ".3";
            cluster.SetPeerRepliesLost(true);
            const auto copy = cluster.Send(1, lost);
            cluster.Advance(seconds(2));
            AssertRefused(*copy, ErrorKind::kPeerUnavailable);
            cluster.SetPeerRepliesLost(false);
            const auto again = cluster.Send(2, lost);
            AssertKind(*again, Kind::kRun);
          });
  Section("a new incarnation of the minter doesn't know older identities", [&] {
    const std::string old = cluster.instance(0).m_ledger->MintIdentity() + ".4";
    cluster.Crash(0);
    cluster.Start(0);
    const auto copy = cluster.Send(0, old);
    cluster.Advance(seconds(2));
    AssertRefused(*copy, ErrorKind::kOutcomeLost);
  });
  Section("an identity past its lifetime is refused", [&] {
    const std::string stale =
        cluster.instance(1).m_ledger->MintIdentity() + ".5";
    cluster.Advance(seconds(61));
    AssertRefused(*cluster.Send(1, stale), ErrorKind::kKeyExpired);
  });
  Section("a peer takes over the authority to grant", [&] {
    const std::string before =
        cluster.instance(2).m_ledger->MintIdentity() + ".6";
    const std::string after =
        cluster.instance(2).m_ledger->MintIdentity() + ".7";
    cluster.Send(2, before);
    cluster.Advance(milliseconds(100));
    cluster.instance(2).m_ledger->HandOver([] {});
    cluster.Crash(2);
    const auto replay = cluster.Send(3, before);
    cluster.Advance(seconds(5));
    const auto run = cluster.Send(3, after);
    cluster.Advance(seconds(5));
    const auto again = cluster.Send(1, after);
    cluster.Advance(seconds(5));
    AssertKind(*run, Kind::kRun);
    AssertKind(*again, Kind::kReplay);
  });
  CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
}

GUAVACROSS_TEST_CASE(LedgerTimestampedKeys) {
  // Version 7 UUIDs of the manual clock's time, which starts at one hour.
  const std::string now = "00000036-ee80-7000-8000-00000000000a";
  const std::string old = "00000000-0001-7000-8000-00000000000b";
  const std::string future = "00010036-ee80-7000-8000-00000000000c";
  Section("an instance that knows the whole stream accepts keys of any age",
          [&] {
            Cluster cluster;
            const auto copy = cluster.Send(0, old);
            cluster.Advance(seconds(1));
            AssertKind(*copy, Kind::kRun);
          });
  Section("a key with a time in the future is refused", [&] {
    Cluster cluster;
    const auto copy = cluster.Send(0, future);
    cluster.Advance(seconds(1));
    AssertRefused(*copy, ErrorKind::kKeyExpired);
  });
  Section("a new instance refuses keys older than the kept records", [&] {
    Cluster cluster;
    cluster.Send(0, now);
    cluster.Advance(seconds(1));
    for (int index = 0; index < kInstanceCount; ++index) {
      cluster.Crash(index);
    }
    cluster.log().Expire(kClaimStream, cluster.log().End(kClaimStream));
    cluster.Start(1);
    cluster.Advance(seconds(1));
    const auto copy = cluster.Send(1, now);
    const auto plain = cluster.Send(1, "k");
    cluster.Advance(seconds(5));
    AssertRefused(*copy, ErrorKind::kKeyExpired);
    AssertRefused(*plain, ErrorKind::kAppendUnclear);
    cluster.Advance(seconds(61));
    const auto later = cluster.Send(1, "k");
    cluster.Advance(seconds(5));
    AssertKind(*later, Kind::kRun);
  });
}

GUAVACROSS_TEST_CASE(LedgerKeepsClaimsPastLogRetention) {
  Cluster cluster(seconds(40));
  cluster.Send(0, "k");
  cluster.Advance(seconds(1));
  for (int round = 0; round < 10; ++round) {
    cluster.Advance(seconds(5));
    cluster.Send(1, "other" + std::to_string(round));
  }
  cluster.Advance(seconds(1));
  CPPUNIT_ASSERT(cluster.log().FirstKept(kClaimStream) > 0);
  Section("a new instance finds the key although its record has expired", [&] {
    cluster.Crash(3);
    cluster.Start(3);
    const int appends_before = cluster.log().appends();
    cluster.Advance(seconds(15));
    // Reading old records in quick succession must not be taken for a short
    // retention, which would cause frequent appends.
    CPPUNIT_ASSERT(cluster.log().appends() - appends_before < 30);
    const auto copy = cluster.Send(3, "k");
    cluster.Advance(seconds(3));
    AssertKind(*copy, Kind::kReplay);
    const auto fresh = cluster.Send(3, "fresh");
    cluster.Advance(seconds(3));
    AssertKind(*fresh, Kind::kRun);
  });
  CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
}

}  // namespace guavacross::ledger
