#include "forwarding/exchange.h"

#include <string>
#include <vector>

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

constexpr int kWarmUpRequests = 300;
constexpr char kKey[] = "Idempotency-Key: k1\r\n";

std::string Charge() {
  return Post("/charge", "10 EUR", kKey);
}

}  // namespace

GUAVACROSS_TEST_CASE(AnswerCutShort) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();

  Section("resets the caller's connection", [&] {
    caller.Send(Get("/cut"));
    TestPeer& backend = fixture.BackendGot("GET /cut ");
    backend.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this");
    WaitUntil([&] { return caller.Received("only this"); });
    backend.FinishWriting();
    WaitUntil([&] { return caller.gone(); });
    CPPUNIT_ASSERT(caller.reset() && !caller.ended());
  });
  Section("within a chunked body never sends the last chunk", [&] {
    TestPeer& second = fixture.Caller();
    second.Send(Get("/chunks"));
    TestPeer& backend = fixture.BackendGot("GET /chunks ");
    backend.Send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    WaitUntil([&] { return second.Received("part"); });
    backend.Abort();
    WaitUntil([&] { return second.gone(); });
    CPPUNIT_ASSERT(second.reset());
    CPPUNIT_ASSERT(!second.Received("0\r\n\r\n"));
  });
}

// Large bodies of known length are moved between sockets inside the kernel.
GUAVACROSS_TEST_CASE(LargeDownload) {
  WorkerFixture fixture;
  const std::string body(std::size_t{8} << 20, 'd');

  Section("is passed on completely, and both connections stay usable", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/download"));
    fixture.BackendGot("GET /download ").Send(Reply(body));
    WaitUntil([&] { return caller.received().size() > body.size(); });
    RunEvents();
    const std::string& received = caller.received();
    CPPUNIT_ASSERT_EQUAL(body, received.substr(received.size() - body.size()));
    caller.ClearReceived();
    caller.Send(Get("/small"));
    fixture.BackendGot("GET /small ").Send(Reply("small one"));
    WaitUntil([&] { return caller.Received("small one"); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.backend().peers().size());
  });
  Section("with surplus bytes after it does not pass them to the caller", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/download/surplus"));
    TestPeer& backend = fixture.BackendGot("GET /download/surplus ");
    backend.Send(Reply(body) + "surplus");
    WaitUntil([&] { return backend.gone(); });
    WaitUntil([&] { return caller.received().size() > body.size(); });
    RunEvents();
    CPPUNIT_ASSERT(!caller.Received("surplus"));
  });
  Section("that is cut short resets the caller's connection", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/download/cut"));
    TestPeer& backend = fixture.BackendGot("GET /download/cut ");
    backend.Send(Reply(body).substr(0, body.size() / 2));
    WaitUntil([&] { return caller.received().size() >= body.size() / 2; });
    backend.FinishWriting();
    WaitUntil([&] { return caller.gone(); });
    CPPUNIT_ASSERT(caller.reset());
  });
  Section("whose caller disconnects is cancelled", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/download/left"));
    TestPeer& backend = fixture.BackendGot("GET /download/left ");
    backend.Send(Reply(body).substr(0, body.size() / 2));
    WaitUntil([&] { return caller.received().size() >= body.size() / 2; });
    caller.Abort();
    WaitUntil([&] { return backend.gone(); });
  });
}

GUAVACROSS_TEST_CASE(UnsolicitedBackendBytes) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();

  Section("after an answer close the backend connection", [&] {
    caller.Send(Get("/a"));
    TestPeer& backend = fixture.BackendGot("GET /a ");
    backend.Send(Reply("mine") + Reply("stray"));
    WaitUntil([&] { return caller.Received("mine"); });
    WaitUntil([&] { return backend.gone(); });
    CPPUNIT_ASSERT(!caller.Received("stray"));
  });
  Section("on an idle connection close it", [&] {
    caller.Send(Get("/b"));
    TestPeer& backend = fixture.BackendGot("GET /b ");
    backend.Send(Reply("own-b"));
    WaitUntil([&] { return caller.Received("own-b"); });
    backend.Send(Reply("stray"));
    WaitUntil([&] { return backend.gone(); });
  });
  Section("such as an answer after the deadline are never passed on", [&] {
    caller.ClearReceived();
    caller.Send(Get("/late", "Guavacross-Deadline-Ms: 50\r\n"));
    TestPeer& backend = fixture.BackendGot("GET /late ");
    fixture.m_clock.Advance(std::chrono::milliseconds(60));
    WaitUntil([&] { return caller.Received("backend-timeout"); });
    CPPUNIT_ASSERT(caller.Received("Guavacross-Outcome: unknown\r\n"));
    backend.Send(Reply("too late"));
    caller.Send(Get("/next"));
    fixture.BackendGot("GET /next ").Send(Reply("in time"));
    WaitUntil([&] { return caller.Received("in time"); });
    CPPUNIT_ASSERT(!caller.Received("too late"));
  });
}

GUAVACROSS_TEST_CASE(UnresponsiveTarget) {
  WorkerFixture fixture(/*targets=*/2);
  ServiceConfig service = fixture.Service();
  service.m_ejection.m_consecutive_errors = 1;
  fixture.Configure(service);
  TestPeer& caller = fixture.Caller();
  const auto ejected = [&fixture] {
    int count = 0;
    const std::vector<ServiceStatus> services = fixture.m_router.Status();
    for (const TargetStatus& target : services.front().m_targets) {
      count += target.m_ejected ? 1 : 0;
    }
    return count;
  };
  Section("is not ejected for a short deadline set by the caller", [&] {
    caller.Send(Get("/short", "Guavacross-Deadline-Ms: 50\r\n"));
    LatestBackend(&fixture, "GET /short ");
    fixture.m_clock.Advance(std::chrono::milliseconds(60));
    WaitUntil([&] { return caller.Received("backend-timeout"); });
    CPPUNIT_ASSERT_EQUAL(0, ejected());
  });
  Section("is ejected when the class's deadline passes", [&] {
    caller.ClearReceived();
    caller.Send(Get("/silent"));
    LatestBackend(&fixture, "GET /silent ");
    fixture.m_clock.Advance(service.m_classes.back().m_deadline);
    WaitUntil([&] { return caller.Received("backend-timeout"); });
    CPPUNIT_ASSERT_EQUAL(1, ejected());
  });
}

GUAVACROSS_TEST_CASE(RepeatableRequest) {
  WorkerFixture fixture(/*targets=*/2);
  TestPeer& caller = fixture.Caller();

  Section("goes to another target after a reset", [&] {
    caller.Send(Get("/r"));
    TestPeer& first = LatestBackend(&fixture, "GET /r ");
    first.Abort();
    WaitUntil([&] { return first.gone(); });
    RunEvents();
    fixture.m_clock.Advance(kSuspectDelay);
    LatestBackend(&fixture, "GET /r ").Send(Reply("second try"));
    WaitUntil([&] { return caller.Received("second try"); });
  });
  Section("goes to another target after a refusal", [&] {
    caller.Send(Get("/s"));
    TestPeer& first = LatestBackend(&fixture, "GET /s ");
    first.Send(Reply("busy", "503 Busy", "Guavacross-Not-Run: 1\r\n"));
    WaitUntil([&] {
      return fixture.backend(0).peers().back()->Received("GET /s ") &&
             fixture.backend(1).peers().back()->Received("GET /s ");
    });
    TestPeer& second = fixture.backend(0).peers().back().get() == &first
                           ? *fixture.backend(1).peers().back()
                           : *fixture.backend(0).peers().back();
    second.Send(Reply("taken"));
    WaitUntil([&] { return caller.Received("taken"); });
    CPPUNIT_ASSERT(!caller.Received("busy"));
  });
}

GUAVACROSS_TEST_CASE(HedgedRequest) {
  WorkerFixture fixture(/*targets=*/2, ChoicePolicy::kGuavacross);
  TestPeer& caller = fixture.Caller();
  for (int i = 0; i < kWarmUpRequests; ++i) {
    caller.Send(Get("/quick/" + std::to_string(i)));
    TestPeer& backend =
        LatestBackend(&fixture, "GET /quick/" + std::to_string(i) + " ");
    fixture.m_clock.Advance(std::chrono::milliseconds(1));
    backend.Send(Reply("warm-" + std::to_string(i) + "."));
    WaitUntil(
        [&] { return caller.Received("warm-" + std::to_string(i) + "."); });
  }

  Section("that is slow is also sent to a second target", [&] {
    caller.ClearReceived();
    caller.Send(Get("/quick/slow"));
    TestPeer& slow = LatestBackend(&fixture, "GET /quick/slow ");
    fixture.m_clock.Advance(std::chrono::milliseconds(50));
    WaitUntil(
        [&] { return &LatestBackend(&fixture, "GET /quick/slow ") != &slow; });
    LatestBackend(&fixture, "GET /quick/slow ").Send(Reply("from the hedge"));
    WaitUntil([&] { return caller.Received("from the hedge"); });

    Section("and the slower attempt's connection is closed",
            [&] { WaitUntil([&] { return slow.gone(); }); });
  });
}

GUAVACROSS_TEST_CASE(StaleConnection) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();
  caller.Send(Get("/a"));
  TestPeer& first = fixture.BackendGot("GET /a ");
  first.Send(Reply("answer a"));
  WaitUntil([&] { return caller.Received("answer a"); });

  Section("closed before the answer is replaced for a repeatable request", [&] {
    caller.Send(Get("/b"));
    WaitUntil([&] { return first.Received("GET /b "); });
    first.Abort();
    WaitUntil([&] { return fixture.backend().peers().size() == 2; });
    fixture.BackendGot("GET /b ").Send(Reply("answer b"));
    WaitUntil([&] { return caller.Received("answer b"); });
  });
  Section("idle for 2 s is not used for a non-repeatable request", [&] {
    fixture.m_clock.Advance(std::chrono::seconds(2));
    caller.Send(Charge());
    WaitUntil([&] { return fixture.backend().peers().size() == 3; });
    fixture.BackendGot("POST /charge ").Send(Reply("charged"));
    WaitUntil([&] { return caller.Received("charged"); });
  });
}

GUAVACROSS_TEST_CASE(NonRepeatableRequest) {
  WorkerFixture fixture(/*targets=*/2);
  TestPeer& caller = fixture.Caller();

  Section("needs a key", [&] {
    caller.Send(Post("/charge", "x"));
    WaitUntil([&] { return caller.ended(); });
    CPPUNIT_ASSERT(caller.Received("key-missing"));
    CPPUNIT_ASSERT(fixture.m_claims.empty());
  });
  Section("of a tenant that isn't declared is keyed by its own name", [&] {
    TestPeer& undeclared_caller = fixture.Caller();
    undeclared_caller.Send(
        Post("/charge/them", "x",
             std::string(kKey) + "Guavacross-Tenant: nobody\r\n"));
    LatestBackend(&fixture, "Guavacross-Tenant: nobody").Send(Reply("theirs"));
    WaitUntil([&] { return undeclared_caller.Received("theirs"); });
    CPPUNIT_ASSERT_EQUAL(std::string("nobody"),
                         fixture.m_claims[0].first.m_tenant);
    fixture.m_claims.clear();
    fixture.m_finished.clear();
  });
  Section("is claimed, run and recorded", [&] {
    TestPeer& second = fixture.Caller();
    second.Send(Charge());
    LatestBackend(&fixture, "POST /charge ").Send(Reply("charged"));
    WaitUntil([&] { return second.Received("charged"); });
    CPPUNIT_ASSERT_EQUAL(std::string("k1"), fixture.m_claims[0].first.m_key);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_finished.size());
    CPPUNIT_ASSERT(fixture.m_finished[0].m_outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("charged"),
                         fixture.m_finished[0].m_answer.m_body);
  });
}

GUAVACROSS_TEST_CASE(NonRepeatableRequestThatIsReset) {
  WorkerFixture fixture(/*targets=*/2);
  TestPeer& caller = fixture.Caller();
  caller.Send(Charge());
  LatestBackend(&fixture, "POST /charge ").Abort();

  Section("is not sent again, and its outcome is unknown", [&] {
    WaitUntil([&] { return caller.Received("Guavacross-Outcome: unknown"); });
    CPPUNIT_ASSERT(caller.Received("backend-reset"));
    RunEvents();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.backend(0).peers().size() +
                                             fixture.backend(1).peers().size());
  });
  Section("ends its claim once", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_finished.size());
    CPPUNIT_ASSERT(fixture.m_finished[0].m_outcome == Outcome::kUnknown);
  });
}

GUAVACROSS_TEST_CASE(NonRepeatableRequestThatIsRefused) {
  WorkerFixture fixture(/*targets=*/2);
  TestPeer& caller = fixture.Caller();
  const std::string refusal =
      Reply("busy", "503 Busy", "Guavacross-Not-Run: 1\r\n");
  caller.Send(Charge());
  LatestBackend(&fixture, "POST /charge ").Send(refusal);
  WaitUntil([&] {
    return !fixture.backend(0).peers().empty() &&
           !fixture.backend(1).peers().empty();
  });

  Section("is sent to another target, since it can't have run", [&] {
    for (const auto& backend : fixture.m_backends) {
      TestPeer& peer = *backend->peers().back();
      WaitUntil([&] { return peer.Received("POST /charge "); });
    }
  });
  Section("is answered as not run if all refuse, which releases its claim",
          [&] {
            for (const auto& backend : fixture.m_backends) {
              backend->peers().back()->Send(refusal);
            }
            WaitUntil(
                [&] { return caller.Received("Guavacross-Outcome: not-run"); });
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_finished.size());
            CPPUNIT_ASSERT(fixture.m_finished[0].m_outcome == Outcome::kNotRun);
          });
}

GUAVACROSS_TEST_CASE(NonRepeatableRequestWhoseCallerLeaves) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();

  Section("while it runs is completed and recorded", [&] {
    caller.Send(Charge());
    TestPeer& backend = fixture.BackendGot("POST /charge ");
    caller.Abort();
    RunEvents();
    CPPUNIT_ASSERT(!backend.gone() && fixture.m_finished.empty());
    backend.Send(Reply("charged anyway"));
    WaitUntil([&] { return !fixture.m_finished.empty(); });
    CPPUNIT_ASSERT(fixture.m_finished[0].m_outcome == Outcome::kDone);
  });
  Section("before its claim is granted isn't run", [&] {
    fixture.m_grant_claims = false;
    TestPeer& second = fixture.Caller();
    second.Send(Charge());
    WaitUntil([&] { return fixture.m_claims.size() == 2; });
    second.Abort();
    RunEvents();
    fixture.Decide({.m_kind = ClaimDecision::Kind::kRun});
    WaitUntil([&] { return fixture.m_finished.size() == 2; });
    CPPUNIT_ASSERT(fixture.m_finished[1].m_outcome == Outcome::kNotRun);
  });
}

GUAVACROSS_TEST_CASE(NonRepeatableRequestPastItsDeadline) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();
  caller.Send(Charge());
  TestPeer& backend = fixture.BackendGot("POST /charge ");
  fixture.m_clock.Advance(std::chrono::seconds(11));

  Section("is answered at once as unknown", [&] {
    WaitUntil([&] { return caller.Received("backend-timeout"); });
    CPPUNIT_ASSERT(caller.Received("Guavacross-Outcome: unknown\r\n"));
  });
  const auto in_flight = [&fixture] {
    return fixture.m_router.Status().front().m_targets.front().m_in_flight;
  };
  Section("frees its slot, though its answer is waited for", [&] {
    fixture.m_clock.Advance(std::chrono::milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(0, in_flight());
  });
  Section("is still recorded when its answer comes", [&] {
    CPPUNIT_ASSERT(fixture.m_finished.empty());
    backend.Send(Reply("charged late"));
    WaitUntil([&] { return fixture.m_finished.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(0, in_flight());
    CPPUNIT_ASSERT(fixture.m_finished[0].m_outcome == Outcome::kDone);
    CPPUNIT_ASSERT(!caller.Received("charged late"));
  });
}

GUAVACROSS_TEST_CASE(RecordedAnswers) {
  WorkerFixture fixture;
  fixture.m_grant_claims = false;
  TestPeer& caller = fixture.Caller();
  ClaimDecision replay{.m_kind = ClaimDecision::Kind::kReplay};

  Section("are sent again and marked", [&] {
    caller.Send(Charge());
    WaitUntil([&] { return fixture.m_claims.size() == 1; });
    replay.m_answer = {.m_status = 201, .m_body = "as before"};
    fixture.Decide(replay);
    WaitUntil([&] { return caller.Received("as before"); });
    CPPUNIT_ASSERT(caller.Received("HTTP/1.1 201 "));
    CPPUNIT_ASSERT(caller.Received("Guavacross-Replay: recorded\r\n"));
  });
  Section("that were too large are reported as lost with outcome done", [&] {
    caller.ClearReceived();
    caller.Send(Charge());
    WaitUntil([&] { return fixture.m_claims.size() == 2; });
    replay.m_answer = {};
    fixture.Decide(replay);
    WaitUntil([&] { return caller.Received("outcome-lost"); });
    CPPUNIT_ASSERT(caller.Received("Guavacross-Outcome: done\r\n"));
  });
  CPPUNIT_ASSERT(fixture.m_finished.empty());
}

GUAVACROSS_TEST_CASE(LargeUpload) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();
  const std::string body(std::size_t{5} << 20, 'u');
  fixture.backend().m_pause_peers_after = 1;
  caller.Send(Post("/upload", body));
  TestPeer& backend = fixture.BackendGot("POST /upload ");

  Section("is streamed with back-pressure", [&] {
    RunEvents();
    CPPUNIT_ASSERT(backend.received().size() < body.size());
    backend.SetReading(true);
    WaitUntil([&] { return backend.received().size() > body.size(); });
    const std::string& received = backend.received();
    CPPUNIT_ASSERT_EQUAL(body, received.substr(received.size() - body.size()));
  });
  Section("is answered on a connection that stays usable", [&] {
    backend.Send(Reply("stored"));
    WaitUntil([&] { return caller.Received("stored"); });
    caller.Send(Get("/after"));
    fixture.BackendGot("GET /after ").Send(Reply("fine"));
    WaitUntil([&] { return caller.Received("fine"); });
  });
}

}  // namespace guavacross::forwarding
