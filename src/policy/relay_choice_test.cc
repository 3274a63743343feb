// Which peer a request is passed on to.

#include "policy/relay_choice.h"

#include <vector>

#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using util::Section;

// When this instance began to miss answers.
constexpr TimePoint kSince{std::chrono::hours(1)};

RelayCandidate Reaching(bool same_zone = false) {
  return {.m_same_zone = same_zone,
          .m_told_at = kSince + milliseconds(300),
          .m_answered_at = kSince + milliseconds(250)};
}

RelayCandidate CutOff() {
  return {.m_lost = true,
          .m_told_at = kSince + milliseconds(300),
          .m_answered_at = kSince - milliseconds(10)};
}

}  // namespace

GUAVACROSS_TEST_CASE(RelayChoiceWithoutAnyPath) {
  Random random(1);
  Section("chooses none if targets have answered no one since", [&] {
    RelayCandidate before = Reaching();
    before.m_told_at.reset();
    before.m_answered_at = kSince + milliseconds(1);
    const std::vector<RelayCandidate> candidates = {CutOff(), before, {}};
    CPPUNIT_ASSERT(!ChooseRelay(candidates, kSince, &random).has_value());
  });
  Section("chooses none that is excluded", [&] {
    std::vector<RelayCandidate> candidates = {Reaching()};
    candidates[0].m_excluded = true;
    CPPUNIT_ASSERT(!ChooseRelay(candidates, kSince, &random).has_value());
  });
}

GUAVACROSS_TEST_CASE(RelayChoiceAtAnyNumberOfInstances) {
  Random random(1);
  for (const std::size_t instances : {6, 51, 123}) {
    Section("finds the only one that reaches the targets", [&] {
      std::vector<RelayCandidate> candidates(instances - 1, CutOff());
      candidates[instances / 2] = Reaching();
      CPPUNIT_ASSERT(ChooseRelay(candidates, kSince, &random) == instances / 2);
    });
    Section("prefers an answered peer to one that only isn't cut off", [&] {
      std::vector<RelayCandidate> candidates(instances - 1, Reaching(true));
      for (RelayCandidate& each : candidates) {
        each.m_answered_at.reset();
      }
      candidates.back() = Reaching();
      CPPUNIT_ASSERT(ChooseRelay(candidates, kSince, &random) ==
                     candidates.size() - 1);
    });
    Section("divides the requests among all that do", [&] {
      std::vector<RelayCandidate> candidates(instances - 1, Reaching());
      for (std::size_t i = 0; i < 10 * candidates.size(); ++i) {
        ++candidates[*ChooseRelay(candidates, kSince, &random)].m_in_flight;
      }
      for (const RelayCandidate& each : candidates) {
        CPPUNIT_ASSERT(each.m_in_flight >= 9 && each.m_in_flight <= 11);
      }
    });
  }
}

GUAVACROSS_TEST_CASE(RelayChoiceByZone) {
  Random random(1);
  std::vector<RelayCandidate> candidates = {Reaching(true), Reaching(),
                                            Reaching()};
  for (int i = 0; i < 100; ++i) {
    ++candidates[*ChooseRelay(candidates, kSince, &random)].m_in_flight;
  }
  Section("gives a peer of the same zone twice as many requests", [&] {
    CPPUNIT_ASSERT(candidates[0].m_in_flight >= 48);
    CPPUNIT_ASSERT(candidates[0].m_in_flight <= 52);
  });
}

}  // namespace guavacross::policy
