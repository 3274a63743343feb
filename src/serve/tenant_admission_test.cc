// Admission of requests under their tenants' limits, at one instance whose
// peers are fakes.

#include "serve/tenant_admission.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::serve {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr char kTenant[] = "choir";

// One instance; tasks for its control thread run at once.
class AdmissionFixture {
 public:
  explicit AdmissionFixture(std::vector<std::string> peers, double rate = 100)
      : m_peers(std::move(peers)),
        m_admission("self", 1, m_clock.clock(), Hooks()) {
    RouteTable table;
    table.m_tenants = {{.m_name = kTenant, .m_rate = rate, .m_burst = 10}};
    m_admission.SetTable(table);
  }

  // Whether a request is admitted; nothing if it isn't decided yet.
  std::optional<bool> Admit(bool past_objective = false) {
    std::optional<bool> admitted;
    m_admission.Admit(kTenant, past_objective,
                      [&admitted](const std::optional<Error>& refusal) {
                        admitted = !refusal.has_value();
                      });
    return admitted;
  }

  int CountAdmitted(int requests, bool past_objective = false) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
      admitted += Admit(past_objective).value_or(false) ? 1 : 0;
    }
    return admitted;
  }

  policy::QuotaAnswer Ask(const std::string& asker, std::uint32_t wanted) {
    return m_admission.Answer(
        asker, {.m_tenant = kTenant, .m_limit = {}, .m_wanted = wanted});
  }

  util::ManualClock m_clock;
  std::vector<std::string> m_peers;
  // Peers that were asked; none of them answers.
  std::vector<std::string> m_asked;
  TenantAdmission m_admission;

 private:
  TenantAdmissionHooks Hooks() {
    TenantAdmissionHooks hooks;
    hooks.m_post = [](const std::function<void()>& task) { task(); };
    hooks.m_live_peers = [this] { return m_peers; };
    hooks.m_possible_peers = [this] { return m_peers; };
    hooks.m_ask = [this](const std::string& peer, const policy::QuotaQuestion&,
                         const auto& done) {
      m_asked.push_back(peer);
      done(std::nullopt);
    };
    return hooks;
  }
};

// A name that ranks before `self` as the owner of the tenant.
std::string HigherInRank() {
  for (int i = 0;; ++i) {
    const std::vector<std::string> names = {"self", "peer" + std::to_string(i)};
    if (policy::OwnerOf(kTenant, names) == std::size_t{1}) {
      return names.back();
    }
  }
}

}  // namespace

// Guards against tokens for requests that are too late anyway, while others are
// refused and get late in their turn.
GUAVACROSS_TEST_CASE(RequestsOfATenantAtItsLimit) {
  AdmissionFixture fixture({});
  Section("get the tokens in time or not at all", [&] {
    CPPUNIT_ASSERT_EQUAL(10, fixture.CountAdmitted(20));
    fixture.m_clock.Advance(milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(0, fixture.CountAdmitted(5, /*past_objective=*/true));
    CPPUNIT_ASSERT(fixture.CountAdmitted(20) >= 8);
  });
  Section("get them late once the tenant has tokens to spare", [&] {
    fixture.m_clock.Advance(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(5, fixture.CountAdmitted(5, /*past_objective=*/true));
  });
}

// Guards against two instances that give the whole of one limit.
GUAVACROSS_TEST_CASE(OwnersOfALimitThatDoNotAnswer) {
  const std::string owner = HigherInRank();
  Section("are passed over", [&] {
    AdmissionFixture fixture({owner});
    CPPUNIT_ASSERT(fixture.Admit() == true);
    CPPUNIT_ASSERT(fixture.m_asked == std::vector<std::string>{owner});
  });
  Section("give the most of a limit while others reach them", [&] {
    AdmissionFixture fixture({owner, "a", "b", "c", "d", "e", "f", "g", "h"},
                             1000);
    std::uint32_t given = 0;
    for (int i = 0; i < 100; ++i) {
      fixture.m_clock.Advance(milliseconds(10));
      given += fixture.Ask("a", 1000).m_granted;
    }
    // One of nine, for a second, and what a new owner has saved.
    CPPUNIT_ASSERT(given <= 1000 / 9 + 40);
  });
  Section("have a substitute for all once all come to it", [&] {
    AdmissionFixture fixture({owner, "a", "b"}, 1000);
    std::uint32_t given = 0;
    for (int i = 0; i < 300; ++i) {
      fixture.m_clock.Advance(milliseconds(10));
      for (const char* const asker : {"a", "b", "self"}) {
        given += fixture.Ask(asker, 1000).m_granted;
      }
    }
    CPPUNIT_ASSERT(given >= 2400);
  });
}

// Guards against an instance that gives a whole limit when it is asked first
// after it has been cut off: review/7.
GUAVACROSS_TEST_CASE(LimitsAtAnInstanceThatWasNeverAsked) {
  for (const Duration before :
       {Duration(seconds(1)), Duration(seconds(3600))}) {
    AdmissionFixture fixture({"a", "b", "c"});
    fixture.m_admission.RecordMembers();
    fixture.m_clock.Advance(before);
    fixture.m_peers.clear();
    fixture.m_admission.RecordMembers();
    const auto given_in_a_second = [&fixture] {
      std::uint32_t given = 0;
      for (int i = 0; i < 100; ++i) {
        fixture.m_clock.Advance(milliseconds(10));
        given += fixture.Ask("self", 100).m_granted;
      }
      return given;
    };
    Section("give its part while it may be cut off", [&] {
      fixture.m_clock.Advance(seconds(4));
      // Of 100 a second, a quarter, and what a new owner has.
      CPPUNIT_ASSERT(given_in_a_second() <= 25 * 1.05 + 10 + 5);
      CPPUNIT_ASSERT(given_in_a_second() <= 25 * 1.05 + 1);
    });
    Section("give the whole once the others are long gone", [&] {
      fixture.m_clock.Advance(seconds(20));
      given_in_a_second();
      CPPUNIT_ASSERT(given_in_a_second() >= 99);
    });
  }
}

}  // namespace guavacross::serve
