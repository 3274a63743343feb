#include "backends/backend_pool.h"

#include <memory>
#include <string>
#include <vector>

#include "net/test_peer.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::backends {

namespace {

using net::RunEvents;
using net::TestPeer;
using net::WaitUntil;
using util::Section;

constexpr char kReply[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// An attempt and the results that its hooks received.
struct SentRequest {
  std::unique_ptr<Attempt> m_attempt;
  std::string m_body;
  bool m_ended = false;
  std::optional<AttemptFailure> m_failure;
};

class PoolFixture {
 public:
  explicit PoolFixture(BackendPoolOptions options = {})
      : m_pool(&m_sockets, m_clock.clock(), options), m_server(&m_sockets) {}

  std::unique_ptr<SentRequest> Send(const std::string& target,
                                    bool fresh = false,
                                    const std::string& id = {}) {
    auto sent = std::make_unique<SentRequest>();
    SentRequest* const raw = sent.get();
    AttemptHooks hooks;
    hooks.m_on_head = [](const http::ResponseHead&) {};
    hooks.m_on_body = [raw](std::string_view bytes) { raw->m_body += bytes; };
    hooks.m_on_end = [raw] { raw->m_ended = true; };
    hooks.m_on_failure = [raw](const AttemptFailure& f) { raw->m_failure = f; };
    AttemptRequest request;
    request.m_address = m_server.endpoint();
    request.m_head.m_method = "GET";
    request.m_head.m_target = target;
    request.m_head.m_fields.Add("Host", "shop");
    request.m_fresh_connection = fresh;
    request.m_id = id;
    sent->m_attempt = m_pool.Start(std::move(request), std::move(hooks));
    return sent;
  }

  util::ManualClock m_clock;
  net::SocketSet m_sockets;
  BackendPool m_pool;
  net::TestServer m_server;
};

}  // namespace

GUAVACROSS_TEST_CASE(BackendPoolDestruction) {
  util::ManualClock clock;
  net::SocketSet sockets;
  net::TestServer server(&sockets);
  auto pool = std::make_unique<BackendPool>(&sockets, clock.clock(),
                                            BackendPoolOptions{});
  // Its use count shows whether the attempt's hooks still exist.
  const auto held = std::make_shared<int>(0);
  AttemptHooks hooks;
  hooks.m_on_head = [held](const http::ResponseHead&) {};
  hooks.m_on_failure = [](const AttemptFailure&) {};
  AttemptRequest request;
  request.m_address = server.endpoint();
  request.m_head.m_method = "GET";
  request.m_head.m_target = "/";
  auto attempt = pool->Start(std::move(request), std::move(hooks));

  Section("destroys attempts whose deletion is deferred", [&] {
    sockets.DeleteLater(std::move(attempt));
    CPPUNIT_ASSERT_EQUAL(2L, held.use_count());
    pool.reset();
    CPPUNIT_ASSERT_EQUAL(1L, held.use_count());
  });
}

GUAVACROSS_TEST_CASE(BackendPoolConnectionLimit) {
  PoolFixture fixture({.m_max_connections_per_target = 1});
  const auto first = fixture.Send("/first");
  const auto second = fixture.Send("/second");
  TestPeer& backend = fixture.m_server.Peer(0);

  Section("queues the second request until the connection is free", [&] {
    WaitUntil([&] { return backend.Received("/first"); });
    RunEvents();
    CPPUNIT_ASSERT(!backend.Received("/second"));
    CPPUNIT_ASSERT(!second->m_attempt->bytes_sent());
  });
  Section("sends the second request on the same connection", [&] {
    backend.Send(kReply);
    WaitUntil([&] { return backend.Received("/second"); });
    CPPUNIT_ASSERT(first->m_ended);
    CPPUNIT_ASSERT_EQUAL(1, fixture.m_pool.connections());
    backend.Send(kReply);
    WaitUntil([&] { return second->m_ended; });
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), second->m_body);
  });
  Section("doesn't send a queued request that was cancelled", [&] {
    const auto third = fixture.Send("/third");
    auto fourth = fixture.Send("/fourth");
    fourth.reset();
    WaitUntil([&] { return backend.Received("/third"); });
    backend.Send(kReply);
    WaitUntil([&] { return third->m_ended; });
    RunEvents();
    CPPUNIT_ASSERT(!backend.Received("/fourth"));
  });
}

GUAVACROSS_TEST_CASE(UnresponsiveBackendConnections) {
  PoolFixture fixture;
  auto first = fixture.Send("/1");
  const auto second = fixture.Send("/2");
  for (const std::size_t i : {0, 1}) {
    fixture.m_server.Peer(i).Send(kReply);
  }
  WaitUntil([&] { return first->m_ended && second->m_ended; });
  const auto send_then_cancel = [&](Duration waited) {
    const auto sent = fixture.Send("/silent");
    RunEvents();
    fixture.m_clock.Advance(waited);
    sent->m_attempt->Cancel();
    RunEvents();
  };

  Section("an early cancellation closes only its own connection", [&] {
    send_then_cancel(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1, fixture.m_pool.connections());
    const auto third = fixture.Send("/3");
    first = fixture.Send("/4");
    fixture.m_server.Peer(2).Send(kReply);
    for (const std::size_t i : {0, 1}) {
      if (!fixture.m_server.Peer(i).gone()) {
        fixture.m_server.Peer(i).Send(kReply);
      }
    }
    WaitUntil([&] { return first->m_ended && third->m_ended; });
    CPPUNIT_ASSERT_EQUAL(2, fixture.m_pool.connections());
  });
  Section("a long wait without a response closes all idle connections", [&] {
    send_then_cancel(std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, fixture.m_pool.connections());
  });
  Section("the next request uses a new connection", [&] {
    const auto next = fixture.Send("/next");
    fixture.m_server.Peer(3).Send(kReply);
    WaitUntil([&] { return next->m_ended; });
  });
}

GUAVACROSS_TEST_CASE(BackendConnectionReuse) {
  PoolFixture fixture;
  const auto first = fixture.Send("/first");
  fixture.m_server.Peer(0).Send(kReply);
  WaitUntil([&] { return first->m_ended; });

  Section("skips a connection that the backend server has closed", [&] {
    fixture.m_server.Peer(0).Close();
    const auto second = fixture.Send("/second");
    fixture.m_server.Peer(1).Send(kReply);
    WaitUntil([&] { return second->m_ended; });
  });
  Section("closes a connection that was idle for too long", [&] {
    fixture.m_clock.Advance(std::chrono::minutes(1));
    fixture.m_pool.Sweep();
    WaitUntil([&] { return fixture.m_server.Peer(1).gone(); });
    CPPUNIT_ASSERT_EQUAL(0, fixture.m_pool.connections());
  });
}

// A target refuses a request, takes it when it is sent again, and sends its
// refusal once more.
GUAVACROSS_TEST_CASE(RefusalThatArrivesTwice) {
  PoolFixture fixture;
  const auto first = fixture.Send("/first", true, "1");
  TestPeer& refusing = fixture.m_server.Peer(0);
  WaitUntil([&] { return refusing.Received("/first"); });
  refusing.Send(kReply);
  WaitUntil([&] { return first->m_ended; });

  Section("the request isn't sent again on the same connection", [&] {
    const auto again = fixture.Send("/again", true, "1");
    TestPeer& second = fixture.m_server.Peer(1);
    WaitUntil([&] { return second.Received("/again"); });
    CPPUNIT_ASSERT(!refusing.Received("/again"));
    second.Send(kReply);
    WaitUntil([&] { return again->m_ended; });
  });
  Section("others are, and requests without an id", [&] {
    for (const std::string id : {"2", ""}) {
      const auto other = fixture.Send("/other" + id, true, id);
      TestPeer& last = fixture.m_server.Peer(1);
      WaitUntil([&] { return last.Received("/other" + id); });
      last.Send(kReply);
      WaitUntil([&] { return other->m_ended; });
    }
    CPPUNIT_ASSERT_EQUAL(2, fixture.m_pool.connections());
  });
  Section("nor is it queued for it at the limit of connections", [&] {
    PoolFixture limited({.m_max_connections_per_target = 1});
    const auto refused = limited.Send("/refused", true, "1");
    TestPeer& only = limited.m_server.Peer(0);
    WaitUntil([&] { return only.Received("/refused"); });
    const auto again = limited.Send("/again", true, "1");
    only.Send(kReply);
    WaitUntil([&] {
      return limited.m_server.peers().size() == 2 &&
             limited.m_server.Peer(1).Received("/again");
    });
    CPPUNIT_ASSERT(refused->m_ended && only.gone());
  });
}

GUAVACROSS_TEST_CASE(BackendFailures) {
  PoolFixture fixture;

  Section("while connecting report that no byte was sent", [&] {
    fixture.m_server.close();
    const auto refused = fixture.Send("/refused");
    WaitUntil([&] { return refused->m_failure.has_value(); });
    CPPUNIT_ASSERT(refused->m_failure->m_end == AttemptEnd::kConnectFailed);
    CPPUNIT_ASSERT(!refused->m_failure->m_bytes_sent);
    fixture.m_server.listen(QHostAddress(QHostAddress::LocalHost));
  });
  Section("after connecting report that bytes may have been sent", [&] {
    const auto reset = fixture.Send("/reset");
    TestPeer& backend = fixture.m_server.Peer(0);
    WaitUntil([&] { return backend.Received("/reset"); });
    backend.Abort();
    WaitUntil([&] { return reset->m_failure.has_value(); });
    CPPUNIT_ASSERT(reset->m_failure->m_bytes_sent);
    CPPUNIT_ASSERT(!reset->m_failure->m_stale_connection);
  });
  Section("of response framing are reported as bad answers", [&] {
    const auto bad = fixture.Send("/bad");
    TestPeer& backend = fixture.m_server.Peer(1);
    WaitUntil([&] { return backend.Received("/bad"); });
    backend.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    WaitUntil([&] { return bad->m_failure.has_value(); });
    CPPUNIT_ASSERT(bad->m_failure->m_kind == ErrorKind::kBackendBadAnswer);
    WaitUntil([&] { return backend.gone(); });
  });
  Section("don't include interim responses", [&] {
    const auto sent = fixture.Send("/interim");
    TestPeer& backend = fixture.m_server.Peer(2);
    WaitUntil([&] { return backend.Received("/interim"); });
    backend.Send(std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + kReply);
    WaitUntil([&] { return sent->m_ended; });
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), sent->m_body);
  });
}

}  // namespace guavacross::backends
