// Pipelined requests that are forwarded before their turn. They guard against
// requests that wait for the ones ahead of them while targets have free slots.

#include <string>

#include "callers/worker_fixture.h"
#include "util/test_case.h"

namespace guavacross::callers {

namespace {

using net::RunEvents;
using net::TestPeer;
using net::WaitUntil;
using util::Section;

// Counts the connections to backend servers that have received `text`.
int CountBackends(const WorkerFixture& fixture, const std::string& text) {
  int count = 0;
  for (const auto& backend : fixture.m_backends) {
    for (const auto& peer : backend->peers()) {
      count += peer->Received(text) ? 1 : 0;
    }
  }
  return count;
}

bool IsBefore(const std::string& all,
              const std::string& first,
              const std::string& second) {
  return all.find(first) < all.find(second) &&
         all.find(second) != std::string::npos;
}

}  // namespace

GUAVACROSS_TEST_CASE(PipelinedRequestsSideBySide) {
  WorkerFixture fixture;
  fixture.MakeWorker({.m_max_pipelined = 3});
  TestPeer& caller = fixture.Caller();

  Section("are all sent before the first is answered, up to the limit", [&] {
    caller.Send(Get("/one") + Get("/two"));
    LatestBackend(&fixture, "GET /two ");
    caller.Send(Get("/three") + Get("/four"));
    LatestBackend(&fixture, "GET /three ");
    RunEvents();
    CPPUNIT_ASSERT_EQUAL(0, CountBackends(fixture, "GET /four "));
  });
  Section("are answered in their order, whichever is done first", [&] {
    LatestBackend(&fixture, "GET /three ").Send(Reply("third"));
    LatestBackend(&fixture, "GET /two ").Send(Reply("second"));
    RunEvents();
    CPPUNIT_ASSERT(caller.received().empty());
    LatestBackend(&fixture, "GET /one ").Send(Reply("first"));
    WaitUntil([&] { return caller.Received("third"); });
    CPPUNIT_ASSERT(IsBefore(caller.received(), "first", "second"));
    CPPUNIT_ASSERT(IsBefore(caller.received(), "second", "third"));
  });
  Section("make room for the next", [&] {
    LatestBackend(&fixture, "GET /four ").Send(Reply("fourth"));
    WaitUntil([&] { return caller.Received("fourth"); });
  });
  Section("aren't cut off by an answer that is cut short", [&] {
    caller.ClearReceived();
    caller.Send(Get("/five") + Get("/six") + Get("/seven"));
    LatestBackend(&fixture, "GET /seven ").Send(Reply("seventh"));
    TestPeer& sixth = LatestBackend(&fixture, "GET /six ");
    sixth.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsix");
    RunEvents();
    sixth.Close();
    RunEvents();
    LatestBackend(&fixture, "GET /five ").Send(Reply("fifth"));
    WaitUntil([&] { return caller.Received("seventh"); });
    CPPUNIT_ASSERT(IsBefore(caller.received(), "fifth", "HTTP/1.1 502 "));
    CPPUNIT_ASSERT(IsBefore(caller.received(), "HTTP/1.1 502 ", "seventh"));
  });
  Section("are cancelled when their caller disconnects", [&] {
    caller.Send(Get("/eight") + Get("/nine"));
    LatestBackend(&fixture, "GET /nine ");
    caller.Abort();
    WaitUntil([&] { return fixture.m_worker->requests_in_flight() == 0; });
  });
}

GUAVACROSS_TEST_CASE(PipelinedRequestsThatWaitForTheirTurn) {
  WorkerFixture fixture;
  fixture.MakeWorker({.m_max_pipelined = 3});

  Section("are those that run at most once, and those behind them", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/one") + Post("/charge", "x", "Idempotency-Key: k\r\n") +
                Get("/two"));
    TestPeer& first = LatestBackend(&fixture, "GET /one ");
    RunEvents();
    CPPUNIT_ASSERT_EQUAL(0, CountBackends(fixture, "POST /charge "));
    first.Send(Reply("first"));
    TestPeer& charge = LatestBackend(&fixture, "POST /charge ");
    RunEvents();
    CPPUNIT_ASSERT_EQUAL(0, CountBackends(fixture, "GET /two "));
    charge.Send(Reply("charged"));
    LatestBackend(&fixture, "GET /two ").Send(Reply("second"));
    WaitUntil([&] { return caller.Received("second"); });
    CPPUNIT_ASSERT(IsBefore(caller.received(), "charged", "second"));
  });
  Section("are those behind a request that asks for a close", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/last", "Connection: close\r\n") + Get("/never"));
    LatestBackend(&fixture, "GET /last ").Send(Reply("last"));
    WaitUntil([&] { return caller.ended(); });
    CPPUNIT_ASSERT_EQUAL(0, CountBackends(fixture, "GET /never "));
  });
  Section("aren't those that were sent before the server began to leave", [&] {
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/a") + Get("/b"));
    TestPeer& second = LatestBackend(&fixture, "GET /b ");
    fixture.m_state.m_shutting_down = true;
    LatestBackend(&fixture, "GET /a ").Send(Reply("answer-a"));
    WaitUntil([&] { return caller.Received("answer-a"); });
    CPPUNIT_ASSERT(!caller.Received("Connection: close"));
    second.Send(Reply("answer-b"));
    WaitUntil([&] { return caller.ended(); });
    CPPUNIT_ASSERT(
        IsBefore(caller.received(), "Connection: close", "answer-b"));
  });
}

// Guards against requests that a leaving server has received, and closes the
// connection on after the answer to the one before.
GUAVACROSS_TEST_CASE(PipelinedRequestsWhileTheServerLeaves) {
  WorkerFixture fixture;
  fixture.MakeWorker({.m_close_while_leaving = true});
  TestPeer& caller = fixture.Caller();

  Section("are served, if they had been read when it began to leave", [&] {
    caller.Send(Get("/one") + Post("/charge", "x", "Idempotency-Key: k\r\n"));
    TestPeer& first = LatestBackend(&fixture, "GET /one ");
    fixture.m_state.m_leaving = true;
    first.Send(Reply("first"));
    LatestBackend(&fixture, "POST /charge ");
    CPPUNIT_ASSERT(!caller.Received("Connection: close"));
  });
  Section("and if they waited in the kernel", [&] {
    caller.Send(Get("/two"));
    RunEvents();
    LatestBackend(&fixture, "POST /charge ").Send(Reply("charged"));
    LatestBackend(&fixture, "GET /two ").Send(Reply("second"));
    WaitUntil([&] { return caller.ended(); });
    CPPUNIT_ASSERT(IsBefore(caller.received(), "charged", "second"));
    CPPUNIT_ASSERT(IsBefore(caller.received(), "charged", "Connection: close"));
  });
}

}  // namespace guavacross::callers
