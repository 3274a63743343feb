// Targets that announce that they leave, and targets that ask for a pause.

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/routing.h"
#include "policy/pause.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr char kService[] = "shop";
// Longer than anything here takes.
constexpr Duration kDeadline = seconds(5);
constexpr Duration kObjective = milliseconds(600);

// Requests by which `Entry::Reached` finds the targets in use.
constexpr int kRequests = 40;

// A router whose probes are answered at once.
class Entry {
 public:
  Entry() : m_router({.m_seed = 1, .m_clock = m_clock.clock()}, Hooks()) {}

  // Puts targets in force, given their names and incarnations.
  void Configure(
      const std::vector<std::pair<std::string, std::uint64_t>>& targets) {
    ServiceConfig service;
    service.m_name = kService;
    for (const auto& [name, incarnation] : targets) {
      service.m_targets.push_back(
          {.m_name = name, .m_slots = 4, .m_incarnation = incarnation});
    }
    service.m_classes = {{.m_name = "read", .m_claims = false}};
    service.m_classes.front().m_latency_objective = kObjective;
    service.m_probe.m_probes_per_second = 10000;
    service.m_probe.m_probe_cost = Duration::zero();
    service.m_probe.m_path = "/health";
    service.m_probe.m_per_request = true;
    m_router.Configure(service);
  }

  // Sends a request and ends it with `report`.
  //
  // @return the target, or an empty string if there was none.
  std::string Send(const AttemptReport& report) {
    const util::Expected<Grant> grant = Acquire();
    if (!grant) {
      return {};
    }
    m_router.Release(*grant.m_value, Traits(), report);
    return grant.m_value->m_target;
  }

  // Sends requests until one reaches `target`, and ends that with `report`.
  void SendTo(const std::string& target, const AttemptReport& report) {
    for (int i = 0; i < 200; ++i) {
      const util::Expected<Grant> grant = Acquire();
      const bool reached = grant && grant.m_value->m_target == target;
      if (grant) {
        m_router.Release(*grant.m_value, Traits(),
                         reached ? report : Answered());
      }
      m_clock.Advance(milliseconds(25));
      if (reached) {
        return;
      }
    }
    CPPUNIT_FAIL("no request reached " + target);
  }

  // The targets that 40 requests reach in `duration`.
  std::set<std::string> Reached(Duration duration = seconds(2)) {
    std::set<std::string> reached;
    for (int i = 0; i < kRequests; ++i) {
      reached.insert(Send(Answered()));
      m_clock.Advance(duration / kRequests);
    }
    return reached;
  }

  util::Expected<Grant> Acquire() {
    util::Expected<Grant> result;
    bool decided = false;
    m_router.Acquire(Traits(), {}, [&](const util::Expected<Grant>& grant) {
      result = grant;
      decided = true;
    });
    for (int i = 0; i < 2000 && !decided; ++i) {
      m_clock.Advance(milliseconds(1));
      m_router.ExpireWaiters();
    }
    CPPUNIT_ASSERT(decided);
    return result;
  }

  static AttemptReport Answered() {
    return {.m_latency = milliseconds(5),
            .m_answer_begun = true,
            .m_load = {.m_in_flight = 0, .m_slowdown = 1}};
  }
  static AttemptReport Leaving() {
    AttemptReport report = Answered();
    report.m_load.m_draining = true;
    return report;
  }
  static AttemptReport Pausing(Duration pause) {
    return {.m_end = AttemptEnd::kRefusedNotRun, .m_load = {.m_pause = pause}};
  }

  Router& router() { return m_router; }
  util::ManualClock& clock() { return m_clock; }
  const std::vector<DrainNotice>& told() const { return m_told; }
  int ProbesOf(const std::string& target) { return m_probes[target]; }

 private:
  RequestTraits Traits() {
    return {.m_service = kService,
            .m_class_name = "read",
            .m_deadline = m_clock.now() + kDeadline,
            .m_caller_timeout = kDeadline,
            .m_arrived = m_clock.now()};
  }

  RouterHooks Hooks() {
    RouterHooks hooks;
    hooks.m_on_drain = [this](const DrainNotice& notice) {
      m_told.push_back(notice);
    };
    hooks.m_on_probes = [this](const std::vector<ProbeOrder>& orders) {
      for (const ProbeOrder& order : orders) {
        ++m_probes[order.m_target];
        m_router.ReportProbe({.m_service = order.m_service,
                              .m_target = order.m_target,
                              .m_load = Answered().m_load,
                              .m_answered = true});
      }
    };
    return hooks;
  }

  util::ManualClock m_clock;
  std::vector<DrainNotice> m_told;
  std::map<std::string, int> m_probes;
  Router m_router;
};

}  // namespace

GUAVACROSS_TEST_CASE(TargetsThatAnnounceTheirLeaving) {
  Entry entry;
  entry.Configure({{"a", 1}, {"b", 1}});
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.Reached().size());
  entry.SendTo("a", Entry::Leaving());

  Section("get no new request from then on", [&] {
    CPPUNIT_ASSERT(entry.Reached() == std::set<std::string>{"b"});
  });
  Section("are told to the other instances at once, with their run", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.told().size());
    CPPUNIT_ASSERT(entry.told().front() == (DrainNotice{kService, "a", "1"}));
    CPPUNIT_ASSERT(entry.router().Drains() == entry.told());
  });
  Section("stay left, whatever else is heard of that run", [&] {
    Section("a probe that is answered as usual", [&] {
      entry.router().ReportProbe({.m_service = kService,
                                  .m_target = "a",
                                  .m_load = Entry::Answered().m_load,
                                  .m_answered = true});
      CPPUNIT_ASSERT(entry.Reached() == std::set<std::string>{"b"});
    });
    Section("an entry that goes and comes back", [&] {
      entry.Configure({{"b", 1}});
      entry.Configure({{"a", 1}, {"b", 1}});
      CPPUNIT_ASSERT(entry.Reached() == std::set<std::string>{"b"});
    });
  });
  Section("are used again once another run registers", [&] {
    entry.Configure({{"a", 2}, {"b", 1}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.Reached().size());
    Section("and a late notice of the earlier run changes nothing", [&] {
      CPPUNIT_ASSERT(!entry.router().LearnDrain({kService, "a", "1"}));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.Reached().size());
    });
  });
  Section("a notice may come before the entry of the run", [&] {
    CPPUNIT_ASSERT(!entry.router().LearnDrain({kService, "c", "7"}));
    entry.Configure({{"b", 1}, {"c", 7}});
    CPPUNIT_ASSERT(entry.Reached() == std::set<std::string>{"b"});
    entry.Configure({{"b", 1}, {"c", 8}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.Reached().size());
  });
  Section(
      "an answer after a failed connection doesn't bring the run back", [&] {
        Entry other;
        other.Configure({{"a", 1}, {"b", 1}});
        const Grant open = *other.Acquire().m_value;
        const std::string left = open.m_target;
        const std::string kept = left == "a" ? "b" : "a";
        other.SendTo(left, Entry::Leaving());
        other.router().Release(open,
                               {.m_service = kService, .m_class_name = "read"},
                               {.m_end = AttemptEnd::kConnectFailed});
        other.router().ReportProbe({.m_service = kService,
                                    .m_target = left,
                                    .m_load = Entry::Answered().m_load,
                                    .m_answered = true});
        CPPUNIT_ASSERT(other.Reached() == std::set<std::string>{kept});
      });
}

GUAVACROSS_TEST_CASE(TargetsThatAskForAPause) {
  Entry entry;
  entry.Configure({{"a", 1}, {"b", 1}});
  Section("get neither requests nor probes until it ends", [&] {
    entry.SendTo("a", Entry::Pausing(seconds(4)));
    const int probes = entry.ProbesOf("a");
    CPPUNIT_ASSERT(entry.Reached(seconds(3)) == std::set<std::string>{"b"});
    CPPUNIT_ASSERT_EQUAL(probes, entry.ProbesOf("a"));
    Section("and are used again then", [&] {
      entry.clock().Advance(seconds(2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.Reached().size());
    });
  });
  Section("a shorter pause doesn't end a longer one", [&] {
    policy::Pause pause;
    const TimePoint now = entry.clock().now();
    pause.Request(seconds(4), now);
    pause.Request(seconds(1), now);
    CPPUNIT_ASSERT(pause.IsActive(now + seconds(3)));
    CPPUNIT_ASSERT(!pause.IsActive(now + seconds(4)));
  });
  Section("another run ends it", [&] {
    entry.SendTo("a", Entry::Pausing(std::chrono::hours(1)));
    CPPUNIT_ASSERT(entry.Reached() == std::set<std::string>{"b"});
    Section("and until then the status shows it", [&] {
      const std::vector<ServiceStatus> status = entry.router().Status();
      Duration longest{};
      for (const TargetStatus& target : status.front().m_targets) {
        longest = std::max(longest, target.m_pause_left);
      }
      CPPUNIT_ASSERT(longest > std::chrono::minutes(59));
    });
    entry.Configure({{"a", 2}, {"b", 1}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.Reached().size());
  });
  Section("other instances aren't told",
          [&] { CPPUNIT_ASSERT(entry.told().empty()); });
  Section("with all targets pausing", [&] {
    Section("a request waits if the pause ends in time", [&] {
      entry.SendTo("a", Entry::Pausing(seconds(10)));
      entry.SendTo("b", Entry::Pausing(milliseconds(60)));
      CPPUNIT_ASSERT_EQUAL(std::string("b"), entry.Send(Entry::Answered()));
    });
    Section("it is refused at once otherwise, with the time of the return",
            [&] {
              entry.clock().Advance(seconds(11));
              entry.SendTo("a", Entry::Pausing(seconds(10)));
              entry.SendTo("b", Entry::Pausing(seconds(5)));
              const TimePoint asked_at = entry.clock().now();
              const util::Expected<Grant> refusal = entry.Acquire();
              CPPUNIT_ASSERT(!refusal);
              CPPUNIT_ASSERT(entry.clock().now() == asked_at);
              CPPUNIT_ASSERT(refusal.m_error.m_retry_after > seconds(4));
              CPPUNIT_ASSERT(refusal.m_error.m_retry_after < seconds(7));
              Section("and not all callers return in one moment", [&] {
                std::set<Duration> returns;
                for (int i = 0; i < 20; ++i) {
                  returns.insert(entry.Acquire().m_error.m_retry_after);
                }
                CPPUNIT_ASSERT(*returns.rbegin() - *returns.begin() >
                               milliseconds(500));
              });
            });
  });
}

}  // namespace guavacross::routing
