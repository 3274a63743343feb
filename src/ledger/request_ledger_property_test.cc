// Property tests with RapidCheck: whatever faults occur and in whatever order,
// no request runs twice, and none that ran is reported as not run.

#include <rapidcheck.h>

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

// Injects a fault of an instance, of the log or of the communication between
// instances, chosen by `step`.
void InjectFault(Cluster* cluster, std::uint32_t step) {
  const int index = static_cast<int>((step >> 8) % kInstanceCount);
  const std::uint32_t choice = step >> 16;
  switch (step % 12) {
    case 0:
      cluster->Pause(index);
      break;
    case 1:
    case 2:
      cluster->Continue(index);
      break;
    case 3:
      cluster->Crash(index);
      break;
    case 4:
      if (cluster->instance(index).m_crashed) {
        cluster->Start(index);
      }
      break;
    case 5:
      cluster->log().SetOutage(choice % 3 == 0);
      break;
    case 6:
      cluster->log().LoseAnswers(2, static_cast<LostAnswer>(choice % 3));
      break;
    case 7:
      cluster->log().DeliverDelayed();
      break;
    case 8:
      cluster->SetPeerRepliesLost(choice % 3 == 0);
      break;
    case 9:
      cluster->SetRun(static_cast<Outcome>(choice % 3),
                      milliseconds(choice % 2048));
      break;
    case 10:
      cluster->log().SetLatency(milliseconds(choice % 1024));
      cluster->log().SetPartitioned("i" + std::to_string(index),
                                    choice % 2 == 0);
      break;
    case 11:
      if (!cluster->instance(index).m_crashed &&
          !cluster->instance(index).m_paused) {
        cluster->instance(index).m_ledger->HandOver([] {});
        cluster->Crash(index);
      }
      break;
  }
}

// Sends copies of a few requests to various instances while faults are
// injected.
//
// @return the violated guarantee, or an empty string.
std::string ViolationAfter(const std::vector<std::uint32_t>& steps,
                           Duration retention) {
  Cluster cluster(retention);
  std::vector<std::string> keys;
  for (int key = 0; key < 3; ++key) {
    keys.push_back("k" + std::to_string(key));
    keys.push_back(cluster.instance(key).m_ledger->MintIdentity() + ".1");
  }
  for (const std::uint32_t step : steps) {
    if (step % 2 == 0) {
      InjectFault(&cluster, step >> 1);
    } else {
      cluster.Send(static_cast<int>((step >> 1) % kInstanceCount),
                   keys[(step >> 4) % keys.size()]);
    }
    const bool is_long = step % 37 == 0;
    cluster.Advance(is_long ? seconds(step % 50)
                            : milliseconds((step >> 20) % 1024));
    if (!cluster.violation().empty()) {
      return cluster.violation();
    }
  }
  for (int index = 0; index < kInstanceCount; ++index) {
    cluster.Continue(index);
  }
  cluster.log().DeliverDelayed();
  cluster.Advance(seconds(5));
  return cluster.violation();
}

void RunRandomFaults(Duration retention) {
  const auto number_gen =
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  const auto steps =
      *rc::gen::container<std::vector<std::uint32_t>>(number_gen);
  const std::string violation = ViolationAfter(steps, retention);
  if (!violation.empty()) {
    RC_FAIL(violation);
  }
}

}  // namespace

GUAVACROSS_TEST_CASE(LedgerUnderRandomFaults) {
  Section("no request runs twice and none that ran is reported as not run", [] {
    CPPUNIT_ASSERT(rc::check([] { RunRandomFaults(Duration::zero()); }));
  });
  Section(
      "no violation if the first record that a new instance reads is an end",
      [] {
        CPPUNIT_ASSERT_EQUAL(
            std::string(),
            ViolationAfter({2527223370, 1564122795, 448789687, 4200235800,
                            3201832299, 3844613310, 2270360888, 1421547725},
                           seconds(40)));
      });
  Section(
      "no violation if the peer that took over had abandoned an earlier "
      "attempt",
      [] {
        CPPUNIT_ASSERT_EQUAL(
            std::string(),
            ViolationAfter({3110750514, 798767470, 3521976821, 963612978,
                            3085495647, 1540146118, 1401466525},
                           Duration::zero()));
      });
  Section("no violation if the holder restarts before its claim is read", [] {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        ViolationAfter({1051541276, 0, 1053072432, 3140865987, 258883213,
                        630119238, 3384804082, 513499880},
                       Duration::zero()));
  });
  Section("no violation if an instance that has read nothing states a coverage",
          [] {
            CPPUNIT_ASSERT_EQUAL(
                std::string(),
                ViolationAfter({349175828, 3871907280, 1415802639, 825496078,
                                298013748, 3160432589, 1787131346, 2144095109},
                               seconds(40)));
          });
  Section("no violation if a copy arrives just after its instance was asked",
          [] {
            CPPUNIT_ASSERT_EQUAL(
                std::string(),
                ViolationAfter({1692706748, 2583516263, 2368733184, 2805582019},
                               Duration::zero()));
          });
  Section("no violation if the append of the first kept record was delayed",
          [] {
            CPPUNIT_ASSERT_EQUAL(
                std::string(),
                ViolationAfter(
                    {2835783540, 681643933, 126936097, 781611458, 912976406,
                     2539000754, 1223308354, 870666188, 1800438990, 1414020104,
                     1314109723, 894531586, 2805514093},
                    seconds(40)));
          });
  Section("no violation while records of the log expire", [] {
    CPPUNIT_ASSERT(rc::check([] { RunRandomFaults(seconds(40)); }));
  });
}

}  // namespace guavacross::ledger
