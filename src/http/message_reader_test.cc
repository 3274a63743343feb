#include "http/message_reader.h"

#include <string>
#include <vector>

#include "util/handle.h"
#include "util/test_case.h"

namespace guavacross::http {

namespace {

using util::Section;

// Result of reading one message.
struct ReadOutcome {
  RequestHead m_request;
  ResponseHead m_response;
  std::string m_body;
  bool m_done = false;
  std::size_t m_consumed = 0;
  std::optional<Error> m_error;
};

// Feeds `bytes` in pieces of `step` bytes.
ReadOutcome Read(bool request,
                 const std::string& bytes,
                 std::size_t step,
                 ReadLimits limits = {}) {
  ReadOutcome outcome;
  MessageReader::Hooks hooks;
  hooks.m_on_request = [&](const RequestHead& h) { outcome.m_request = h; };
  hooks.m_on_response = [&](const ResponseHead& h) { outcome.m_response = h; };
  hooks.m_on_body = [&](std::string_view b) { outcome.m_body += b; };
  MessageReader reader = request
                             ? MessageReader::ForRequest(limits, hooks)
                             : MessageReader::ForResponse(limits, false, hooks);
  for (std::size_t at = 0; at < bytes.size() && !reader.done(); at += step) {
    const auto piece = std::string_view(bytes).substr(at, step);
    const auto consumed = util::Catch([&] { return reader.Feed(piece); });
    if (!consumed) {
      outcome.m_error = consumed.m_error;
      return outcome;
    }
    outcome.m_consumed += *consumed.m_value;
  }
  outcome.m_done = reader.done();
  return outcome;
}

// The kind of error for a message, if any. Checks that reading it whole and
// byte by byte agree on whether there is one.
std::optional<ErrorKind> MessageError(bool request, const std::string& bytes) {
  const ReadOutcome whole = Read(request, bytes, bytes.size());
  const ReadOutcome pieces = Read(request, bytes, 1);
  CPPUNIT_ASSERT_EQUAL(whole.m_error.has_value(), pieces.m_error.has_value());
  if (!whole.m_error) {
    return std::nullopt;
  }
  return whole.m_error->m_kind;
}

std::optional<ErrorKind> RequestError(const std::string& bytes) {
  return MessageError(true, bytes);
}

std::optional<ErrorKind> ResponseError(const std::string& bytes) {
  return MessageError(false, bytes);
}

}  // namespace

GUAVACROSS_TEST_CASE(RequestReading) {
  for (const std::size_t step :
       {std::size_t{1}, std::size_t{7}, std::size_t{10000}}) {
    Section("a request with Content-Length, followed by an extra byte", [&] {
      const std::string bytes =
          "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloZ";
      const ReadOutcome outcome = Read(true, bytes, step);
      CPPUNIT_ASSERT(outcome.m_done);
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), outcome.m_body);
      CPPUNIT_ASSERT_EQUAL(std::string("/a?b=c"), outcome.m_request.m_target);
      CPPUNIT_ASSERT_EQUAL(bytes.size() - 1, outcome.m_consumed);
    });
    Section("a chunked request", [&] {
      const ReadOutcome outcome = Read(
          true,
          "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\n\r\n",
          step);
      CPPUNIT_ASSERT(!outcome.m_error);
      CPPUNIT_ASSERT(outcome.m_done);
      CPPUNIT_ASSERT_EQUAL(std::string("abcde"), outcome.m_body);
    });
  }
}

GUAVACROSS_TEST_CASE(AmbiguousRequestFraming) {
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"Content-Length with Transfer-Encoding",
       start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {"two different Content-Length fields",
       start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
      {"two equal Content-Length fields",
       start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
      {"a list as Content-Length", start + "Content-Length: 3, 3\r\n\r\nabc"},
      {"a signed Content-Length", start + "Content-Length: +3\r\n\r\nabc"},
      {"a negative Content-Length", start + "Content-Length: -1\r\n\r\n"},
      {"a transfer coding besides chunked",
       start + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
      {"an unknown transfer coding",
       start + "Transfer-Encoding: xchunked\r\n\r\n"},
      {"bare line feeds", "GET / HTTP/1.1\nHost: x\n\n"},
      {"a folded header line", start + "X: a\r\n b\r\n\r\n"},
      {"a space before the colon", start + "X : a\r\n\r\n"},
      {"a NUL byte", start + std::string("X: a\0b\r\n\r\n", 10)},
      {"no Host field", "GET / HTTP/1.1\r\n\r\n"},
      {"two Host fields", start + "Host: y\r\n\r\n"},
      {"an invalid chunk size",
       start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"},
  };
  for (const auto& [name, bytes] : cases) {
    Section(name + " is rejected", [&bytes = bytes] {
      CPPUNIT_ASSERT(RequestError(bytes) == ErrorKind::kBadRequest);
    });
  }
}

GUAVACROSS_TEST_CASE(ReaderLimits) {
  Section("an oversized head is rejected before it is complete", [] {
    const std::string head =
        "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(20000, 'a');
    CPPUNIT_ASSERT(RequestError(head) == ErrorKind::kHeaderTooLarge);
  });
  Section("a body over the limit is rejected", [] {
    const ReadLimits limits{.m_max_body_bytes = 4};
    const ReadOutcome outcome = Read(
        true, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
        1000, limits);
    CPPUNIT_ASSERT(outcome.m_error.has_value());
    CPPUNIT_ASSERT(outcome.m_error->m_kind == ErrorKind::kBodyTooLarge);
  });
  Section("an oversized chunk extension is rejected", [] {
    const std::string bytes =
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;" +
        std::string(40000, 'a');
    CPPUNIT_ASSERT(RequestError(bytes).has_value());
  });
}

GUAVACROSS_TEST_CASE(ResponseReading) {
  Section("a response body that ends when the connection closes", [] {
    std::string body;
    MessageReader reader = MessageReader::ForResponse(
        {}, false, {.m_on_body = [&body](std::string_view b) { body += b; }});
    CPPUNIT_ASSERT(
        util::Catch([&] { return reader.Feed("HTTP/1.1 200 OK\r\n\r\nabc"); }));
    CPPUNIT_ASSERT(!reader.done());
    const Error none = util::Handle(
        [&]() -> Result<Error> {
          BOOST_LEAF_CHECK(reader.FeedEndOfStream());
          return Error{};
        },
        [](const Error& error) { return error; });
    CPPUNIT_ASSERT_EQUAL(std::string(), none.m_text);
    CPPUNIT_ASSERT(reader.done());
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), body);
  });
  Section("a truncated response is an error", [] {
    MessageReader reader = MessageReader::ForResponse({}, false, {});
    CPPUNIT_ASSERT(util::Catch([&] {
      return reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    }));
    const Error error = util::Handle(
        [&]() -> Result<Error> {
          BOOST_LEAF_CHECK(reader.FeedEndOfStream());
          return Error{};
        },
        [](const Error& e) { return e; });
    CPPUNIT_ASSERT(error.m_kind == ErrorKind::kBackendBadAnswer);
  });
  Section("extra bytes after a response are not consumed", [] {
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    const ReadOutcome outcome = Read(false, bytes, bytes.size());
    CPPUNIT_ASSERT(outcome.m_done);
    CPPUNIT_ASSERT(outcome.m_consumed < bytes.size());
  });
}

// A status that isn't one reached callers as an answer.
GUAVACROSS_TEST_CASE(ResponseStatus) {
  const auto error_for = [](const std::string& status) {
    return ResponseError("HTTP/1.1 " + status +
                         " Text\r\nContent-Length: 2\r\n\r\nok");
  };
  for (const std::string status :
       {"000", "001", "099", "600", "700", "999", "20", "2000", "+20", "-10",
        "0x1", " 200", "2 00"}) {
    Section("'" + status + "' is malformed", [&] {
      CPPUNIT_ASSERT(error_for(status) == ErrorKind::kBackendBadAnswer);
    });
  }
  for (const std::string status : {"100", "200", "299", "404", "599"}) {
    Section("'" + status + "' is read",
            [&] { CPPUNIT_ASSERT(!error_for(status).has_value()); });
  }
}

// An intermediary that passes such a line on, or skips it, frames the body
// differently from its caller.
GUAVACROSS_TEST_CASE(ResponseFieldNames) {
  const std::string own = "Content-Length: 2\r\nX-Own: a\r\n";
  const std::vector<std::pair<std::string, std::string>> lines = {
      {"a blank", "X Bad: a"},
      {"a blank at its start", " X-Bad: a"},
      {"a blank before the colon", "X-Bad : a"},
      {"a tab", "X\tBad: a"},
      {"a tab before the colon", "X-Bad\t: a"},
      {"the control byte 0x01",
       "X\x01"
       "Bad: a"},
      {"the control byte 0x1f",
       "X\x1f"
       "Bad: a"},
      {"the control byte 0x7f",
       "X\x7f"
       "Bad: a"},
      {"a NUL byte", std::string("X\0Bad: a", 8)},
      {"a carriage return", "X\rBad: a"},
      {"a line feed", "X\nBad: a"},
      {"a byte above 0x7f", "X\xe9: a"},
      {"no characters", ": a"},
      {"no colon", "X-Bad"},
      {"a separator", "X(Bad): a"},
      {"Content-Length and a blank before the colon", "Content-Length : 9"},
      {"Content-Length and a control byte", "Content-Length\x01: 9"},
      {"Content-Length and a blank inside", "Content -Length: 9"},
      {"Transfer-Encoding and a blank before the colon",
       "Transfer-Encoding : chunked"},
      {"Transfer-Encoding and a control byte",
       "Transfer-Encoding\x0b: chunked"},
  };
  for (const auto& [name, line] : lines) {
    Section("with " + name + " is malformed", [&, &line = line] {
      for (const std::string& fields :
           {line + "\r\n" + own, own + line + "\r\n"}) {
        CPPUNIT_ASSERT(ResponseError("HTTP/1.1 200 OK\r\n" + fields +
                                     "\r\nok") == ErrorKind::kBackendBadAnswer);
      }
    });
  }
  Section("of all other characters are read", [&] {
    CPPUNIT_ASSERT(!ResponseError("HTTP/1.1 200 OK\r\n" + own +
                                  "!#$%&'*+-.^_`|~09azAZ: a\r\n\r\nok")
                        .has_value());
  });
}

}  // namespace guavacross::http
