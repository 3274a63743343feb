// Backend servers whose answers are broken, and what their callers get.

#include <string>

#include "callers/worker_fixture.h"
#include "util/test_case.h"

namespace guavacross::forwarding {

namespace {

using callers::Get;
using callers::LatestBackend;
using callers::Post;
using callers::Reply;
using callers::WorkerFixture;
using net::TestPeer;
using net::WaitUntil;
using util::Section;

}  // namespace

// An answer with status 000 reached callers.
GUAVACROSS_TEST_CASE(AnswersWithAnInvalidStatus) {
  WorkerFixture fixture(/*targets=*/2);
  TestPeer& caller = fixture.Caller();

  for (const std::string status : {"000 Trouble", "099 Trouble", "600 Odd"}) {
    const std::string path = "/read/" + status.substr(0, 3);
    Section("are replaced by another target's: " + status, [&] {
      caller.Send(Get(path));
      TestPeer& backend = LatestBackend(&fixture, "GET " + path + " ");
      backend.Send(Reply("nonsense", status));
      WaitUntil([&] { return backend.gone(); });
      LatestBackend(&fixture, "GET " + path + " ").Send(Reply("good" + path));
      WaitUntil([&] { return caller.Received("good" + path); });
      CPPUNIT_ASSERT(!caller.Received("nonsense"));
    });
  }
  Section("leave an unsafe request unknown, sent only once", [&] {
    caller.ClearReceived();
    caller.Send(Post("/charge", "10 EUR", "Idempotency-Key: k1\r\n"));
    TestPeer& backend = LatestBackend(&fixture, "10 EUR");
    backend.Send(Reply("nonsense", "000 Trouble"));
    WaitUntil([&] { return caller.Received("Guavacross-Outcome: unknown"); });
    CPPUNIT_ASSERT(caller.Received("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(!caller.Received("nonsense"));
    WaitUntil([&] { return backend.gone(); });
    caller.Send(Get("/after"));
    LatestBackend(&fixture, "GET /after ").Send(Reply("fine"));
    WaitUntil([&] { return caller.Received("fine"); });
    for (const auto& server : fixture.m_backends) {
      for (const auto& peer : server->peers()) {
        CPPUNIT_ASSERT(peer.get() == &backend || !peer->Received("10 EUR"));
      }
    }
  });
}

}  // namespace guavacross::forwarding
