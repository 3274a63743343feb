#include "policy/quota_askers.h"

#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr double kRate = 100;

// An owner that grants its own callers and two instances tokens all the time.
struct AskedOwner {
  // Each asks for two tokens every 50 ms, for so long.
  void Ask(Duration time, bool with_a = true, double granted = 1.5) {
    for (const TimePoint end = m_now + time; m_now < end;
         m_now += milliseconds(50)) {
      m_askers.Record("self", true, 2, granted, m_now);
      m_askers.Record("b", false, 2, granted, m_now);
      m_askers.Reserve("b", kRate, m_now);
      if (with_a) {
        m_askers.Record("a", false, 2, granted, m_now);
        m_of_a = m_askers.Reserve("a", kRate, m_now);
      }
    }
  }

  QuotaAskers m_askers;
  QuotaReserve m_of_a;
  TimePoint m_now = kStart;
};

}  // namespace

// Guards against an owner that gives what instances had that can't reach it any
// more, and have turned to another.
GUAVACROSS_TEST_CASE(SilentAskersOfALimit) {
  Section("have held back what they were told", [] {
    AskedOwner owner;
    owner.Ask(seconds(3));
    CPPUNIT_ASSERT(owner.m_of_a.m_rate > 0.25 * kRate);
    CPPUNIT_ASSERT(owner.m_of_a.m_free_rate < 0.2 * kRate);
    CPPUNIT_ASSERT_EQUAL(0.0, owner.m_askers.HeldBack(owner.m_now));
    owner.Ask(milliseconds(300), /*with_a=*/false);
    CPPUNIT_ASSERT_EQUAL(owner.m_of_a.m_rate,
                         owner.m_askers.HeldBack(owner.m_now));
  });
  Section("have it for a few seconds", [] {
    AskedOwner owner;
    owner.Ask(seconds(3));
    owner.Ask(milliseconds(3200), /*with_a=*/false);
    CPPUNIT_ASSERT_EQUAL(0.0, owner.m_askers.HeldBack(owner.m_now));
  });
  Section("get it after all if they ask again", [] {
    AskedOwner owner;
    owner.Ask(seconds(3));
    CPPUNIT_ASSERT_EQUAL(0.0, owner.m_askers.HeldBackInVain("a", owner.m_now));
    owner.Ask(milliseconds(400), /*with_a=*/false);
    const double in_vain = owner.m_askers.HeldBackInVain("a", owner.m_now);
    CPPUNIT_ASSERT(in_vain > 0.1 * owner.m_of_a.m_rate);
    CPPUNIT_ASSERT(in_vain <= 0.4 * owner.m_of_a.m_rate);
    CPPUNIT_ASSERT_EQUAL(0.0,
                         owner.m_askers.HeldBackInVain("self", owner.m_now));
  });
  Section("aren't those that have asked seldom", [] {
    AskedOwner owner;
    for (int i = 0; i < 10; ++i) {
      owner.m_askers.Record("a", false, 1, 1, owner.m_now);
      owner.m_askers.Reserve("a", kRate, owner.m_now);
      owner.m_now += milliseconds(800);
    }
    CPPUNIT_ASSERT_EQUAL(0.0, owner.m_askers.HeldBack(owner.m_now));
  });
  Section("aren't those that have asked a few times in a row", [] {
    AskedOwner owner;
    for (int i = 0; i < 4; ++i) {
      owner.m_askers.Record("a", false, 1, 1, owner.m_now);
      owner.m_askers.Reserve("a", kRate, owner.m_now);
      owner.m_now += milliseconds(200);
    }
    owner.m_now += milliseconds(700);
    CPPUNIT_ASSERT_EQUAL(0.0, owner.m_askers.HeldBack(owner.m_now));
  });
  Section("are noticed together if each has asked seldom", [] {
    AskedOwner owner;
    for (int i = 0; i < 100; ++i) {
      owner.m_askers.Record("a" + std::to_string(i % 20), false, 1, 1,
                            owner.m_now);
      owner.m_askers.Reserve("a" + std::to_string(i % 20), kRate, owner.m_now);
      owner.m_now += milliseconds(40);
    }
    CPPUNIT_ASSERT_EQUAL(0.0, owner.m_askers.HeldBack(owner.m_now));
    owner.m_now += milliseconds(300);
    CPPUNIT_ASSERT(owner.m_askers.HeldBack(owner.m_now) > 20);
  });
  Section("count as such again at once after a short cut", [] {
    AskedOwner owner;
    owner.Ask(seconds(3));
    owner.Ask(seconds(1), /*with_a=*/false);
    owner.Ask(milliseconds(200));
    owner.Ask(milliseconds(300), /*with_a=*/false);
    CPPUNIT_ASSERT(owner.m_askers.HeldBack(owner.m_now) > 0.25 * kRate);
  });
  Section("have an equal part if they were short of tokens", [] {
    AskedOwner owner;
    owner.Ask(seconds(3), /*with_a=*/true, /*granted=*/0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kRate / 3, owner.m_of_a.m_rate, 1e-9);
  });
  Section("have no more than they had if they weren't", [] {
    AskedOwner owner;
    owner.Ask(seconds(3), /*with_a=*/true, /*granted=*/2);
    owner.Ask(seconds(3));
    AskedOwner modest;
    for (int i = 0; i < 60; ++i) {
      modest.m_askers.Record("a", false, 0, 0, modest.m_now);
      modest.m_of_a = modest.m_askers.Reserve("a", kRate, modest.m_now);
      modest.m_now += milliseconds(50);
    }
    CPPUNIT_ASSERT_EQUAL(0.0, modest.m_of_a.m_rate);
    CPPUNIT_ASSERT_EQUAL(kRate, modest.m_of_a.m_free_rate);
  });
}

GUAVACROSS_TEST_CASE(ReservesOfMissingOwners) {
  const QuotaReserve reserve{.m_rate = 20, .m_free_rate = 5};
  KnownReserve known;
  Section("aren't told while the owner answers", [&] {
    known.RecordAnswer(reserve, kStart);
    CPPUNIT_ASSERT(!known.OfMissingOwner(kStart).has_value());
  });
  Section("are told while it doesn't", [&] {
    known.RecordNoAnswer(kStart + milliseconds(100));
    known.RecordNoAnswer(kStart + seconds(2));
    CPPUNIT_ASSERT(known.OfMissingOwner(kStart + seconds(3)) == reserve);
  });
  Section("aren't once it holds back nothing", [&] {
    CPPUNIT_ASSERT(
        !known.OfMissingOwner(kStart + milliseconds(3200)).has_value());
  });
  Section("aren't if it had long not been asked", [&] {
    known.RecordAnswer(reserve, kStart);
    known.RecordNoAnswer(kStart + seconds(4));
    CPPUNIT_ASSERT(!known.OfMissingOwner(kStart + seconds(4)).has_value());
  });
}

}  // namespace guavacross::policy
