#include "net/http_fetcher.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/message.h"
#include "net/test_peer.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::net {

namespace {

using util::Section;

constexpr std::size_t kLimitBytes = std::size_t{1} << 20;
constexpr Duration kTimeout = std::chrono::seconds(5);
// More than the limit and the buffers of a connection.
constexpr std::size_t kMaxTakenBytes = std::size_t{32} << 20;
constexpr char kHead[] = "HTTP/1.1 200 OK\r\n";

std::string Reply(const std::string& body) {
  return std::string(kHead) + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A fetcher and a server that the test plays.
struct Fixture {
  using Result = std::shared_ptr<std::optional<FetchResult>>;

  Result Get(const std::string& path) {
    auto result = std::make_shared<std::optional<FetchResult>>();
    m_fetcher->Get(m_server.endpoint(), path, {kTimeout, kLimitBytes},
                   [result](const FetchResult& done) { *result = done; });
    return result;
  }

  Result Post(const std::string& path, const std::string& body) {
    auto result = std::make_shared<std::optional<FetchResult>>();
    m_fetcher->Post(m_server.endpoint(), path, body, {kTimeout, kLimitBytes},
                    [result](const FetchResult& done) { *result = done; });
    return result;
  }

  // The latest connection that has received `text`.
  TestPeer& Got(const std::string& text) {
    TestPeer* found = nullptr;
    WaitUntil([&] {
      for (const auto& peer : m_server.peers()) {
        found = peer->Received(text) ? peer.get() : found;
      }
      return found != nullptr;
    });
    return *found;
  }

  // The result of a request that gets the bytes of `response` and then `end`.
  FetchResult ResultOf(const std::string& response,
                       void (TestPeer::*end)() = nullptr) {
    const std::string path = "/" + std::to_string(++m_requests);
    const Result result = Get(path);
    TestPeer& peer = Got("GET " + path + " ");
    peer.Send(response);
    if (end != nullptr) {
      (peer.*end)();
    }
    WaitUntil([&] { return result->has_value(); });
    return **result;
  }

  util::ManualClock m_clock;
  SocketSet m_sockets;
  TestServer m_server{&m_sockets};
  std::unique_ptr<HttpFetcher> m_fetcher =
      std::make_unique<HttpFetcher>(m_clock.clock());
  int m_requests = 0;
};

}  // namespace

GUAVACROSS_TEST_CASE(FetchedResponses) {
  Fixture fixture;

  Section("are reported with status, fields and body", [&] {
    const FetchResult result = fixture.ResultOf(
        "HTTP/1.1 404 Gone\r\nStore-Era: 7\r\nContent-Length: 2\r\n\r\nno");
    CPPUNIT_ASSERT_EQUAL(404, result.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), result.m_body);
    CPPUNIT_ASSERT_EQUAL(std::string("7"), result.Header("store-era"));
    CPPUNIT_ASSERT_EQUAL(1, result.m_times_sent);
  });
  Section("keep their connection", [&] {
    fixture.ResultOf(Reply("again"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_server.peers().size());
  });
  Section("follow interim ones", [&] {
    const FetchResult result =
        fixture.ResultOf("HTTP/1.1 103 Early Hints\r\n\r\n" + Reply("final"));
    CPPUNIT_ASSERT_EQUAL(std::string("final"), result.m_body);
  });
  Section("with surplus bytes end it", [&] {
    CPPUNIT_ASSERT_EQUAL(
        std::string("own"),
        fixture.ResultOf(Reply("own") + Reply("stray")).m_body);
    CPPUNIT_ASSERT_EQUAL(std::string("next"),
                         fixture.ResultOf(Reply("next")).m_body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.m_server.peers().size());
  });
  Section("to a body are reported too", [&] {
    const auto result = fixture.Post("/post", "payload");
    fixture.Got("Content-Length: 7\r\n\r\npayload").Send(Reply("stored"));
    WaitUntil([&] { return result->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("stored"), (*result)->m_body);
  });
}

GUAVACROSS_TEST_CASE(FetchedResponsesThatAreBroken) {
  Fixture fixture;
  const std::string without_length = std::string(kHead) + "\r\n";

  Section("a body that ends with the connection is complete", [&] {
    const FetchResult result =
        fixture.ResultOf(without_length + "all", &TestPeer::FinishWriting);
    CPPUNIT_ASSERT_EQUAL(200, result.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string("all"), result.m_body);
  });
  Section("one that is reset isn't", [&] {
    const FetchResult result =
        fixture.ResultOf(without_length + "part", &TestPeer::Abort);
    CPPUNIT_ASSERT_EQUAL(0, result.m_status);
    CPPUNIT_ASSERT(!result.m_error.empty() && result.m_body.empty());
  });
  Section("nor while the request is still written", [&] {
    fixture.m_server.m_pause_peers_after = 1;
    const auto result = fixture.Post("/large", std::string(5 << 20, 'u'));
    TestPeer& peer = fixture.Got("POST /large ");
    RunEvents();
    peer.Send(without_length + "part");
    peer.Abort();
    WaitUntil([&] { return result->has_value(); });
    CPPUNIT_ASSERT_EQUAL(0, (*result)->m_status);
    fixture.m_server.m_pause_peers_after.reset();
  });
  for (const std::string response :
       {"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX Bad: a\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX\x1f-Bad: a\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 0\r\n\r\n",
        "nonsense\r\n\r\n"}) {
    Section("malformed: " + response.substr(0, response.size() - 4), [&] {
      const FetchResult result =
          fixture.ResultOf(response, &TestPeer::FinishWriting);
      CPPUNIT_ASSERT_EQUAL(0, result.m_status);
      CPPUNIT_ASSERT(!result.m_error.empty());
    });
  }
  Section("the next is read", [&] {
    CPPUNIT_ASSERT_EQUAL(200, fixture.ResultOf(Reply("next")).m_status);
  });
}

// The store's answers without end filled an instance's memory.
GUAVACROSS_TEST_CASE(FetchedResponsesWithoutEnd) {
  Fixture fixture;
  const std::string chunked =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string letters(4096, 'x');
  // How the response begins, and what is then repeated.
  const std::vector<std::pair<std::string, std::string>> responses = {
      {"HTTP/1.1 200 ", letters},
      {std::string(kHead) + "X: ", letters},
      {kHead, "X: y\r\n"},
      {std::string(kHead) + "\r\n", letters},
      {std::string(kHead) + "Content-Length: 1000000000000\r\n\r\n", letters},
      {chunked, "1000\r\n" + letters + "\r\n"},
      {chunked + "1;", letters},
      {chunked + "0\r\n", "X: y\r\n"},
  };
  for (const auto& [begin, repeated] : responses) {
    Section("are given up: " + begin + "...", [&, &repeated = repeated,
                                               &begin = begin] {
      const std::string path = "/" + std::to_string(++fixture.m_requests);
      const auto result = fixture.Get(path);
      TestPeer& peer = fixture.Got("GET " + path + " ");
      std::string block = begin;
      std::size_t sent = 0;
      while (!result->has_value() && sent < kMaxTakenBytes) {
        while (block.size() < letters.size() * 16) {
          block += repeated;
        }
        if (peer.unsent() == 0) {
          peer.Send(block);
          sent += block.size();
          block.clear();
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents);
      }
      CPPUNIT_ASSERT(result->has_value());
      CPPUNIT_ASSERT_EQUAL(0, (*result)->m_status);
      CPPUNIT_ASSERT(!(*result)->m_error.empty());
      WaitUntil([&] { return peer.gone(); });
    });
  }
  for (const bool over : {false, true}) {
    const std::string body(kLimitBytes + (over ? 1 : 0), 'b');
    Section(
        over ? "a byte over the limit is too much" : "the limit is read", [&] {
          const int expected = over ? 0 : 200;
          CPPUNIT_ASSERT_EQUAL(expected,
                               fixture.ResultOf(Reply(body)).m_status);
          CPPUNIT_ASSERT_EQUAL(expected,
                               fixture
                                   .ResultOf(std::string(kHead) + "\r\n" + body,
                                             &TestPeer::FinishWriting)
                                   .m_status);
          CPPUNIT_ASSERT_EQUAL(
              expected, fixture
                            .ResultOf(chunked + http::ChunkHeader(body.size()) +
                                      body + "\r\n0\r\n\r\n")
                            .m_status);
        });
  }
}

GUAVACROSS_TEST_CASE(FetchesWithoutResponse) {
  Fixture fixture;

  Section("are sent once more, on a new connection", [&] {
    const auto result = fixture.Get("/closed");
    fixture.Got("GET /closed ").FinishWriting();
    WaitUntil([&] { return fixture.m_server.peers().size() == 2; });
    WaitUntil([&] { return fixture.m_server.Peer(1).Received("/closed"); });
    CPPUNIT_ASSERT(!result->has_value());
    fixture.m_server.Peer(1).Abort();
    WaitUntil([&] { return result->has_value(); });
    CPPUNIT_ASSERT_EQUAL(0, (*result)->m_status);
    CPPUNIT_ASSERT_EQUAL(2, (*result)->m_times_sent);
    CPPUNIT_ASSERT(!(*result)->m_connect_failed);
  });
  Section("aren't once a byte of one has arrived", [&] {
    const FetchResult result =
        fixture.ResultOf("HTTP/1.1 2", &TestPeer::FinishWriting);
    CPPUNIT_ASSERT_EQUAL(0, result.m_status);
    CPPUNIT_ASSERT_EQUAL(1, result.m_times_sent);
  });
  Section("end at their time-out, with their connection", [&] {
    const auto result = fixture.Get("/silent");
    TestPeer& peer = fixture.Got("GET /silent ");
    // A response that arrives with the time-out isn't read any more.
    peer.Send(Reply("late"));
    fixture.m_clock.Advance(kTimeout);
    WaitUntil([&] { return result->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("no answer in time"), (*result)->m_error);
    CPPUNIT_ASSERT_EQUAL(1, (*result)->m_times_sent);
    WaitUntil([&] { return peer.gone(); });
  });
  Section("wait for a connection beyond the limit", [&] {
    const std::size_t before = fixture.m_server.peers().size();
    std::vector<Fixture::Result> results;
    for (std::size_t i = 0; i <= HttpFetcher::kMaxConnections; ++i) {
      results.push_back(fixture.Get("/many/" + std::to_string(i) + "/"));
    }
    TestPeer& first = fixture.Got("GET /many/0/ ");
    fixture.Got("GET /many/5/ ");
    RunEvents();
    CPPUNIT_ASSERT_EQUAL(before + HttpFetcher::kMaxConnections,
                         fixture.m_server.peers().size());
    first.Send(Reply("zero"));
    fixture.Got("GET /many/6/ ").Send(Reply("six"));
    WaitUntil([&] { return results[6]->has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("six"), (*results[6])->m_body);
  });
  Section("aren't reported once the fetcher is destroyed", [&] {
    const auto result = fixture.Get("/late");
    fixture.m_fetcher.reset();
    RunEvents();
    CPPUNIT_ASSERT(!result->has_value());
    fixture.m_fetcher = std::make_unique<HttpFetcher>(fixture.m_clock.clock());
  });
  Section("report that the connection was refused", [&] {
    fixture.m_server.close();
    const auto refused = fixture.Get("/refused");
    WaitUntil([&] { return refused->has_value(); });
    CPPUNIT_ASSERT((*refused)->m_connect_failed);
    CPPUNIT_ASSERT_EQUAL(0, (*refused)->m_times_sent);
  });
}

}  // namespace guavacross::net
