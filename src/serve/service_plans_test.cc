#include "serve/service_plans.h"

#include <chrono>

#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::serve {

namespace {

using std::chrono::seconds;
using util::Section;

RegisteredTarget Entry(const std::string& id, const std::string& service) {
  RegisteredTarget entry;
  entry.m_id = id;
  entry.m_service = service;
  entry.m_incarnation = 1;
  entry.m_heartbeat = 1;
  entry.m_slots = 4;
  return entry;
}

// Records the hook calls and the number of targets in each service's plan.
struct Plans {
  Plans()
      : m_plans({},
                m_clock.clock(),
                {.m_on_plan =
                     [this](const ServiceConfig& plan) {
                       m_calls.push_back(plan.m_name);
                       m_targets[plan.m_name] = plan.m_targets.size();
                     },
                 .m_on_remove =
                     [this](const std::string& service) {
                       m_calls.push_back("no " + service);
                     }}) {}

  void SetServices(const std::vector<std::string>& names) {
    auto table = std::make_shared<RouteTable>();
    for (const std::string& name : names) {
      table->m_services.push_back({.m_name = name});
    }
    m_plans.SetTable(std::move(table));
  }

  std::vector<std::string> TakeCalls() { return std::exchange(m_calls, {}); }

  util::ManualClock m_clock;
  std::vector<std::string> m_calls;
  std::map<std::string, std::size_t> m_targets;
  ServicePlans m_plans;
};

}  // namespace

GUAVACROSS_TEST_CASE(PlansFollowTargets) {
  using Names = std::vector<std::string>;
  Plans plans;
  plans.m_plans.Put(Entry("t1", "a"));
  plans.m_plans.Put(Entry("t2", "b"));
  plans.m_plans.Apply();
  CPPUNIT_ASSERT(plans.TakeCalls().empty());
  plans.SetServices({"a", "b"});

  Section("a new table plans all its services", [&] {
    CPPUNIT_ASSERT(plans.TakeCalls() == (Names{"a", "b"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plans.m_targets["a"]);
  });
  Section("a change of a target plans only its service", [&] {
    plans.m_plans.Put(Entry("t3", "b"));
    plans.m_plans.Apply();
    CPPUNIT_ASSERT(plans.TakeCalls() == (Names{"b"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plans.m_targets["b"]);
  });
  Section("a target that changes its service plans both services", [&] {
    RegisteredTarget moved = Entry("t3", "a");
    moved.m_incarnation = 2;
    plans.m_plans.Put(moved);
    plans.m_plans.Apply();
    CPPUNIT_ASSERT(plans.TakeCalls() == (Names{"a", "b"}));
  });
  Section("a heartbeat plans no service", [&] {
    RegisteredTarget again = Entry("t1", "a");
    again.m_heartbeat = 2;
    plans.m_plans.Put(again);
    plans.m_plans.Apply();
    CPPUNIT_ASSERT(plans.TakeCalls().empty());
  });
  Section("an entry removed during a store outage is kept for a while", [&] {
    plans.m_plans.SetOutageEnd(plans.m_clock.now());
    plans.m_plans.Remove("t2");
    plans.m_plans.Apply();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plans.m_targets["b"]);
    plans.m_clock.Advance(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, plans.m_targets["b"]);
  });
  Section("a service that is no longer in the table is removed", [&] {
    plans.TakeCalls();
    plans.SetServices({"a"});
    CPPUNIT_ASSERT(plans.TakeCalls() == (Names{"no b"}));
  });
}

}  // namespace guavacross::serve
