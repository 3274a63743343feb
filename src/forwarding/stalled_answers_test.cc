// Answers that begin and then take longer than their request may.

#include <string>
#include <vector>

#include "callers/worker_fixture.h"
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
using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

// The time limit of all requests here; `kFields` sends it.
constexpr seconds kTimeLimit{1};
constexpr char kFields[] = "Guavacross-Deadline-Ms: 1000\r\n";
constexpr char kKeyed[] =
    "Guavacross-Deadline-Ms: 1000\r\nIdempotency-Key: k1\r\n";

// Callers must have a final answer by then (RULES.md, CONFIG).
constexpr milliseconds kAnsweredBy{1500};

struct Start {
  std::string m_framing;
  std::string m_bytes;
};

// Starts of answers, in each framing, whose rest is missing.
const std::vector<Start> kStarts = {
    {"with a length",
     "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\nonly this"},
    {"in chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nonly this\r\n"},
    {"until the end of the connection", "HTTP/1.1 200 OK\r\n\r\nonly this"},
};

struct Request {
  std::string m_kind;
  std::string m_bytes;
};

// One instance with one target; all requests have the time limit `kTimeLimit`.
struct OneTarget : WorkerFixture {
  explicit OneTarget(bool limit_whole_answer = true) {
    ServiceConfig service = Service();
    for (ClassConfig& each : service.m_classes) {
      each.m_deadline = kTimeLimit;
      each.m_limit_whole_answer = limit_whole_answer;
    }
    ClassConfig order;
    order.m_name = "order";
    order.m_path_prefix = "/order";
    order.m_repeatable = false;
    order.m_claims = false;
    order.m_deadline = kTimeLimit;
    order.m_limit_whole_answer = limit_whole_answer;
    service.m_classes.insert(service.m_classes.begin(), order);
    Configure(service);
  }

  // Sends a request and the start of its answer; returns the target's
  // connection.
  TestPeer& Begin(TestPeer* caller,
                  const std::string& request,
                  const std::string& start) {
    caller->Send(request);
    const std::string line = request.substr(0, request.find("HTTP/1.1"));
    TestPeer& target = callers::LatestBackend(this, line);
    target.Send(start);
    WaitUntil([&] { return caller->Received("only this"); });
    return target;
  }

  int Attempts(const std::string& end) {
    const std::string counter = "guavacross_attempts_total{end=\"" + end +
                                "\",service=\"shop\",zone=\"z1\"} ";
    const std::string text = m_metrics.Text();
    const std::size_t at = text.find(counter);
    return at == std::string::npos
               ? 0
               : std::stoi(text.substr(at + counter.size()));
  }
};

}  // namespace

// An answer with a length had no time limit once its head had come: callers of
// answers that stopped got neither the rest nor the end of their connection.
GUAVACROSS_TEST_CASE(AnswersThatStop) {
  for (const Start& start : kStarts) {
    const std::vector<Request> requests = {
        {"a read", Get("/read", kFields)},
        {"an unsafe request", Post("/order", "body", kFields)},
        {"a keyed request", Post("/charge", "10 EUR", kKeyed)}};
    for (const Request& request : requests) {
      Section(start.m_framing + ", of " + request.m_kind +
                  ", end by the time limit",
              [&] {
                OneTarget fixture;
                TestPeer& caller = fixture.Caller();
                TestPeer& target =
                    fixture.Begin(&caller, request.m_bytes, start.m_bytes);
                fixture.m_clock.Advance(kTimeLimit);
                RunEvents();
                CPPUNIT_ASSERT(!caller.gone());
                fixture.m_clock.Advance(kAnsweredBy - kTimeLimit);
                WaitUntil([&] { return caller.gone(); });
                CPPUNIT_ASSERT(caller.reset());
                CPPUNIT_ASSERT(!caller.Received(http::kLastChunk));
                // The target's connection is never used again.
                fixture.m_clock.Advance(seconds(30));
                WaitUntil([&] { return target.gone(); });
              });
    }
  }
  Section("leave the target's slots free", [&] {
    OneTarget fixture;
    std::vector<TestPeer*> callers;
    for (int i = 0; i < 4; ++i) {
      callers.push_back(&fixture.Caller());
      fixture.Begin(callers.back(), Get("/" + std::to_string(i), kFields),
                    kStarts[0].m_bytes);
    }
    fixture.m_clock.Advance(kAnsweredBy);
    for (TestPeer* const caller : callers) {
      WaitUntil([&] { return caller->gone(); });
    }
    TestPeer& next = fixture.Caller();
    next.Send(Get("/next", kFields));
    callers::LatestBackend(&fixture, "GET /next ").Send(Reply("in time"));
    WaitUntil([&] { return next.Received("in time"); });
  });
  Section("are a time-out of the target", [&] {
    OneTarget fixture;
    TestPeer& caller = fixture.Caller();
    fixture.Begin(&caller, Get("/stops", kFields), kStarts[0].m_bytes);
    fixture.m_clock.Advance(kAnsweredBy);
    WaitUntil([&] { return caller.gone(); });
    CPPUNIT_ASSERT_EQUAL(1, fixture.Attempts("timeout"));
  });
}

// The answer of an unsafe request without a key kept its target's slot for good
// once the caller had left.
GUAVACROSS_TEST_CASE(AnswersThatStopAfterTheirCallerLeft) {
  for (const std::string& request :
       {Post("/order", "body", kFields), Post("/charge", "10 EUR", kKeyed)}) {
    for (const bool answer_first : {true, false}) {
      Section(request.substr(0, 12) + (answer_first ? " left during the answer"
                                                    : " left before it"),
              [&] {
                OneTarget fixture;
                TestPeer& caller = fixture.Caller();
                caller.Send(request);
                TestPeer& target = callers::LatestBackend(
                    &fixture, request.substr(0, request.find(" HTTP/1.1")));
                if (answer_first) {
                  target.Send(kStarts[0].m_bytes);
                  WaitUntil([&] { return caller.Received("only this"); });
                }
                caller.Abort();
                RunEvents();
                if (!answer_first) {
                  target.Send(kStarts[0].m_bytes);
                  RunEvents();
                }
                fixture.m_clock.Advance(seconds(30));
                WaitUntil([&] { return target.gone(); });
              });
    }
  }
}

// Without a time limit such an answer kept its connection for good.
GUAVACROSS_TEST_CASE(AnswersWithoutTimeLimitWhoseCallerLeft) {
  WorkerFixture fixture;
  ServiceConfig service = fixture.Service();
  service.m_classes.front().m_deadline = Duration::zero();
  fixture.Configure(service);
  TestPeer& caller = fixture.Caller();
  caller.Send(Post("/charge", "10 EUR", "Idempotency-Key: k1\r\n"));
  TestPeer& target = fixture.BackendGot("POST /charge ");
  caller.Abort();
  RunEvents();
  target.Send(kStarts[0].m_bytes);
  RunEvents();
  Section("are waited for a while", [&] {
    fixture.m_clock.Advance(std::chrono::minutes(9));
    RunEvents();
    CPPUNIT_ASSERT(!target.gone());
  });
  Section("and then given up", [&] {
    fixture.m_clock.Advance(std::chrono::minutes(2));
    WaitUntil([&] { return target.gone(); });
  });
}

// A keyed request whose caller got only a part of the answer may be sent again:
// the whole answer is recorded if it still comes.
GUAVACROSS_TEST_CASE(KeyedAnswersThatAreLate) {
  const std::string start =
      "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nonly this";
  OneTarget fixture;
  TestPeer& caller = fixture.Caller();
  TestPeer& target =
      fixture.Begin(&caller, Post("/charge", "10 EUR", kKeyed), start);
  Section("are recorded after the caller's time limit", [&] {
    fixture.m_clock.Advance(kAnsweredBy);
    WaitUntil([&] { return caller.gone(); });
    CPPUNIT_ASSERT(fixture.m_finished.empty());
    target.Send("+end");
    WaitUntil([&] { return !fixture.m_finished.empty(); });
    CPPUNIT_ASSERT(fixture.m_finished.front().m_outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("only this+end"),
                         fixture.m_finished.front().m_answer.m_body);
  });
  Section("leave the target's slots free meanwhile", [&] {
    for (int i = 0; i < 4; ++i) {
      fixture.Begin(&fixture.Caller(),
                    Post("/charge/" + std::to_string(i), "10 EUR", kKeyed),
                    start);
    }
    fixture.m_clock.Advance(kAnsweredBy);
    TestPeer& next = fixture.Caller();
    next.Send(Get("/next", kFields));
    callers::LatestBackend(&fixture, "GET /next ").Send(Reply("in time"));
    WaitUntil([&] { return next.Received("in time"); });
  });
}

// The time limit counts only while the target is waited for: an answer that is
// ready is delivered however slowly the caller reads. Answers without a length
// may have no end; see `PlatformAnswersWithoutEnd`.
GUAVACROSS_TEST_CASE(SlowReadersOfAnswers) {
  const std::string body(std::size_t{8} << 20, 'd');
  const std::string answer = Reply(body);
  // Answers of keyed requests aren't moved inside the kernel.
  for (const std::string& request :
       {Get("/large", kFields), Post("/charge", "10 EUR", kKeyed)}) {
    const std::string kind = " of " + request.substr(0, request.find(" HTTP"));
    // Sends a part of the answer while the caller doesn't read.
    const auto begin = [&](OneTarget* fixture, TestPeer* caller,
                           std::size_t sent) -> TestPeer& {
      caller->PauseAfter(1);
      caller->Send(request);
      TestPeer& target = callers::LatestBackend(
          fixture, request.substr(0, request.find("HTTP/1.1")));
      target.Send(std::string_view(answer).substr(0, sent));
      WaitUntil([&] { return !caller->received().empty(); });
      RunEvents();
      return target;
    };
    Section("get the whole of a ready answer late" + kind, [&] {
      OneTarget fixture;
      TestPeer& caller = fixture.Caller();
      begin(&fixture, &caller, answer.size());
      for (int i = 0; i < 20; ++i) {
        fixture.m_clock.Advance(milliseconds(250));
        RunEvents();
        CPPUNIT_ASSERT(!caller.gone());
      }
      caller.SetReading(true);
      WaitUntil([&] { return caller.received().ends_with(body); });
    });
    Section("aren't left waiting for the rest of one that stops" + kind, [&] {
      OneTarget fixture;
      TestPeer& caller = fixture.Caller();
      const std::size_t sent = answer.size() * 7 / 8;
      TestPeer& target = begin(&fixture, &caller, sent);
      fixture.m_clock.Advance(kAnsweredBy);
      RunEvents();
      CPPUNIT_ASSERT(!caller.gone() && !target.gone());
      caller.SetReading(true);
      WaitUntil([&] { return caller.received().size() >= sent; });
      RunEvents();
      fixture.m_clock.Advance(milliseconds(500));
      WaitUntil([&] { return caller.gone() && target.gone(); });
      CPPUNIT_ASSERT(caller.reset());
    });
  }
}

// The users' time limit holds for answers that go on moving too, but their
// target isn't at fault.
GUAVACROSS_TEST_CASE(AnswersThatArriveTooSlowly) {
  for (const Start& start : kStarts) {
    OneTarget fixture;
    TestPeer& caller = fixture.Caller();
    TestPeer& target =
        fixture.Begin(&caller, Get("/slow", kFields), start.m_bytes);
    Section("end by the time limit, " + start.m_framing, [&] {
      for (int i = 0; i < 12; ++i) {
        fixture.m_clock.Advance(milliseconds(100));
        target.Send(start.m_framing == "in chunks" ? "4\r\nmore\r\n" : "more");
        RunEvents();
        CPPUNIT_ASSERT(!caller.gone());
      }
      fixture.m_clock.Advance(kAnsweredBy - milliseconds(1200));
      WaitUntil([&] { return caller.gone() && target.gone(); });
      CPPUNIT_ASSERT(caller.reset());
    });
    Section("are no time-out of the target, " + start.m_framing, [&] {
      CPPUNIT_ASSERT_EQUAL(0, fixture.Attempts("timeout"));
      CPPUNIT_ASSERT_EQUAL(1, fixture.Attempts("cancelled"));
    });
  }
}

// Long downloads that go on moving aren't cut where the class only limits the
// time to the answer.
GUAVACROSS_TEST_CASE(LongAnswersThatGoOn) {
  OneTarget fixture(/*limit_whole_answer=*/false);
  TestPeer& caller = fixture.Caller();
  TestPeer& target =
      fixture.Begin(&caller, Get("/long", kFields), kStarts[0].m_bytes);
  Section("last beyond the time limit", [&] {
    for (int i = 0; i < 20; ++i) {
      fixture.m_clock.Advance(milliseconds(500));
      target.Send("more");
      RunEvents();
      CPPUNIT_ASSERT(!caller.gone());
    }
  });
  Section("end soon after they stop", [&] {
    fixture.m_clock.Advance(seconds(2));
    WaitUntil([&] { return caller.gone() && target.gone(); });
    CPPUNIT_ASSERT(caller.reset());
  });
}

// Of a request that a peer has passed on both instances limit the answer.
GUAVACROSS_TEST_CASE(AnswersThatStopOnTheWayToAPeer) {
  OneTarget fixture;
  fixture.m_hooks.m_relay_identity =
      RelayIdentity{.m_cluster = "c", .m_name = "self"};
  fixture.MakeWorker();
  fixture.m_connection_kind = ConnectionKind::kPeer;
  TestPeer& peer = fixture.Caller();
  const std::string mark = "Guavacross-Relay: 1 0 0 7 1 c e1\r\n";
  Section("end as cut off", [&] {
    TestPeer& target = fixture.Begin(&peer, Get("/passed", kFields + mark),
                                     kStarts[0].m_bytes);
    fixture.m_clock.Advance(kAnsweredBy);
    WaitUntil([&] { return peer.gone() && target.gone(); });
    CPPUNIT_ASSERT(peer.reset());
  });
}

}  // namespace guavacross::forwarding
