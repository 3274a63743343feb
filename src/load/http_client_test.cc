#include "load/http_client.h"

#include <chrono>
#include <optional>
#include <string>

#include "net/test_peer.h"
#include "util/test_case.h"

namespace guavacross::load {

namespace {

using net::RunEvents;
using net::TestPeer;
using net::WaitUntil;
using util::Section;

constexpr char kPart[] = "HTTP/1.1 200 OK\r\n\r\npart";

// A client and a server that the test plays.
struct Fixture {
  // The result of a request whose server sends `response`, then calls `end`.
  util::Expected<ClientAnswer> ResultOf(const std::string& response,
                                        void (TestPeer::*end)(),
                                        const std::string& body = {}) {
    http::RequestHead head;
    head.m_method = body.empty() ? "GET" : "POST";
    head.m_target = "/" + std::to_string(++m_requests);
    std::optional<util::Expected<ClientAnswer>> result;
    m_client.Send(
        m_server.endpoint(), head, body, std::chrono::seconds(10),
        [&](util::Expected<ClientAnswer> done) { result = std::move(done); });
    TestPeer* peer = nullptr;
    WaitUntil([&] {
      for (const auto& each : m_server.peers()) {
        peer = each->Received(head.m_target + " ") ? each.get() : peer;
      }
      return peer != nullptr;
    });
    RunEvents();
    peer->Send(response);
    if (end != nullptr) {
      (peer->*end)();
    }
    WaitUntil([&] { return result.has_value(); });
    return *result;
  }

  net::SocketSet m_sockets;
  net::TestServer m_server{&m_sockets};
  HttpClient m_client;
  int m_requests = 0;
};

}  // namespace

// An answer that was cut would be counted as one that was served.
GUAVACROSS_TEST_CASE(LoadClientAnswersWithoutLength) {
  Fixture fixture;

  Section("that end with the connection are complete", [&] {
    const auto answer = fixture.ResultOf(kPart, &TestPeer::FinishWriting);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(std::string("part"), answer.m_value->m_body);
  });
  Section("that are reset aren't", [&] {
    const auto answer = fixture.ResultOf(kPart, &TestPeer::Abort);
    CPPUNIT_ASSERT(!answer);
    CPPUNIT_ASSERT(answer.m_error.m_kind == ErrorKind::kBackendReset);
  });
  Section("nor those to a request that is still written", [&] {
    fixture.m_server.m_pause_peers_after = 1;
    const auto answer = fixture.ResultOf(
        kPart, &TestPeer::Abort, std::string(std::size_t{5} << 20, 'u'));
    CPPUNIT_ASSERT(!answer);
    CPPUNIT_ASSERT(answer.m_error.m_kind == ErrorKind::kBackendReset);
    fixture.m_server.m_pause_peers_after.reset();
  });
}

GUAVACROSS_TEST_CASE(LoadClientConnections) {
  Fixture fixture;
  const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  Section("are used again after a whole answer", [&] {
    CPPUNIT_ASSERT(fixture.ResultOf(reply, nullptr));
    CPPUNIT_ASSERT(fixture.ResultOf(reply, nullptr));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_server.peers().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_client.OpenConnections());
  });
  Section("aren't after a malformed one", [&] {
    const auto answer =
        fixture.ResultOf("HTTP/1.1 000 Trouble\r\n\r\n", nullptr);
    CPPUNIT_ASSERT(answer.m_error.m_kind == ErrorKind::kBackendBadAnswer);
    CPPUNIT_ASSERT(fixture.ResultOf(reply, nullptr));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.m_server.peers().size());
  });
}

}  // namespace guavacross::load
