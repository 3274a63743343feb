#include "log_service/http_log_access.h"

#include "net/raw_server.h"
#include "util/handle.h"
#include "util/qt_clock.h"
#include "util/test_case.h"

namespace guavacross::log_service {

namespace {

using net::HttpAnswer;
using net::RawServer;
using net::RunUntil;
using util::Section;

AppendResult AppendTo(const Endpoint& endpoint) {
  const LogAccess access = MakeLogAccess(endpoint, util::QtClock());
  std::optional<AppendResult> end;
  access.m_append("config", "data",
                  [&end](AppendResult result) { end = result; });
  CPPUNIT_ASSERT(RunUntil([&end] { return end.has_value(); }));
  return *end;
}

// Returns the batch that was read, or nothing if the read failed.
std::optional<LogBatch> ReadFrom(const Endpoint& endpoint) {
  const LogAccess access = MakeLogAccess(endpoint, util::QtClock());
  bool ended = false;
  std::optional<LogBatch> batch;
  access.m_read("config", 7, std::chrono::milliseconds(20),
                [&](const Result<LogBatch>& result) {
                  ended = true;
                  if (result) {
                    batch = result.value();
                  }
                });
  CPPUNIT_ASSERT(RunUntil([&ended] { return ended; }));
  return batch;
}

}  // namespace

GUAVACROSS_TEST_CASE(LogAppends) {
  Section("a 201 response reports the offset", [] {
    RawServer server([](int, const std::string&) {
      return HttpAnswer("201 Created", "{\"offset\": 41}");
    });
    const AppendResult result = AppendTo(server.endpoint());
    CPPUNIT_ASSERT(result.m_end == AppendEnd::kAppended);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{41}, result.m_offset);
    CPPUNIT_ASSERT(
        server.requests()[0].starts_with("POST /streams/config/records "));
  });
  Section("a 429 response rejects the append", [] {
    RawServer server([](int, const std::string&) {
      return HttpAnswer("429 Too Many Requests", "");
    });
    CPPUNIT_ASSERT(AppendTo(server.endpoint()).m_end == AppendEnd::kRejected);
  });
  Section("a refused connection rejects the append", [] {
    RawServer server([](int, const std::string&) { return ""; });
    server.StopListening();
    Endpoint closed = server.endpoint();
    closed.m_port = 1;
    CPPUNIT_ASSERT(AppendTo(closed).m_end == AppendEnd::kRejected);
  });
  Section("after a 500 response the outcome is unclear", [] {
    RawServer server([](int, const std::string&) {
      return HttpAnswer("500 Internal Server Error", "");
    });
    CPPUNIT_ASSERT(AppendTo(server.endpoint()).m_end == AppendEnd::kUnclear);
  });
  Section("a POST is sent again after the connection closed", [] {
    RawServer server([](int index, const std::string&) {
      return index == 0 ? "" : HttpAnswer("429 Too Many Requests", "");
    });
    const AppendResult result = AppendTo(server.endpoint());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requests().size());
    Section("a 429 response to the second copy leaves the outcome unclear",
            [&] { CPPUNIT_ASSERT(result.m_end == AppendEnd::kUnclear); });
  });
  Section("a refused connection for the second copy does too", [] {
    RawServer* handle = nullptr;
    RawServer server([&handle](int, const std::string&) {
      handle->StopListening();
      return "";
    });
    handle = &server;
    CPPUNIT_ASSERT(AppendTo(server.endpoint()).m_end == AppendEnd::kUnclear);
  });
}

GUAVACROSS_TEST_CASE(LogReads) {
  Section("a batch is parsed", [] {
    RawServer server([](int, const std::string&) {
      return HttpAnswer("200 OK",
                        "{\"first\": 3, \"end\": 9, \"records\": "
                        "[{\"offset\": 7, \"data\": \"AGE=\"}]}");
    });
    const auto batch = ReadFrom(server.endpoint());
    CPPUNIT_ASSERT(batch == (LogBatch{.m_records = {{7, std::string("\0a", 2)}},
                                      .m_first_kept = 3,
                                      .m_end = 9}));
    CPPUNIT_ASSERT(server.requests()[0].starts_with(
        "GET /streams/config/records?from=7&max=500&wait_ms=20 "));
  });
  Section("an invalid response is reported as kLogUnavailable", [] {
    for (const char* body :
         {"", "[]", "{\"first\": 1, \"end\": 2}",
          "{\"first\": 0, \"end\": 2, \"records\": [{\"offset\": 1}]}",
          "{\"first\": 0, \"end\": 2, \"records\": "
          "[{\"offset\": 1, \"data\": \"!\"}]}",
          "{\"first\": 0, \"end\": 2, \"records\": [{\"offset\": 1, "
          "\"data\": \"\"}, {\"offset\": 1, \"data\": \"\"}]}"}) {
      const auto batch = util::Catch([body] { return ParseBatch(body); });
      CPPUNIT_ASSERT(batch.m_error.m_kind == ErrorKind::kLogUnavailable);
    }
  });
  Section("a read fails after a 500 response", [] {
    RawServer server([](int, const std::string&) {
      return HttpAnswer("500 Internal Server Error", "");
    });
    CPPUNIT_ASSERT(!ReadFrom(server.endpoint()));
  });
  Section("a read fails if the connection is refused", [] {
    CPPUNIT_ASSERT(!ReadFrom({.m_ip = "127.0.0.1", .m_port = 1}));
  });
}

}  // namespace guavacross::log_service
