// Tests of which targets and requests are excluded: ejection, draining and
// quarantine.

#include "policy/draining.h"
#include "policy/ejection.h"
#include "policy/quarantine.h"
#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint64_t kCrashingRequest = 7;

}  // namespace

GUAVACROSS_TEST_CASE(EjectionOfTargets) {
  using util::Section;
  const EjectionConfig config;
  Ejection ejection;
  for (int i = 0; i < config.m_consecutive_errors; ++i) {
    ejection.Record(Verdict::kBad, config, kStart);
  }
  Section("consecutive errors eject the target", [&] {
    CPPUNIT_ASSERT(ejection.IsEjected(kStart));
    CPPUNIT_ASSERT(!ejection.IsEjected(kStart + config.m_base_time));
  });
  Section("one error after an ejection ejects for twice as long", [&] {
    const TimePoint again = kStart + config.m_base_time;
    CPPUNIT_ASSERT(ejection.Record(Verdict::kBad, config, again));
    CPPUNIT_ASSERT(ejection.until() == again + 2 * config.m_base_time);
  });
  Section("the ejection time is doubled up to a maximum", [&] {
    TimePoint now = ejection.until();
    for (int i = 0; i < 20; ++i) {
      ejection.Record(Verdict::kBad, config, now);
      CPPUNIT_ASSERT(ejection.until() - now <= config.m_max_time);
      now = ejection.until();
    }
  });
  Section("a high error rate ejects without consecutive errors", [&] {
    Ejection mixed;
    bool ejected = false;
    for (int i = 0; i < 60; ++i) {
      const Verdict verdict = i % 4 == 0 ? Verdict::kGood : Verdict::kBad;
      ejected = mixed.Record(verdict, config, kStart) || ejected;
    }
    CPPUNIT_ASSERT(ejected);
  });
  Section("a target that sheds some load isn't ejected", [&] {
    Ejection busy;
    for (int i = 0; i < 100; ++i) {
      const Verdict verdict = i % 2 == 0 ? Verdict::kGood : Verdict::kRefused;
      CPPUNIT_ASSERT(!busy.Record(verdict, config, kStart));
    }
  });
  Section("too many ejected targets cause panic mode", [&] {
    CPPUNIT_ASSERT(!IsPanic(15, 30, config));
    CPPUNIT_ASSERT(IsPanic(16, 30, config));
  });
}

GUAVACROSS_TEST_CASE(DrainingTargets) {
  using util::Section;
  Draining draining;
  draining.UpdateFromTarget(false, "run-1");
  Section("a single report starts draining", [&] {
    CPPUNIT_ASSERT(draining.UpdateFromTarget(true, "run-1").m_started_draining);
  });
  Section("a later report of the same run doesn't end it", [&] {
    draining.UpdateFromTarget(false, "run-1");
    draining.UpdateFromTarget(false, "");
    CPPUNIT_ASSERT(draining.is_draining());
  });
  Section("a report of another run at the address ends it", [&] {
    CPPUNIT_ASSERT(draining.UpdateFromTarget(false, "run-2").m_restarted);
    CPPUNIT_ASSERT(!draining.is_draining());
  });
  Section("a peer's late notice of a replaced run is ignored", [&] {
    draining.UpdateFromPeer("run-1");
    CPPUNIT_ASSERT(!draining.is_draining());
  });
  Section("a peer's notice of an unknown run starts draining", [&] {
    draining.UpdateFromPeer("run-3");
    CPPUNIT_ASSERT(draining.is_draining());
    CPPUNIT_ASSERT_EQUAL(std::string("run-3"), draining.incarnation());
  });
  Section("after a late answer of an earlier run, draining resumes", [&] {
    draining.UpdateFromTarget(false, "run-2");
    draining.UpdateFromTarget(false, "run-3");
    CPPUNIT_ASSERT(draining.is_draining());
  });
  Section("without incarnations, a failed connection shows the restart", [] {
    Draining no_incarnation;
    no_incarnation.UpdateFromTarget(true, "");
    no_incarnation.UpdateFromTarget(false, "");
    CPPUNIT_ASSERT(no_incarnation.is_draining());
    no_incarnation.ConnectFailed();
    CPPUNIT_ASSERT(no_incarnation.UpdateFromTarget(false, "").m_restarted);
    CPPUNIT_ASSERT(!no_incarnation.is_draining());
  });
}

GUAVACROSS_TEST_CASE(QuarantineOfRequests) {
  using util::Section;
  const SuspectNotice first{kCrashingRequest, "catalog", "a"};
  const SuspectNotice second{kCrashingRequest, "catalog", "b"};
  Section("the failure of two distinct targets causes quarantine", [&] {
    Quarantine quarantine;
    CPPUNIT_ASSERT(!quarantine.IsSuspect(kCrashingRequest, kStart));
    CPPUNIT_ASSERT(!quarantine.AddSuspect(first, kStart));
    CPPUNIT_ASSERT(quarantine.IsSuspect(kCrashingRequest, kStart));
    CPPUNIT_ASSERT(!quarantine.AddSuspect(first, kStart));
    CPPUNIT_ASSERT(!quarantine.IsQuarantined(kCrashingRequest, kStart));
    CPPUNIT_ASSERT(quarantine.AddSuspect(second, kStart));
    CPPUNIT_ASSERT(quarantine.IsQuarantined(kCrashingRequest, kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine.Notices(kStart).size());
    const TimePoint later = kStart + Quarantine::kQuarantineTime;
    CPPUNIT_ASSERT(!quarantine.IsQuarantined(kCrashingRequest, later));
  });
  Section("a complete answer clears a suspect request", [&] {
    Quarantine quarantine;
    quarantine.AddSuspect(first, kStart);
    quarantine.RecordAnswer(kCrashingRequest, kStart);
    CPPUNIT_ASSERT(!quarantine.AddSuspect(second, kStart + seconds(1)));
    CPPUNIT_ASSERT(
        !quarantine.IsQuarantined(kCrashingRequest, kStart + seconds(1)));
  });
  Section("a quarantine from a peer lasts for its remaining time", [&] {
    Quarantine quarantine;
    quarantine.AddFromPeer({kCrashingRequest, minutes(1)}, kStart);
    CPPUNIT_ASSERT(quarantine.IsQuarantined(kCrashingRequest, kStart));
    CPPUNIT_ASSERT(
        !quarantine.IsQuarantined(kCrashingRequest, kStart + minutes(1)));
  });
  Section("a target that resets repeatedly is unreliable", [] {
    ResetHistory history;
    history.RecordReset(kStart);
    history.RecordReset(kStart + milliseconds(1));
    history.RecordReset(kStart + milliseconds(2));
    CPPUNIT_ASSERT(!history.IsUnreliable(kStart));
    history.RecordReset(kStart + seconds(1));
    history.RecordReset(kStart + seconds(2));
    CPPUNIT_ASSERT(history.IsUnreliable(kStart + seconds(2)));
    CPPUNIT_ASSERT(!history.IsUnreliable(kStart + minutes(1)));
  });
}

}  // namespace guavacross::policy
