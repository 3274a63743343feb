// Requests that an instance without a path to the targets passes on to a peer.

#include <string>
#include <vector>

#include "callers/worker_fixture.h"
#include "forwarding/relay.h"
#include "util/test_case.h"

namespace guavacross::forwarding {

namespace {

using callers::ConnectionKind;
using callers::Get;
using callers::Post;
using callers::Reply;
using callers::WorkerFixture;
using net::RunEvents;
using net::TestPeer;
using net::WaitUntil;
using util::Section;

constexpr char kNoPathFields[] =
    "Guavacross-Outcome: not-run\r\nGuavacross-Reason: no-path\r\n"
    "Guavacross-Relay-Attempts: 0\r\nGuavacross-Relay-Wait-Ms: 250\r\n";

// An instance that has lost the path to its only target, and two peers that
// have not.
struct CutOffInstance : WorkerFixture {
  CutOffInstance() : WorkerFixture(1, ChoicePolicy::kRoundRobin, true) {
    std::vector<RelayPeer> peers;
    for (const char* const name : {"p0", "p1"}) {
      m_peers.push_back(std::make_unique<net::TestServer>(&m_sockets));
      peers.push_back({.m_name = name,
                       .m_zone = "z1",
                       .m_address = m_peers.back()->endpoint()});
    }
    m_router.SetRelayPeers(peers);
    m_hooks.m_relay_identity = RelayIdentity{
        .m_cluster = "c", .m_name = "self", .m_config_version = [] {
          return 7;
        }};
    ServiceConfig service = Service();
    service.m_classes.front().m_claims = false;
    Configure(service);
    MakeWorker();
    LosePath();
  }

  void LosePath() {
    m_router.ReportProbe({.m_service = "shop", .m_target = "t0"});
    // The time counts only while the path is looked at.
    for (int i = 0; i < 10; ++i) {
      m_clock.Advance(std::chrono::milliseconds(10));
      m_router.Reach();
    }
    for (const char* const name : {"p0", "p1"}) {
      m_router.LearnReach(name, {.m_answer_age = Duration::zero()});
    }
  }

  // The latest connection to a peer that has received `text`.
  TestPeer& PeerGot(const std::string& text) {
    TestPeer* found = nullptr;
    WaitUntil([&] {
      for (const auto& server : m_peers) {
        for (const auto& peer : server->peers()) {
          found = peer->Received(text) && !peer->gone() ? peer.get() : found;
        }
      }
      return found != nullptr;
    });
    return *found;
  }

  int PeersAsked() const {
    int asked = 0;
    for (const auto& server : m_peers) {
      asked += server->peers().empty() ? 0 : 1;
    }
    return asked;
  }

  std::vector<std::unique_ptr<net::TestServer>> m_peers;
};

}  // namespace

GUAVACROSS_TEST_CASE(RequestThroughAPeer) {
  CutOffInstance fixture;
  TestPeer& caller = fixture.Caller();

  Section("says who passes it on and what it has cost", [&] {
    caller.Send(Get("/a", "Guavacross-Relay: forged\r\n"));
    TestPeer& peer = fixture.PeerGot("GET /a ");
    const std::string hash = std::to_string(ServiceHash("shop"));
    CPPUNIT_ASSERT(
        peer.Received("Guavacross-Relay: 1 0 0 7 " + hash + " c self\r\n"));
    CPPUNIT_ASSERT(!peer.Received("forged"));
    peer.Send(Reply("done"));
    WaitUntil([&] { return caller.Received("done"); });
    CPPUNIT_ASSERT(fixture.backend().peers().empty());
  });
  Section("is cancelled there when its caller leaves", [&] {
    TestPeer& leaving = fixture.Caller();
    leaving.Send(Get("/left"));
    TestPeer& peer = fixture.PeerGot("GET /left ");
    leaving.Abort();
    WaitUntil([&] { return peer.gone(); });
  });
  Section("streams a body with back-pressure", [&] {
    const std::string body(std::size_t{5} << 20, 'u');
    TestPeer& sender = fixture.Caller();
    sender.Send(Post("/upload", body));
    TestPeer& peer = fixture.PeerGot("POST /upload ");
    WaitUntil([&] { return peer.received().size() > body.size(); });
    peer.Send(Reply("stored"));
    WaitUntil([&] { return sender.Received("stored"); });
  });
}

GUAVACROSS_TEST_CASE(PeerThatRefuses) {
  CutOffInstance fixture;
  TestPeer& caller = fixture.Caller();

  Section("before any attempt makes way for another, also if unsafe", [&] {
    caller.Send(Post("/charge", "10 EUR"));
    fixture.PeerGot("POST /charge ")
        .Send(Reply("", "503 Service Unavailable", kNoPathFields));
    WaitUntil([&] { return fixture.PeersAsked() == 2; });
    fixture.PeerGot("POST /charge ").Send(Reply("charged"));
    WaitUntil([&] { return caller.Received("charged"); });
  });
  Section("after attempts ends the request as not run", [&] {
    fixture.LosePath();
    TestPeer& second = fixture.Caller();
    second.Send(Post("/charge", "20 EUR"));
    fixture.PeerGot("20 EUR").Send(
        Reply("", "503 Service Unavailable",
              "Guavacross-Outcome: not-run\r\n"
              "Guavacross-Reason: backend-refused\r\n"
              "Guavacross-Relay-Attempts: 2\r\n"
              "Guavacross-Relay-Wait-Ms: 10\r\n"));
    WaitUntil([&] { return second.Received("backend-refused"); });
    CPPUNIT_ASSERT(second.Received("HTTP/1.1 503"));
    CPPUNIT_ASSERT(second.Received("Guavacross-Outcome: not-run"));
    CPPUNIT_ASSERT(!second.Received("Guavacross-Relay"));
  });
}

GUAVACROSS_TEST_CASE(PeerThatBreaksOff) {
  CutOffInstance fixture;

  Section("leaves an unsafe request unknown, sent only once", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Post("/charge", "30 EUR"));
    fixture.PeerGot("30 EUR").Abort();
    WaitUntil([&] { return caller.Received("HTTP/1.1 502"); });
    CPPUNIT_ASSERT(caller.Received("Guavacross-Outcome: unknown"));
    CPPUNIT_ASSERT_EQUAL(1, fixture.PeersAsked());
  });
  Section("within an answer resets the caller's connection", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/cut"));
    TestPeer& peer = fixture.PeerGot("GET /cut ");
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this");
    WaitUntil([&] { return caller.Received("only this"); });
    peer.Abort();
    WaitUntil([&] { return caller.gone(); });
    CPPUNIT_ASSERT(caller.reset());
  });
  // Guards against callers that got neither the rest of such an answer nor the
  // end of their connection.
  Section("by silence does so by the request's time limit", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/stops", "Guavacross-Deadline-Ms: 1000\r\n"));
    TestPeer& peer = fixture.PeerGot("GET /stops ");
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this");
    WaitUntil([&] { return caller.Received("only this"); });
    fixture.m_clock.Advance(std::chrono::milliseconds(1500));
    WaitUntil([&] { return caller.gone() && peer.gone(); });
    CPPUNIT_ASSERT(caller.reset());
  });
  // The peer sends an answer without length before it has read an upload.
  const auto answer_upload = [&fixture](TestPeer* caller) -> TestPeer& {
    fixture.LosePath();
    for (const auto& server : fixture.m_peers) {
      server->peers().clear();
      server->m_pause_peers_after = 1;
    }
    caller->Send(Post("/upload", std::string(std::size_t{5} << 20, 'u')));
    TestPeer& peer = fixture.PeerGot("POST /upload ");
    RunEvents();
    peer.Send("HTTP/1.1 200 OK\r\n\r\nits answer");
    return peer;
  };
  Section("within an answer without length does too", [&] {
    TestPeer& caller = fixture.Caller();
    answer_upload(&caller).Abort();
    WaitUntil([&] { return caller.gone() || caller.Received("0\r\n"); });
    CPPUNIT_ASSERT(!caller.Received(http::kLastChunk));
    CPPUNIT_ASSERT(caller.reset());
  });
  Section("after a regular end leaves the answer complete", [&] {
    TestPeer& caller = fixture.Caller();
    TestPeer& peer = answer_upload(&caller);
    peer.FinishWriting();
    peer.Abort();
    WaitUntil([&] { return caller.Received(http::kLastChunk); });
    CPPUNIT_ASSERT(caller.Received("its answer"));
  });
}

// Guards against an answer with status 000 that reaches a caller through
// another instance.
GUAVACROSS_TEST_CASE(InvalidStatusThroughAPeer) {
  const std::string nonsense = Reply("nonsense", "000 Trouble");
  Section("that the peer sends itself isn't passed on", [&] {
    CutOffInstance fixture;
    TestPeer& caller = fixture.Caller();
    caller.Send(Post("/charge", "30 EUR"));
    fixture.PeerGot("30 EUR").Send(nonsense);
    WaitUntil([&] { return caller.Received("HTTP/1.1 502 "); });
    CPPUNIT_ASSERT(caller.Received("Guavacross-Outcome: unknown"));
    CPPUNIT_ASSERT(!caller.Received("nonsense"));
  });
  Section("that a target sends to the peer reaches it as a refusal", [&] {
    WorkerFixture fixture;
    fixture.m_hooks.m_relay_identity =
        RelayIdentity{.m_cluster = "c", .m_name = "self"};
    fixture.MakeWorker();
    fixture.m_connection_kind = ConnectionKind::kPeer;
    TestPeer& peer = fixture.Caller();
    peer.Send(Post("/charge", "30 EUR",
                   "Idempotency-Key: k1\r\n"
                   "Guavacross-Relay: 1 0 0 7 1 c e1\r\n"));
    fixture.BackendGot("30 EUR").Send(nonsense);
    WaitUntil([&] { return peer.Received("Guavacross-Relay-Attempts: 1"); });
    CPPUNIT_ASSERT(peer.Received("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(peer.Received("Guavacross-Outcome: unknown"));
    CPPUNIT_ASSERT(!peer.Received("nonsense"));
  });
}

GUAVACROSS_TEST_CASE(RequestOfAPeer) {
  WorkerFixture fixture;
  fixture.m_hooks.m_relay_identity =
      RelayIdentity{.m_cluster = "c", .m_name = "self"};
  fixture.MakeWorker();
  fixture.m_connection_kind = ConnectionKind::kPeer;

  Section("without a mark of this cluster is refused", [&] {
    for (const std::string mark :
         {"", "1 0 0 7 1 other e1", "2 0 0 7 1 c e1"}) {
      TestPeer& peer = fixture.Caller();
      peer.Send(Get("/none", "Guavacross-Relay: " + mark + "\r\n"));
      WaitUntil([&] { return peer.Received("peer-incompatible"); });
      CPPUNIT_ASSERT(peer.Received("Guavacross-Relay-Attempts: 0"));
    }
    CPPUNIT_ASSERT(fixture.backend().peers().empty());
  });
  Section("gets a target's answer, without fields that look like ours", [&] {
    TestPeer& peer = fixture.Caller();
    peer.Send(Get("/a", "Guavacross-Relay: 1 0 0 7 1 c e1\r\n"));
    TestPeer& backend = fixture.BackendGot("GET /a ");
    CPPUNIT_ASSERT(!backend.Received("Guavacross-Relay"));
    backend.Send(Reply("done", "200 OK", "Guavacross-Relay-Attempts: 0\r\n"));
    WaitUntil([&] { return peer.Received("done"); });
    CPPUNIT_ASSERT(!peer.Received("Guavacross-Relay-Attempts"));
  });
  Section("counts the sender's attempts in the answer's limit", [&] {
    TestPeer& peer = fixture.Caller();
    peer.Send(Get("/b", "Guavacross-Relay: 1 3 0 7 1 c e1\r\n"));
    fixture.BackendGot("GET /b ").Send(
        Reply("", "503 Service Unavailable", "Guavacross-Not-Run: 1\r\n"));
    WaitUntil([&] { return peer.Received("Guavacross-Relay-Attempts: 1"); });
    CPPUNIT_ASSERT(peer.Received("Guavacross-Reason: backend-refused"));
  });
}

GUAVACROSS_TEST_CASE(RelayMarks) {
  const RelayMark mark{.m_cluster = "c",
                       .m_from = "edge 1",
                       .m_attempts = 2,
                       .m_caller_timeout = std::chrono::milliseconds(1500),
                       .m_config_version = 18,
                       .m_service_hash = 12345};
  Section("are read as they were written", [&] {
    CPPUNIT_ASSERT(ParseRelayMark(FormatRelayMark(mark)) == mark);
  });
  Section("that are malformed are no marks", [] {
    for (const char* const text :
         {"", "1", "1 0 0 7 1 c", "1 -1 0 7 1 c e", "1 0 -5 7 1 c e",
          "1 0 x 7 1 c e", "1 0 0 7 99999999999 c e", "2 0 0 7 1 c e"}) {
      CPPUNIT_ASSERT(!ParseRelayMark(text).has_value());
    }
  });
}

}  // namespace guavacross::forwarding
