// Backend servers whose answers are broken, and what their callers get.

#include <functional>
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
using net::RunEvents;
using net::TestPeer;
using net::WaitUntil;
using util::Section;

constexpr char kHeadWithoutLength[] = "HTTP/1.1 200 OK\r\n\r\n";
constexpr std::size_t kUploadBytes = std::size_t{5} << 20;

// A request whose body fills all buffers on the way to a backend server that
// doesn't read it.
std::string Upload(const std::string& path, bool chunked) {
  const std::string body(kUploadBytes, 'u');
  if (!chunked) {
    return Post(path, body);
  }
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n" +
         http::ChunkHeader(body.size()) + body + "\r\n0\r\n\r\n";
}

// Sends an upload to a backend server that reads only its start, and waits
// until the buffers are full. With `kept` it goes over a connection that has
// carried a request.
TestPeer& StartUpload(WorkerFixture* fixture,
                      TestPeer* caller,
                      bool chunked,
                      bool kept) {
  if (kept) {
    caller->Send(Get("/before"));
    TestPeer& backend = fixture->BackendGot("GET /before ");
    backend.Send(Reply("earlier"));
    WaitUntil([&] { return caller->Received("earlier"); });
    caller->ClearReceived();
    backend.ClearReceived();
    backend.PauseAfter(1);
  } else {
    fixture->backend().m_pause_peers_after = 1;
  }
  caller->Send(Upload("/upload", chunked));
  TestPeer& backend = fixture->BackendGot("POST /upload ");
  RunEvents();
  CPPUNIT_ASSERT(backend.received().size() < kUploadBytes / 2);
  return backend;
}

// Runs `test` for uploads with a length and in chunks, on new and on kept
// connections to the backend server.
void ForEachUpload(const std::string& name,
                   const std::function<void(WorkerFixture* fixture,
                                            TestPeer* caller,
                                            TestPeer* backend)>& test) {
  for (const bool chunked : {false, true}) {
    for (const bool kept : {false, true}) {
      Section(name + (chunked ? ", body in chunks" : ", body with a length") +
                  (kept ? ", kept connection" : ", new connection"),
              [&] {
                WorkerFixture fixture;
                TestPeer& caller = fixture.Caller();
                test(&fixture, &caller,
                     &StartUpload(&fixture, &caller, chunked, kept));
              });
    }
  }
}

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
  Section("are counted by what they were", [&] {
    const std::string metrics = fixture.m_metrics.Text();
    const std::string counter =
        "guavacross_attempts_total{end=\"bad-answer\",service=\"shop\","
        "zone=\"z1\"} ";
    const std::size_t at = metrics.find(counter);
    CPPUNIT_ASSERT(at != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(4, std::stoi(metrics.substr(at + counter.size())));
  });
  Section("quarantine no request",
          [&] { CPPUNIT_ASSERT(fixture.m_router.Quarantines().empty()); });
}

// Guards against an answer with status 000 that reaches a caller on another way
// than as the first answer on a new connection.
GUAVACROSS_TEST_CASE(InvalidStatusOnEveryWay) {
  const std::string nonsense = Reply("nonsense", "000 Trouble");
  // Sends a request and an answer to it, and expects a failure of the instance.
  const auto check = [](WorkerFixture* fixture, const std::string& request,
                        const std::string& answer) {
    TestPeer& caller = fixture->Caller();
    caller.Send(request);
    TestPeer& backend =
        LatestBackend(fixture, request.substr(0, request.find("HTTP/1.1")));
    backend.Send(answer);
    WaitUntil([&] { return caller.Received("\r\n\r\n"); });
    RunEvents();
    CPPUNIT_ASSERT(caller.Received("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(!caller.Received("nonsense"));
    CPPUNIT_ASSERT(backend.gone());
  };
  // A request that isn't sent again: its body can't be.
  const std::string upload = Post("/upload", std::string(1 << 20, 'u'));
  const std::string keyed =
      Post("/charge", "10 EUR", "Idempotency-Key: k1\r\n");

  Section("after another answer on the same connection", [&] {
    WorkerFixture fixture;
    TestPeer& caller = fixture.Caller();
    caller.Send(Get("/before"));
    fixture.BackendGot("GET /before ").Send(Reply("earlier"));
    WaitUntil([&] { return caller.Received("earlier"); });
    check(&fixture, upload, nonsense);
  });
  for (const std::string interim : {"100 Continue", "103 Early Hints"}) {
    Section("after " + interim, [&] {
      WorkerFixture fixture;
      check(&fixture, upload, "HTTP/1.1 " + interim + "\r\n\r\n" + nonsense);
    });
  }
  Section("after the answer to another request", [&] {
    WorkerFixture fixture;
    ServiceConfig service = fixture.Service();
    service.m_request_id_header = "X-Request-Id";
    fixture.Configure(service);
    check(&fixture, upload,
          Reply("other", "200 OK", "X-Request-Id: other\r\n") + nonsense);
  });
  for (const std::string framing :
       {"Transfer-Encoding: chunked\r\n\r\n8\r\nnonsense\r\n0\r\n\r\n",
        "\r\nnonsense", "Content-Length: 0\r\n\r\n"}) {
    Section("framed by " + framing.substr(0, framing.find(':')), [&] {
      WorkerFixture fixture;
      check(&fixture, upload, "HTTP/1.1 000 Trouble\r\n" + framing);
    });
  }
  Section("in pieces", [&] {
    WorkerFixture fixture;
    TestPeer& caller = fixture.Caller();
    caller.Send(upload);
    TestPeer& backend = fixture.BackendGot("POST /upload ");
    for (const char byte : nonsense) {
      backend.Send(std::string(1, byte));
      RunEvents();
    }
    WaitUntil([&] { return caller.Received("HTTP/1.1 502 "); });
    CPPUNIT_ASSERT(!caller.Received("nonsense"));
  });
  Section("of a keyed request, which isn't recorded as done", [&] {
    WorkerFixture fixture;
    check(&fixture, keyed, nonsense);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_finished.size());
    CPPUNIT_ASSERT(fixture.m_finished.front().m_outcome == Outcome::kUnknown);
  });
}

// An earlier build, or one that runs beside this one in an upgrade, may have
// recorded such an answer.
GUAVACROSS_TEST_CASE(RecordedAnswersWithAnInvalidStatus) {
  for (const int status : {0, 99, 600, 999}) {
    Section(std::to_string(status) + " is reported as lost", [&] {
      WorkerFixture fixture;
      fixture.m_grant_claims = false;
      TestPeer& caller = fixture.Caller();
      caller.Send(Post("/charge", "10 EUR", "Idempotency-Key: k1\r\n"));
      WaitUntil([&] { return !fixture.m_claims.empty(); });
      fixture.Decide({.m_kind = ClaimDecision::Kind::kReplay,
                      .m_answer = {.m_status = status, .m_body = "nonsense"}});
      WaitUntil([&] { return caller.Received("\r\n\r\n"); });
      CPPUNIT_ASSERT(caller.Received("Guavacross-Outcome: done"));
      CPPUNIT_ASSERT(caller.Received("outcome-lost"));
      CPPUNIT_ASSERT(!caller.Received("nonsense"));
    });
  }
}

// The part that had arrived reached callers as a complete answer.
GUAVACROSS_TEST_CASE(AnswersWithoutLengthThatAreReset) {
  ForEachUpload(
      "before their part is passed on",
      [](WorkerFixture*, TestPeer* caller, TestPeer* backend) {
        backend->Send(std::string(kHeadWithoutLength) + "only this");
        backend->Abort();
        WaitUntil([&] { return caller->gone() || caller->Received("0\r\n"); });
        CPPUNIT_ASSERT(!caller->Received(http::kLastChunk));
        CPPUNIT_ASSERT(caller->reset());
      });
  ForEachUpload(
      "after their part is passed on",
      [](WorkerFixture*, TestPeer* caller, TestPeer* backend) {
        backend->Send(std::string(kHeadWithoutLength) + "only this");
        WaitUntil([&] { return caller->Received("only this"); });
        backend->Abort();
        WaitUntil([&] { return caller->gone() || caller->Received("0\r\n"); });
        CPPUNIT_ASSERT(!caller->Received(http::kLastChunk));
        CPPUNIT_ASSERT(caller->reset());
      });
}

// A backend server may answer in full before it has read the request, and reset
// the connection for what still arrives.
GUAVACROSS_TEST_CASE(AnswersWithoutLengthThatEndBeforeTheUpload) {
  ForEachUpload("with a close",
                [](WorkerFixture*, TestPeer* caller, TestPeer* backend) {
                  backend->Send(std::string(kHeadWithoutLength) + "all of it");
                  backend->FinishWriting();
                  WaitUntil([&] { return caller->Received(http::kLastChunk); });
                  CPPUNIT_ASSERT(caller->Received("all of it"));
                });
  ForEachUpload("with a close and a reset after it",
                [](WorkerFixture*, TestPeer* caller, TestPeer* backend) {
                  backend->Send(std::string(kHeadWithoutLength) + "all of it");
                  backend->FinishWriting();
                  backend->Abort();
                  WaitUntil([&] { return caller->Received(http::kLastChunk); });
                  CPPUNIT_ASSERT(caller->Received("all of it"));
                });
}

// Answers with these statuses have no body whatever their fields say; the end
// of a body that isn't there would be bytes outside of any answer.
GUAVACROSS_TEST_CASE(AnswersThatHaveNoBody) {
  WorkerFixture fixture;
  TestPeer& caller = fixture.Caller();
  int number = 0;

  for (const std::string status : {"204 No Content", "304 Not Modified"}) {
    for (const std::string framing :
         {"Transfer-Encoding: chunked\r\n", "Content-Length: 5\r\n"}) {
      Section(status + " with " + framing, [&] {
        caller.ClearReceived();
        const std::string path = "/" + std::to_string(++number);
        caller.Send(Get(path));
        fixture.BackendGot("GET " + path + " ")
            .Send("HTTP/1.1 " + status + "\r\n" + framing + "\r\n");
        WaitUntil([&] { return caller.Received("\r\n\r\n"); });
        caller.Send(Get(path + "/next"));
        fixture.BackendGot("GET " + path + "/next ").Send(Reply("its own"));
        WaitUntil([&] { return caller.Received("its own"); });
        const std::string& received = caller.received();
        const std::size_t end = received.find("\r\n\r\n") + 4;
        CPPUNIT_ASSERT(received.substr(end).starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(!caller.Received("Transfer-Encoding"));
        CPPUNIT_ASSERT(status.starts_with("304") ||
                       received.substr(0, end).find("Content-Length") ==
                           std::string::npos);
      });
    }
  }
}

}  // namespace guavacross::forwarding
