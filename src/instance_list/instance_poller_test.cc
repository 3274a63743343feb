#include "instance_list/instance_poller.h"

#include "net/raw_server.h"
#include "util/handle.h"
#include "util/qt_clock.h"
#include "util/test_case.h"

namespace guavacross::instance_list {

namespace {

constexpr char kTwoInstances[] =
    "{\"instances\": ["
    "{\"name\": \"e1\", \"region\": \"eu-north\", \"zone\": \"a\", "
    "\"callers\": \"127.0.0.1:1\", \"peers\": \"127.0.0.1:2\", "
    "\"leaving\": false},"
    "{\"name\": \"e2\", \"region\": \"eu-north\", \"zone\": \"b\", "
    "\"callers\": \"127.0.0.1:3\", \"peers\": \"127.0.0.1:4\", "
    "\"leaving\": true, \"later\": 1}]}";

}  // namespace

GUAVACROSS_TEST_CASE(InstanceListPolling) {
  using util::Section;
  Section("an entry without addresses makes the list invalid", [] {
    const auto list = util::Catch(
        [] { return ParseInstances("{\"instances\": [{\"name\": \"e1\"}]}"); });
    CPPUNIT_ASSERT(list.m_error.m_kind == ErrorKind::kBadMessage);
  });
  Section("an unchanged list is reported once and kept after failed reads", [] {
    net::RawServer server([](int index, const std::string&) {
      return index < 2 ? net::HttpAnswer("200 OK", kTwoInstances)
                       : net::HttpAnswer("503 Unavailable", "");
    });
    util::Metrics metrics;
    int calls = 0;
    InstancePoller poller({.m_endpoint = server.endpoint(),
                           .m_interval = std::chrono::milliseconds(1)},
                          util::QtClock(), metrics,
                          [&calls](const auto&) { ++calls; });
    CPPUNIT_ASSERT(
        net::RunUntil([&server] { return server.requests().size() > 4; }));
    CPPUNIT_ASSERT_EQUAL(1, calls);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, poller.last().size());
    CPPUNIT_ASSERT(poller.last()[1].m_leaving);
  });
}

}  // namespace guavacross::instance_list
