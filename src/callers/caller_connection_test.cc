#include <string>

#include "callers/worker_fixture.h"
#include "util/test_case.h"

namespace guavacross::callers {

namespace {

using net::RunEvents;
using net::TestPeer;
using net::WaitUntil;
using util::Section;

// Sends raw bytes on a new connection and returns everything received until it
// ends.
std::string AnswerTo(WorkerFixture* fixture, const std::string& bytes) {
  TestPeer& caller = fixture->Caller();
  caller.Send(bytes);
  WaitUntil([&] { return caller.ended(); });
  return caller.received();
}

bool StartsWith(const std::string& text, const std::string& start) {
  return text.rfind(start, 0) == 0;
}

}  // namespace

GUAVACROSS_TEST_CASE(CallerRequest) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();

  Section("is forwarded and gets a response with outcome done", [&] {
    caller.Send(Get("/a", "Guavacross-Tenant: acme\r\nTE: trailers\r\n"));
    TestPeer& backend = fixture.BackendGot("\r\n\r\n");
    CPPUNIT_ASSERT(backend.Received("GET /a HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(backend.Received("Guavacross-Hops: 1\r\n"));
    CPPUNIT_ASSERT(backend.Received("Guavacross-Deadline-Ms: 10000\r\n"));
    CPPUNIT_ASSERT(!backend.Received("trailers"));
    backend.Send(Reply("hello", "200 OK", "Guavacross-In-Flight: 3\r\n"));
    WaitUntil([&] { return caller.Received("hello"); });
    CPPUNIT_ASSERT(caller.Received("Guavacross-Outcome: done\r\n"));
    CPPUNIT_ASSERT(!caller.Received("In-Flight"));
  });

  Section("reuses the caller's and the backend connection", [&] {
    caller.ClearReceived();
    caller.Send(Get("/b"));
    fixture.BackendGot("GET /b ").Send(Reply("again"));
    WaitUntil([&] { return caller.Received("again"); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.backend().peers().size());
  });

  Section("can shorten the deadline of its class", [&] {
    caller.ClearReceived();
    caller.Send(Get("/c", "Guavacross-Deadline-Ms: 70\r\n"));
    fixture.BackendGot("Guavacross-Deadline-Ms: 70\r\n").Send(Reply("c"));
    WaitUntil([&] { return caller.Received("\r\n\r\nc"); });
  });

  Section("with HEAD keeps the content length of the response", [&] {
    caller.ClearReceived();
    caller.Send("HEAD /h HTTP/1.1\r\nHost: shop\r\n\r\n");
    fixture.BackendGot("HEAD /h ")
        .Send("HTTP/1.1 200 OK\r\nContent-Length: 12345\r\n\r\n");
    WaitUntil([&] { return caller.Received("Content-Length: 12345\r\n"); });
    caller.ClearReceived();
    caller.Send(Get("/after-head"));
    fixture.BackendGot("GET /after-head ").Send(Reply("next"));
    WaitUntil([&] { return caller.Received("next"); });
  });
}

GUAVACROSS_TEST_CASE(PipelinedRequests) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();
  caller.Send(Get("/one") + Get("/two") + Get("/three"));

  Section("wait for the response to the previous request", [&] {
    TestPeer& backend = fixture.BackendGot("GET /one ");
    RunEvents();
    CPPUNIT_ASSERT(!backend.Received("/two"));
    backend.Send(Reply("first-answer"));
    WaitUntil([&] { return backend.Received("GET /two "); });
    CPPUNIT_ASSERT(!backend.Received("/three"));
    backend.Send(Reply("second-answer"));
    WaitUntil([&] { return backend.Received("GET /three "); });
    backend.Send(Reply("third-answer"));
  });
  Section("are answered in order", [&] {
    WaitUntil([&] { return caller.Received("third-answer"); });
    const std::string& all = caller.received();
    CPPUNIT_ASSERT(all.find("first-answer") < all.find("second-answer"));
    CPPUNIT_ASSERT(all.find("second-answer") < all.find("third-answer"));
  });
}

GUAVACROSS_TEST_CASE(BadRequests) {
  WorkerFixture fixture;

  Section("with ambiguous framing get 400 and a closed connection", [&] {
    const std::string two_framings =
        "POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled";
    const std::string answer = AnswerTo(&fixture, two_framings);
    CPPUNIT_ASSERT(StartsWith(answer, "HTTP/1.1 400 "));
    CPPUNIT_ASSERT(answer.find("Guavacross-Outcome: not-run\r\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(StartsWith(
        AnswerTo(&fixture, "GET / HTTP/1.1\nHost: shop\n\n"), "HTTP/1.1 400 "));
  });
  Section("with a too large head or body get 431 or 413", [&] {
    const std::string large(std::size_t{20} << 10, 'x');
    CPPUNIT_ASSERT(StartsWith(
        AnswerTo(&fixture, Get("/", "A: " + large + "\r\n")), "HTTP/1.1 431 "));
    CPPUNIT_ASSERT(StartsWith(AnswerTo(&fixture,
                                       "POST / HTTP/1.1\r\nHost: shop\r\n"
                                       "Content-Length: 99999999\r\n\r\n"),
                              "HTTP/1.1 413 "));
  });
  Section("for an unknown service or with a bad deadline are refused", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/", "Guavacross-Service: nowhere\r\n"));
    WaitUntil([&] { return caller.Received("unknown-service"); });
    caller.Send(Get("/", "Guavacross-Deadline-Ms: soon\r\n"));
    WaitUntil([&] { return caller.Received("bad-request"); });
  });
  Section("that arrive too slowly get 408", [&] {
    TestPeer& slow_head = fixture.Caller();
    slow_head.Send("GET / HTTP/1.1\r\nHo");
    TestPeer& slow_body = fixture.Caller();
    slow_body.Send(
        "POST /charge HTTP/1.1\r\nHost: shop\r\n"
        "Idempotency-Key: k\r\nContent-Length: 9\r\n\r\nabc");
    RunEvents();
    fixture.m_clock.Advance(std::chrono::seconds(11));
    WaitUntil([&] { return slow_head.ended(); });
    CPPUNIT_ASSERT(StartsWith(slow_head.received(), "HTTP/1.1 408 "));
  });
  Section("are never forwarded to a backend server",
          [&] { CPPUNIT_ASSERT(fixture.backend().peers().empty()); });
}

GUAVACROSS_TEST_CASE(CallerDisconnect) {
  WorkerFixture fixture;

  Section("by a half-close still delivers the response", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/half"));
    caller.FinishWriting();
    TestPeer& backend = fixture.BackendGot("GET /half ");
    RunEvents();
    backend.Send(Reply("for the half-closed"));
    WaitUntil([&] { return caller.ended(); });
    CPPUNIT_ASSERT(caller.Received("for the half-closed"));
  });
  Section("by a reset cancels the request", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/reset"));
    TestPeer& backend = fixture.BackendGot("GET /reset ");
    caller.Abort();
    WaitUntil([&] { return backend.gone(); });
  });
  Section("by a full close is detected and cancels the request", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/closed"));
    TestPeer& backend = fixture.BackendGot("GET /closed ");
    caller.Close();
    RunEvents();
    fixture.m_clock.Advance(std::chrono::milliseconds(200));
    WaitUntil([&] { return backend.gone(); });
    WaitUntil([&] { return fixture.m_worker->requests_in_flight() == 0; });
  });
}

GUAVACROSS_TEST_CASE(CallerThatStopsReading) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();
  caller.Send(Get("/large"));
  TestPeer& backend = fixture.BackendGot("GET /large ");
  caller.SetReading(false);
  const std::string body(std::size_t{64} << 20, 'x');
  backend.Send(Reply(body));

  Section("stops reading from the backend server", [&] {
    RunEvents();
    // The kernel and the worker buffer far less than the whole response.
    CPPUNIT_ASSERT(backend.unsent() > body.size() / 2);
  });
  Section("gets the rest after it resumes reading", [&] {
    caller.SetReading(true);
    WaitUntil([&] { return caller.received().size() > body.size(); });
    CPPUNIT_ASSERT_EQUAL(
        body, caller.received().substr(caller.received().size() - body.size()));
  });
}

GUAVACROSS_TEST_CASE(Http10AndExpectContinueCallers) {
  WorkerFixture fixture;

  Section("of HTTP/1.0 get an unchunked body ended by a close", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send("GET /old HTTP/1.0\r\nHost: shop\r\n\r\n");
    fixture.BackendGot("GET /old ")
        .Send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "5\r\nhello\r\n0\r\n\r\n");
    WaitUntil([&] { return caller.ended(); });
    CPPUNIT_ASSERT(!caller.Received("chunked"));
    CPPUNIT_ASSERT(caller.Received("\r\n\r\nhello"));
  });
  Section("that expect 100-continue get it before sending the body", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(
        "POST /p HTTP/1.1\r\nHost: shop\r\n"
        "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    WaitUntil([&] { return caller.Received("HTTP/1.1 100 "); });
    caller.Send("body");
    TestPeer& backend = fixture.BackendGot("\r\n\r\nbody");
    CPPUNIT_ASSERT(!backend.Received("Expect"));
    backend.Send(Reply("taken"));
    WaitUntil([&] { return caller.Received("taken"); });
  });
}

GUAVACROSS_TEST_CASE(ServerThatShutsDown) {
  WorkerFixture fixture;
  TestPeer& idle = fixture.Caller();
  TestPeer& busy = fixture.Caller();
  busy.Send(Get("/download"));
  TestPeer& backend = fixture.BackendGot("GET /download ");
  bool done = false;
  fixture.m_state.m_shutting_down = true;
  fixture.m_worker->Finish([&] { done = true; });

  Section("closes idle connections and waits for open requests", [&] {
    fixture.m_clock.Advance(std::chrono::seconds(2));
    WaitUntil([&] { return idle.gone(); });
    fixture.m_clock.Advance(std::chrono::minutes(30));
    CPPUNIT_ASSERT(!done && !busy.gone());
  });
  Section("is done after the last response, sent with a close", [&] {
    backend.Send(Reply("at last"));
    WaitUntil([&] { return busy.ended(); });
    CPPUNIT_ASSERT(busy.Received("at last"));
    CPPUNIT_ASSERT(busy.Received("Connection: close\r\n"));
    busy.Close();
    WaitUntil([&] { return done; });
  });
}

GUAVACROSS_TEST_CASE(ServerThatIsNotReady) {
  WorkerFixture fixture;
  fixture.m_state.m_ready = false;
  TestPeer& caller = fixture.Caller();
  caller.Send(Get("/readyz"));
  WaitUntil([&] { return caller.Received("not-ready"); });
  caller.ClearReceived();
  caller.Send(Get("/"));
  WaitUntil([&] { return caller.Received("not-ready"); });
  CPPUNIT_ASSERT(caller.Received("Guavacross-Outcome: not-run\r\n"));
  CPPUNIT_ASSERT(caller.Received("Retry-After: 1\r\n"));
  caller.Send(Get("/healthz"));
  WaitUntil([&] { return caller.Received("ok\n"); });
}

}  // namespace guavacross::callers
