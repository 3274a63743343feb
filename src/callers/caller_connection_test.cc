#include <string>

#include "callers/worker_fixture.h"
#include "util/story_test.h"

namespace guavacross::callers {

namespace {

using net::TestPeer;
using net::WaitUntil;
using util::Section;

GUAVACROSS_STORY(CallersRequest) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();

  Section("is forwarded and its answer marked as done", [&] {
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

  Section("may follow another on both connections", [&] {
    caller.Forget();
    caller.Send(Get("/b"));
    fixture.BackendGot("GET /b ").Send(Reply("again"));
    WaitUntil([&] { return caller.Received("again"); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.backend().peers().size());
  });
}

}  // namespace

}  // namespace guavacross::callers
