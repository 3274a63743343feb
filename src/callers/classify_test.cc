#include "callers/classify.h"

#include "util/handle.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::callers {

namespace {

using util::Section;

http::RequestHead MakeHead(http::Fields fields) {
  http::RequestHead head;
  head.m_method = "GET";
  head.m_target = "/items/1?x=2";
  head.m_fields = std::move(fields);
  return head;
}

}  // namespace

GUAVACROSS_TEST_CASE(Classification) {
  util::ManualClock clock;
  Router router({.m_clock = clock.clock()}, {});
  ServiceConfig service;
  service.m_name = "shop";
  service.m_targets = {{.m_name = "t", .m_address = {"127.0.0.1", 1}}};
  service.m_classes = {{.m_name = "items", .m_path_prefix = "/items/"}};
  service.m_tenants = {{.m_name = "acme"}};
  router.Configure(service);
  const TimePoint now = clock.now();
  const auto classify = [&](http::Fields fields) {
    return util::Catch(
        [&] { return Classify(router, MakeHead(std::move(fields)), now); });
  };

  Section("takes the service from the header, else from the host", [&] {
    CPPUNIT_ASSERT(classify({{"Host", "shop:8080"}}));
    CPPUNIT_ASSERT(
        classify({{"Host", "elsewhere"}, {"Guavacross-Service", "shop"}}));
    CPPUNIT_ASSERT(classify({{"Host", "elsewhere"}}).m_error.m_kind ==
                   ErrorKind::kUnknownService);
  });
  Section("maps undeclared tenants to other", [&] {
    const auto tenant = [&](const std::string& name) {
      return classify({{"Host", "shop"}, {"Guavacross-Tenant", name}})
          .m_value->m_tenant;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), tenant("acme"));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), tenant("made-up"));
  });
  Section("takes the earlier of the class's and the caller's deadline", [&] {
    const auto deadline = [&](const std::string& ms) {
      return classify({{"Host", "shop"}, {"Guavacross-Deadline-Ms", ms}})
                 .m_value->m_deadline -
             now;
    };
    CPPUNIT_ASSERT(deadline("50") == std::chrono::milliseconds(50));
    CPPUNIT_ASSERT(deadline("60000") == std::chrono::seconds(10));
  });
  Section("refuses malformed or out-of-range numbers", [&] {
    for (const char* const bad : {"-1", "1.5", "", "soon", "99999999999999"}) {
      const auto result =
          classify({{"Host", "shop"}, {"Guavacross-Deadline-Ms", bad}});
      CPPUNIT_ASSERT(result.m_error.m_kind == ErrorKind::kBadRequest);
    }
    const auto looping =
        classify({{"Host", "shop"}, {"Guavacross-Hops", "17"}});
    CPPUNIT_ASSERT(looping.m_error.m_kind == ErrorKind::kBadRequest);
  });
  Section("reports an unknown outcome for refused requests with a key", [&] {
    const http::RequestHead keyed = MakeHead({{"Idempotency-Key", "k"}});
    CPPUNIT_ASSERT(RefusalOutcome(keyed, ErrorKind::kNotReady) ==
                   Outcome::kUnknown);
    CPPUNIT_ASSERT(RefusalOutcome(MakeHead({}), ErrorKind::kNotReady) ==
                   Outcome::kNotRun);
  });
}

}  // namespace guavacross::callers
