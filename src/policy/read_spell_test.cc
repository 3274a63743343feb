#include "policy/read_spell.h"

#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr Duration kMaxPause = milliseconds(1900);

constexpr TimePoint At(double s) {
  return TimePoint() +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

ReadSpell Spell(double since, double until, bool after_outage = false) {
  return {.m_since = At(since),
          .m_until = At(until),
          .m_after_outage = after_outage};
}

ReadSpell Join(const std::optional<ReadSpell>& known,
               const ReadSpell& other,
               bool calls_fail = false) {
  return JoinSpells(known, other, calls_fail, kMaxPause);
}

}  // namespace

// Load pattern: reads of the store pause because their reader has gone, or are
// heard of late, and meanwhile targets leave.
GUAVACROSS_TEST_CASE(PausedReadsAreNoOutage) {
  const ReadSpell known = Spell(10, 20);

  Section("the first read that is known begins a spell", [&] {
    CPPUNIT_ASSERT(Join(std::nullopt, Spell(20, 20)) == Spell(20, 20));
  });
  Section("reads go on", [&] {
    CPPUNIT_ASSERT(Join(known, Spell(20.4, 20.4)) == Spell(10, 20.4));
    Section("also after a pause, as long as no call failed", [&] {
      CPPUNIT_ASSERT(Join(known, Spell(23, 23)) == Spell(10, 23));
    });
    Section("also if calls of some instances fail", [&] {
      CPPUNIT_ASSERT(Join(known, Spell(21.8, 21.8), true) == Spell(10, 21.8));
    });
  });
  Section("an instance that has just started shows no outage", [&] {
    CPPUNIT_ASSERT(Join(known, Spell(24, 25)) == Spell(10, 25));
    CPPUNIT_ASSERT(Join(Spell(24, 25), known) == Spell(24, 25));
    CPPUNIT_ASSERT(Join(Spell(24, 25), Spell(10, 24.8)) == Spell(10, 25));
  });
  Section("nor does one that was cut off and thinks that there was one", [&] {
    const ReadSpell cut_off = Spell(30, 31, true);
    CPPUNIT_ASSERT(Join(cut_off, Spell(10, 30.5)) == Spell(10, 31));
    CPPUNIT_ASSERT(Join(Spell(10, 30.5), cut_off) == Spell(10, 31));
  });
}

// Load pattern: the store is away for seconds, and entries lapse meanwhile.
GUAVACROSS_TEST_CASE(OutagesEndSpells) {
  const ReadSpell known = Spell(10, 20);

  Section("a long pause in which calls failed is an outage", [&] {
    CPPUNIT_ASSERT(Join(known, Spell(25, 25), true) == Spell(25, 25, true));
  });
  Section("an instance whose calls didn't fail is told of it", [&] {
    CPPUNIT_ASSERT(Join(known, Spell(25, 26, true)) == Spell(25, 26, true));
  });
  Section("of two that noticed it the earlier read counts", [&] {
    CPPUNIT_ASSERT(Join(Spell(25.2, 26, true), Spell(25, 25.9, true)) ==
                   Spell(25, 26, true));
    Section("also if the first to read had only started", [&] {
      CPPUNIT_ASSERT(Join(Spell(25.2, 26, true), Spell(25, 25.9)) ==
                     Spell(25, 26, true));
    });
    Section("but not one that started later", [&] {
      CPPUNIT_ASSERT(Join(Spell(25, 30, true), Spell(29, 30.1)) ==
                     Spell(25, 30.1, true));
    });
  });
  Section("a restoration is one, however short", [&] {
    ReadSpell restored = Spell(20.3, 20.5);
    restored.m_epoch = 1;
    const ReadSpell joined = Join(known, restored);
    CPPUNIT_ASSERT(joined.m_after_outage && joined.m_since == At(20.3));
    Section("and reads of the time before don't count any more",
            [&] { CPPUNIT_ASSERT(Join(joined, Spell(10, 20.6)) == joined); });
  });
}

}  // namespace guavacross::policy
