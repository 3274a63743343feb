// Matching of answers to requests by id, and requests that may have crashed
// their targets.

#include <chrono>
#include <string>

#include "callers/worker_fixture.h"
#include "util/test_case.h"

namespace guavacross::forwarding {

namespace {

using callers::Get;
using callers::kSuspectDelay;
using callers::LatestBackend;
using callers::Post;
using callers::Reply;
using callers::WorkerFixture;
using net::RunEvents;
using net::TestPeer;
using net::WaitUntil;
using util::Section;

constexpr char kRequestIdOne[] = "X-Request-Id: one\r\n";

// The value of a header in the latest request that a backend server received.
std::string HeaderValue(const TestPeer& peer, const std::string& name) {
  const std::string& text = peer.received();
  const std::size_t begin = text.rfind(name + ": ");
  CPPUNIT_ASSERT(begin != std::string::npos);
  const std::size_t value = begin + name.size() + 2;
  return text.substr(value, text.find("\r\n", value) - value);
}

}  // namespace

GUAVACROSS_TEST_CASE(RequestIdOfAnswers) {
  WorkerFixture fixture;
  ServiceConfig service = fixture.Service();
  service.m_request_id_header = "X-Request-Id";
  fixture.Configure(service);
  TestPeer& caller = fixture.Caller();

  Section("one without an id, as if sent before the request, is ignored", [&] {
    caller.Send(Get("/first", kRequestIdOne));
    TestPeer& backend = fixture.BackendGot("GET /first ");
    backend.Send(Reply("early"));
    RunEvents();
    CPPUNIT_ASSERT(!caller.Received("early"));
    backend.Send(Reply("own", "200 OK", kRequestIdOne));
    WaitUntil([&] { return caller.Received("own"); });
    CPPUNIT_ASSERT(!caller.Received("early"));
  });
  Section("one with another id is ignored", [&] {
    caller.Send(Get("/second", "X-Request-Id: two\r\n"));
    TestPeer& backend = fixture.BackendGot("GET /second ");
    backend.Send(Reply("of the first", "200 OK", kRequestIdOne));
    backend.Send(Reply("of the second", "200 OK", "X-Request-Id: two\r\n"));
    WaitUntil([&] { return caller.Received("of the second"); });
    CPPUNIT_ASSERT(!caller.Received("of the first"));
  });
  Section("a request without an id gets a generated one", [&] {
    caller.Send(Get("/third"));
    TestPeer& backend = fixture.BackendGot("GET /third ");
    const std::string id = HeaderValue(backend, "X-Request-Id");
    CPPUNIT_ASSERT(!id.empty());
    backend.Send(Reply("no id"));
    backend.Send(Reply("given id", "200 OK", "X-Request-Id: " + id + "\r\n"));
    WaitUntil([&] { return caller.Received("given id"); });
    CPPUNIT_ASSERT(!caller.Received("no id"));
  });
}

GUAVACROSS_TEST_CASE(RequestThatCrashesBackendServers) {
  WorkerFixture fixture(/*targets=*/3);
  TestPeer& caller = fixture.Caller();
  // The next request finds an idle connection to each target.
  for (const std::string path : {"/1", "/2", "/3"}) {
    caller.Send(Get(path));
    LatestBackend(&fixture, "GET " + path + " ").Send(Reply(path));
    WaitUntil([&] { return caller.Received("\r\n\r\n" + path); });
    caller.ClearReceived();
  }
  // Crashes the target that runs the request.
  const auto crash = [&fixture] {
    TestPeer& peer = LatestBackend(&fixture, "GET /kill ");
    for (const auto& backend : fixture.m_backends) {
      for (const auto& each : backend->peers()) {
        if (each.get() == &peer) {
          backend->close();
        }
      }
    }
    peer.Abort();
    // The retry is delayed until the other instances know of the loss.
    WaitUntil([&] { return peer.gone(); });
    RunEvents();
    fixture.m_clock.Advance(kSuspectDelay);
  };

  Section("on reused connections is quarantined after the second target", [&] {
    caller.Send(Get("/kill"));
    crash();
    crash();
    WaitUntil([&] { return caller.Received("Guavacross-Outcome: unknown"); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_router.Quarantines().size());
  });
  Section("is then refused", [&] {
    caller.ClearReceived();
    caller.Send(Get("/kill"));
    WaitUntil([&] { return caller.Received("quarantined"); });
  });
}

GUAVACROSS_TEST_CASE(SuspectRequestIsDelayed) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();
  const std::string charge =
      Post("/charge", "10 EUR", "Idempotency-Key: k1\r\n");
  const auto send_suspect = [&](std::size_t claims) {
    caller.Send(charge);
    WaitUntil([&] { return fixture.m_claims.size() == claims; });
    RunEvents();
  };
  const auto advance = [&] { fixture.m_clock.Advance(kSuspectDelay); };
  std::uint64_t fingerprint = 0;

  Section("a request that isn't suspect is sent at once", [&] {
    send_suspect(1);
    fingerprint = fixture.m_claims.back().second;
    fixture.BackendGot("POST /charge ").Send(Reply("charged"));
    WaitUntil([&] { return caller.Received("charged"); });
    fixture.m_clock.Advance(std::chrono::minutes(1));
  });
  Section("one that was on a target lost at a peer is sent after a delay", [&] {
    fixture.m_router.LearnSuspect({fingerprint, "shop", "elsewhere"});
    fixture.backend().peers().back()->ClearReceived();
    send_suspect(2);
    CPPUNIT_ASSERT(!fixture.backend().peers().back()->Received("POST"));
    advance();
    fixture.BackendGot("POST /charge ").Abort();
    WaitUntil([&] { return caller.Received("unknown"); });
  });
  Section("one that a peer quarantines during the delay is refused unsent",
          [&] {
            caller.ClearReceived();
            const std::size_t connections = fixture.backend().peers().size();
            send_suspect(3);
            fixture.m_router.LearnQuarantine(
                {fingerprint, std::chrono::minutes(1)});
            advance();
            WaitUntil([&] { return caller.Received("quarantined"); });
            CPPUNIT_ASSERT_EQUAL(connections, fixture.backend().peers().size());
          });
}

}  // namespace guavacross::forwarding
