#include "http/message_reader.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/leaf/error.hpp>
#include <string>
#include <utility>

namespace guavacross::http {

namespace {

namespace beast_http = boost::beast::http;
using beast_http::error;
using ErrorCode = boost::beast::error_code;
using StringView = boost::beast::string_view;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string_view ToStd(StringView text) {
  return {text.data(), text.size()};
}

int CountFields(const Fields& fields, std::string_view name) {
  int count = 0;
  for (const auto& [field, value] : fields.all()) {
    count += EqualsIgnoreCase(field, name) ? 1 : 0;
  }
  return count;
}

// Checks the bytes of a head as they arrive and rejects what Beast's parser
// would accept or keep waiting on: bare CR or LF, folded lines and NUL bytes.
class HeadScanner {
 public:
  // Returns an error message if a byte is not allowed in a head, else null.
  // Bytes after the end of the head are not checked.
  const char* Scan(std::string_view bytes) {
    for (const char c : bytes) {
      if (m_complete) {
        return nullptr;
      }
      if (const char* problem = ScanByte(c)) {
        return problem;
      }
    }
    return nullptr;
  }

 private:
  const char* ScanByte(char c) {
    if (c == '\0') {
      return "NUL byte in the head";
    }
    if (m_after_cr && c != '\n') {
      return "carriage return without line feed in the head";
    }
    if (!m_after_cr && c == '\n') {
      return "line feed without carriage return in the head";
    }
    const bool is_folded_line =
        m_at_line_start && m_lines > 0 && (c == ' ' || c == '\t');
    if (is_folded_line) {
      return "folded header line";
    }
    if (c == '\n') {
      m_complete = m_line_empty;
      ++m_lines;
    }
    m_after_cr = c == '\r';
    m_at_line_start = c == '\n';
    m_line_empty = c == '\n' || (m_line_empty && c == '\r');
    return nullptr;
  }

  bool m_after_cr = false;
  bool m_at_line_start = true;
  bool m_line_empty = true;
  bool m_complete = false;
  int m_lines = 0;
};

}  // namespace

// Common base of the request and response parsers, so that MessageReader is not
// a template.
class MessageReader::Impl {
 public:
  Impl(ReadLimits limits, Hooks hooks)
      : m_limits(limits), m_hooks(std::move(hooks)) {}
  virtual ~Impl() = default;

  Result<std::size_t> Feed(std::string_view bytes);
  Result<void> FeedEndOfStream();

  virtual std::size_t Put(std::string_view bytes, ErrorCode* code) = 0;
  virtual void PutEnd(ErrorCode* code) = 0;
  virtual bool HeadDone() const = 0;
  virtual bool Done() const = 0;

  bool m_started = false;

 protected:
  virtual ErrorKind SyntaxErrorKind() const = 0;
  void Reject(std::string explanation, ErrorCode* code) {
    m_rejection_text = std::move(explanation);
    *code = error::bad_value;
  }

  ReadLimits m_limits;
  Hooks m_hooks;
  // Header fields parsed so far; moved into the head once it is complete.
  Fields m_fields;
  bool m_in_trailer = false;

 private:
  Result<std::size_t> ParseAll(std::string_view bytes);
  boost::leaf::error_id FailWith(const ErrorCode& code);

  HeadScanner m_scanner;
  // Received bytes that the parser can't consume yet: part of a head or of a
  // chunk header.
  std::string m_pending;
  std::string m_rejection_text;
};

boost::leaf::error_id MessageReader::Impl::FailWith(const ErrorCode& code) {
  if (code == error::header_limit) {
    return Fail(ErrorKind::kHeaderTooLarge,
                "head larger than " +
                    std::to_string(m_limits.m_max_header_bytes) + " bytes");
  }
  if (code == error::body_limit) {
    return Fail(ErrorKind::kBodyTooLarge,
                "body larger than " +
                    std::to_string(m_limits.m_max_body_bytes) + " bytes");
  }
  return Fail(SyntaxErrorKind(),
              m_rejection_text.empty() ? code.message() : m_rejection_text);
}

// Passes `bytes` to the parser until the message is complete or the parser
// needs more input. Returns the number of bytes consumed.
Result<std::size_t> MessageReader::Impl::ParseAll(std::string_view bytes) {
  std::size_t consumed = 0;
  while (!Done() && consumed < bytes.size()) {
    ErrorCode code;
    const std::size_t count = Put(bytes.substr(consumed), &code);
    consumed += count;
    if (code == error::need_more) {
      break;
    }
    if (code) {
      return FailWith(code);
    }
    if (count == 0) {
      break;
    }
  }
  return consumed;
}

Result<std::size_t> MessageReader::Impl::Feed(std::string_view bytes) {
  if (bytes.empty() || Done()) {
    return std::size_t{0};
  }
  m_started = true;
  if (!HeadDone()) {
    if (const char* problem = m_scanner.Scan(bytes)) {
      return Fail(SyntaxErrorKind(), problem);
    }
  }
  const std::size_t pending_size = m_pending.size();
  if (pending_size > 0) {
    m_pending.append(bytes);
  }
  const std::string_view all = pending_size > 0 ? m_pending : bytes;
  BOOST_LEAF_AUTO(consumed, ParseAll(all));
  if (Done()) {
    m_pending.clear();
    return consumed - std::min(consumed, pending_size);
  }
  std::string rest(all.substr(consumed));
  if (rest.size() > m_limits.m_max_header_bytes) {
    return FailWith(error::header_limit);
  }
  m_pending = std::move(rest);
  return bytes.size();
}

Result<void> MessageReader::Impl::FeedEndOfStream() {
  if (Done()) {
    return {};
  }
  ErrorCode code;
  PutEnd(&code);
  if (code || !Done()) {
    return Fail(SyntaxErrorKind(), "connection closed inside of a message");
  }
  return {};
}

namespace {

template <bool kIsRequest>
class Parser : public MessageReader::Impl,
               private beast_http::basic_parser<kIsRequest> {
  using Base = beast_http::basic_parser<kIsRequest>;

 public:
  Parser(ReadLimits limits, bool no_body, MessageReader::Hooks hooks)
      : Impl(limits, std::move(hooks)) {
    this->eager(true);
    this->skip(no_body);
    this->header_limit(static_cast<std::uint32_t>(limits.m_max_header_bytes));
    if (limits.m_max_body_bytes == UINT64_MAX) {
      this->body_limit(boost::none);
    } else {
      this->body_limit(limits.m_max_body_bytes);
    }
  }

  std::size_t Put(std::string_view bytes, ErrorCode* code) override {
    return Base::put(boost::asio::const_buffer(bytes.data(), bytes.size()),
                     *code);
  }
  void PutEnd(ErrorCode* code) override {
    if (Base::got_some()) {
      Base::put_eof(*code);
    } else {
      *code = error::end_of_stream;
    }
  }
  bool HeadDone() const override { return Base::is_header_done(); }
  bool Done() const override { return Base::is_done(); }

 private:
  ErrorKind SyntaxErrorKind() const override {
    return kIsRequest ? ErrorKind::kBadRequest : ErrorKind::kBackendBadAnswer;
  }

  void on_request_impl(beast_http::verb,
                       StringView method,
                       StringView target,
                       int version,
                       ErrorCode&) override {
    m_request.m_method = ToStd(method);
    m_request.m_target = ToStd(target);
    m_request.m_version = version;
    m_version = version;
  }

  void on_response_impl(int status,
                        StringView reason,
                        int version,
                        ErrorCode& code) override {
    // Beast accepts any three digits.
    if (!IsStatusCode(status)) {
      Reject("status code outside of 100 to 599", &code);
      return;
    }
    m_response.m_status = status;
    m_response.m_reason = ToStd(reason);
    m_version = version;
  }

  void on_field_impl(beast_http::field,
                     StringView name,
                     StringView value,
                     ErrorCode&) override {
    // Trailer fields are discarded.
    if (!m_in_trailer) {
      m_fields.Add(std::string(ToStd(name)), std::string(ToStd(value)));
    }
  }

  void on_header_impl(ErrorCode& code) override {
    m_in_trailer = true;
    CheckFraming(&code);
    if (code) {
      return;
    }
    if constexpr (kIsRequest) {
      FillHead(&m_request);
      if (m_hooks.m_on_request) {
        m_hooks.m_on_request(m_request);
      }
    } else {
      FillHead(&m_response);
      if (m_hooks.m_on_response) {
        m_hooks.m_on_response(m_response);
      }
    }
  }

  // Rejects heads whose framing could be interpreted differently by another
  // HTTP implementation, as in request smuggling.
  void CheckFraming(ErrorCode* code) {
    const int lengths = CountFields(m_fields, "Content-Length");
    const int codings = CountFields(m_fields, "Transfer-Encoding");
    if (lengths + codings > 1) {
      Reject("more than one Content-Length or Transfer-Encoding", code);
      return;
    }
    const auto length = m_fields.Find("Content-Length");
    if (length.has_value() &&
        length->find_first_not_of("0123456789") != std::string_view::npos) {
      Reject("Content-Length that is not one decimal number", code);
      return;
    }
    if (codings == 1 &&
        !EqualsIgnoreCase(*m_fields.Find("Transfer-Encoding"), "chunked")) {
      Reject("transfer coding other than chunked", code);
      return;
    }
    if (codings == 1 && m_version < 11) {
      Reject("Transfer-Encoding in HTTP/1.0", code);
      return;
    }
    if (kIsRequest && m_version >= 11 && CountFields(m_fields, "Host") != 1) {
      Reject("a request needs exactly one Host", code);
    }
  }

  template <class Head>
  void FillHead(Head* head) {
    head->m_fields = std::move(m_fields);
    head->m_keep_alive = Base::keep_alive();
    const bool is_204 = !kIsRequest && m_response.m_status == kNoContent;
    const bool is_304 = !kIsRequest && m_response.m_status == kNotModified;
    const auto length = Base::content_length();
    // These responses have no body (RFC 9112, 6.3). With 304, a length is that
    // of the body which a 200 would have.
    if (is_204 || (is_304 && Base::chunked())) {
      head->m_framing = BodyFraming::kNone;
    } else if (Base::chunked()) {
      head->m_framing = BodyFraming::kChunked;
    } else if (length.has_value()) {
      head->m_framing = BodyFraming::kLength;
      head->m_length = *length;
    } else if (!kIsRequest && Base::need_eof()) {
      head->m_framing = BodyFraming::kUntilClose;
      head->m_keep_alive = false;
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         ErrorCode&) override {}

  std::size_t on_body_impl(StringView body, ErrorCode&) override {
    if (m_hooks.m_on_body && !body.empty()) {
      m_hooks.m_on_body(ToStd(body));
    }
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 StringView body,
                                 ErrorCode& code) override {
    return on_body_impl(body, code);
  }

  void on_finish_impl(ErrorCode&) override {}

  RequestHead m_request;
  ResponseHead m_response;
  int m_version = 11;
};

}  // namespace

MessageReader::MessageReader(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}
MessageReader::MessageReader(MessageReader&&) noexcept = default;
MessageReader& MessageReader::operator=(MessageReader&&) noexcept = default;
MessageReader::~MessageReader() = default;

MessageReader MessageReader::ForRequest(ReadLimits limits, Hooks hooks) {
  const bool no_body = false;
  return MessageReader(
      std::make_unique<Parser<true>>(limits, no_body, std::move(hooks)));
}

MessageReader MessageReader::ForResponse(ReadLimits limits,
                                         bool no_body,
                                         Hooks hooks) {
  return MessageReader(
      std::make_unique<Parser<false>>(limits, no_body, std::move(hooks)));
}

Result<std::size_t> MessageReader::Feed(std::string_view bytes) {
  return m_impl->Feed(bytes);
}

Result<void> MessageReader::FeedEndOfStream() {
  return m_impl->FeedEndOfStream();
}

bool MessageReader::started() const {
  return m_impl->m_started;
}

bool MessageReader::head_done() const {
  return m_impl->HeadDone();
}

bool MessageReader::done() const {
  return m_impl->Done();
}

}  // namespace guavacross::http
