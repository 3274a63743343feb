#include "backends/backend_connection.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "backends/backend_pool.h"
#include "util/handle.h"

namespace guavacross::backends {

namespace {

// Above this remainder of a discarded response, closing the connection is
// cheaper than draining it.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{64} << 10;

// Below this remainder of a body, splicing from socket to socket doesn't pay.
constexpr std::uint64_t kMinMovedBytes = std::uint64_t{256} << 10;

constexpr int kSwitchingProtocols = 101;

// Fraction of the keep-alive timeout sent by a backend server for which an idle
// connection is used: near its end a request could cross the server's close.
constexpr double kUsedKeepAliveFraction = 0.7;

// How long sent bytes of a request may stay unacknowledged by the peer's TCP
// stack: time for three transmissions (retransmission timeouts of 200 and
// 400 ms) on a link that loses packets.
constexpr Duration kUnacknowledgedLimit = std::chrono::milliseconds(650);

// If a request on a connection that worked before gets no response byte for
// this long, the other idle connections to the same backend server are closed
// too.
constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(500);

// Number of requests on a connection whose ids are remembered: more than it
// carries while one of them may be sent again.
constexpr std::size_t kMaxCarriedIds = 32;

bool IsInterim(int status) {
  return status >= 100 && status < 200;
}

constexpr std::string_view kTimeoutParameter = "timeout=";

// The usable part of the timeout in a `Keep-Alive: timeout=N` field, or
// nothing.
std::optional<Duration> ParseKeepAliveTime(const http::Fields& fields) {
  const std::string_view text = fields.Find("Keep-Alive").value_or("");
  const std::size_t at = text.find(kTimeoutParameter);
  int seconds = 0;
  if (at == std::string_view::npos ||
      std::from_chars(text.data() + at + kTimeoutParameter.size(),
                      text.data() + text.size(), seconds)
              .ec != std::errc() ||
      seconds <= 0) {
    return std::nullopt;
  }
  return FromSeconds(kUsedKeepAliveFraction * seconds);
}

}  // namespace

BackendConnection::BackendConnection(BackendPool* pool, const Endpoint& address)
    : m_pool(pool), m_address(address) {}

BackendConnection::~BackendConnection() = default;

void BackendConnection::Begin(Attempt* attempt) {
  m_attempt = attempt;
  m_begun_at = m_pool->m_clock.m_now();
  m_idle = false;
  m_head_request = attempt->m_head_request;
  m_response_started = false;
  m_keep_alive = false;
  ++m_request_count;
  if (attempt->m_id_hash != 0) {
    m_carried_ids.push_back(attempt->m_id_hash);
    if (m_carried_ids.size() > kMaxCarriedIds) {
      m_carried_ids.erase(m_carried_ids.begin());
    }
  }
  StartReader();
  if (m_stream == nullptr) {
    Connect();
    if (m_stream == nullptr) {
      return;
    }
  }
  LimitUnacknowledgedTime();
  m_stream->Write(attempt->m_pending_bytes);
  attempt->m_pending_bytes = std::string();
  m_stream->SetReading(attempt->m_reading);
}

void BackendConnection::Connect() {
  net::Stream::Hooks hooks;
  hooks.m_on_connected = [this] { OnConnected(); };
  hooks.m_on_readable = [this] { OnReadable(); };
  hooks.m_on_closed = [this] { OnClosed(); };
  hooks.m_on_drained = [this] {
    if (m_attempt != nullptr && m_attempt->m_hooks.m_on_drained) {
      m_attempt->m_hooks.m_on_drained();
    }
  };
  m_stream =
      net::Stream::Connect(m_pool->m_set, m_address,
                           m_pool->m_options.m_source_ip, std::move(hooks));
  // An immediate connect failure is also reported from the event loop, so that
  // no hook is called before `BackendPool::Start` returns.
  const Duration limit = m_stream != nullptr
                             ? m_pool->m_options.m_connect_timeout
                             : Duration::zero();
  m_connect_timer = m_pool->m_clock.m_call_after(limit, [this] {
    Fail(AttemptEnd::kConnectFailed, ErrorKind::kConnectFailed,
         "could not connect to " + ToString(m_address));
  });
}

// A connection can stop responding without a reset; only a limit on
// unacknowledged bytes detects this. Requests with a body are exempt, because a
// backend server may read a body slowly.
void BackendConnection::LimitUnacknowledgedTime() {
  const bool limited = m_attempt->m_without_body;
  if (std::exchange(m_unacknowledged_limited, limited) != limited) {
    m_stream->SetUnacknowledgedLimit(limited ? kUnacknowledgedLimit
                                             : Duration::zero());
  }
}

void BackendConnection::CloseOthersIfUnresponsive() {
  const bool unresponsive =
      m_attempt != nullptr && m_connected && m_request_count > 1 &&
      !m_response_started &&
      m_pool->m_clock.m_now() - m_begun_at >= kUnresponsiveAfter;
  if (unresponsive) {
    m_pool->CloseIdle(m_address);
  }
}

void BackendConnection::StartReader() {
  http::MessageReader::Hooks hooks;
  hooks.m_on_response = [this](const http::ResponseHead& head) {
    OnHead(head);
  };
  hooks.m_on_body = [this](std::string_view bytes) { OnBody(bytes); };
  const http::ReadLimits limits{.m_max_header_bytes =
                                    m_pool->m_options.m_max_header_bytes};
  m_reader = http::MessageReader::ForResponse(limits, m_head_request,
                                              std::move(hooks));
  m_skip_message = false;
  m_body_bytes_left = 0;
  m_moving = false;
}

void BackendConnection::OnConnected() {
  m_connected = true;
  m_connect_timer.reset();
}

bool BackendConnection::HasCarried(std::uint64_t id_hash) const {
  return id_hash != 0 && std::find(m_carried_ids.begin(), m_carried_ids.end(),
                                   id_hash) != m_carried_ids.end();
}

bool BackendConnection::Usable() const {
  return m_idle && !m_stream->HasPendingInput();
}

void BackendConnection::SetReading(bool reading) {
  if (m_stream != nullptr) {
    m_stream->SetReading(reading);
  }
}

void BackendConnection::Cancel() {
  CloseOthersIfUnresponsive();
  m_attempt = nullptr;
  Retire();
}

void BackendConnection::Discard() {
  const bool request_complete =
      m_attempt->m_request_complete && m_stream->unsent() == 0;
  m_attempt = nullptr;
  if (!request_complete || !m_connected) {
    Retire();
    return;
  }
  m_request_complete = true;
  m_discarded_bytes = 0;
  m_detached_since = m_pool->m_clock.m_now();
  m_stream->SetReading(true);
}

bool BackendConnection::MoveBody() {
  if (m_body_bytes_left < (m_moving ? 1 : kMinMovedBytes) ||
      m_attempt == nullptr || !m_attempt->m_hooks.m_move_to) {
    return false;
  }
  net::Stream* const to = m_attempt->m_hooks.m_move_to();
  if (to == nullptr || !to->CanSplice()) {
    return false;
  }
  const net::Stream::SpliceResult moved =
      to->SpliceFrom(m_stream.get(), m_body_bytes_left);
  if (moved.m_status == net::Stream::ReadStatus::kWouldBlock) {
    return true;
  }
  if (moved.m_status != net::Stream::ReadStatus::kBytes) {
    FailReset("connection closed inside of an answer");
    return true;
  }
  // Spliced bytes bypass `m_reader`, which can no longer detect the end of the
  // response.
  m_moving = true;
  m_body_bytes_left -= moved.m_bytes;
  m_attempt->m_hooks.m_on_moved();
  if (m_body_bytes_left == 0 && !m_retired) {
    OnComplete(/*surplus=*/m_stream->HasPendingInput());
  }
  return true;
}

void BackendConnection::OnReadable() {
  if (MoveBody()) {
    return;
  }
  const net::Stream::ReadResult read = m_stream->Read(m_pool->m_set->scratch());
  if (m_idle && read.m_status != net::Stream::ReadStatus::kWouldBlock) {
    Retire();
    return;
  }
  switch (read.m_status) {
    case net::Stream::ReadStatus::kBytes:
      OnBytes(read.m_bytes);
      break;
    case net::Stream::ReadStatus::kEnd:
      OnEndOfStream();
      break;
    case net::Stream::ReadStatus::kFailed:
      FailReset("connection reset by the backend server");
      break;
    case net::Stream::ReadStatus::kWouldBlock:
      break;
  }
}

void BackendConnection::OnBytes(std::string_view bytes) {
  m_response_started = true;
  while (!bytes.empty()) {
    const auto taken = util::Catch([&] { return m_reader->Feed(bytes); });
    if (m_retired) {
      return;
    }
    if (!taken) {
      Fail(AttemptEnd::kBadAnswer, ErrorKind::kBackendBadAnswer,
           taken.m_error.m_text);
      return;
    }
    bytes.remove_prefix(*taken.m_value);
    if (!m_reader->done()) {
      return;
    }
    if (!m_skip_message) {
      OnComplete(!bytes.empty());
      return;
    }
    StartReader();
  }
}

void BackendConnection::OnHead(const http::ResponseHead& head) {
  m_keep_alive = head.m_keep_alive;
  const bool for_other_request = m_attempt != nullptr &&
                                 m_attempt->m_hooks.m_is_answer &&
                                 !m_attempt->m_hooks.m_is_answer(head);
  m_skip_message = IsInterim(head.m_status) || for_other_request;
  if (const auto keep_alive_time = ParseKeepAliveTime(head.m_fields)) {
    m_idle_limit = keep_alive_time;
  }
  if (head.m_framing == http::BodyFraming::kLength && !m_head_request &&
      !m_skip_message) {
    m_body_bytes_left = head.m_length;
  }
  if (head.m_status == kSwitchingProtocols) {
    Fail(AttemptEnd::kBadAnswer, ErrorKind::kBackendBadAnswer,
         "the backend server switched protocols");
  } else if (!m_skip_message && m_attempt != nullptr) {
    m_attempt->m_hooks.m_on_head(head);
  }
}

void BackendConnection::OnBody(std::string_view bytes) {
  if (m_skip_message) {
    return;
  }
  m_body_bytes_left -= std::min<std::uint64_t>(m_body_bytes_left, bytes.size());
  if (m_attempt != nullptr) {
    m_attempt->m_hooks.m_on_body(bytes);
    return;
  }
  m_discarded_bytes += bytes.size();
  if (m_discarded_bytes > kMaxDiscardedBytes) {
    Retire();
  }
}

void BackendConnection::OnEndOfStream() {
  const auto ended = util::Handle(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(m_reader->FeedEndOfStream());
        return true;
      },
      [](const Error&) { return false; });
  if (m_retired) {
    return;
  }
  if (!ended || m_skip_message) {
    FailReset("connection closed inside of an answer");
    return;
  }
  m_keep_alive = false;
  OnComplete(/*surplus=*/false);
}

void BackendConnection::OnComplete(bool surplus) {
  Attempt* const attempt = std::exchange(m_attempt, nullptr);
  const bool request_complete =
      attempt != nullptr ? attempt->m_request_complete : m_request_complete;
  const bool reusable =
      m_keep_alive && !surplus && request_complete && m_stream->unsent() == 0;
  if (attempt != nullptr) {
    attempt->m_connection = nullptr;
  }
  if (reusable) {
    m_idle = true;
    m_detached_since = m_pool->m_clock.m_now();
    m_stream->SetReading(true);
    m_pool->OnIdle(this);
  } else {
    Retire();
  }
  if (attempt != nullptr) {
    attempt->m_hooks.m_on_end();
  }
}

void BackendConnection::OnClosed() {
  if (!m_connected) {
    Fail(AttemptEnd::kConnectFailed, ErrorKind::kConnectFailed,
         "could not connect to " + ToString(m_address));
  } else {
    FailReset("connection reset by the backend server");
  }
}

void BackendConnection::FailReset(std::string text) {
  Fail(AttemptEnd::kReset, ErrorKind::kBackendReset, std::move(text));
}

void BackendConnection::Fail(AttemptEnd end, ErrorKind kind, std::string text) {
  CloseOthersIfUnresponsive();
  Attempt* const attempt = std::exchange(m_attempt, nullptr);
  const AttemptFailure failure{
      .m_end = end,
      .m_kind = kind,
      .m_text = std::move(text),
      .m_bytes_sent = m_connected,
      .m_stale_connection = m_request_count > 1 && !m_response_started &&
                            kind == ErrorKind::kBackendReset,
      .m_answer_begun = m_response_started};
  Retire();
  if (attempt != nullptr) {
    attempt->m_connection = nullptr;
    attempt->m_hooks.m_on_failure(failure);
  }
}

void BackendConnection::Retire() {
  if (std::exchange(m_retired, true)) {
    return;
  }
  m_connect_timer.reset();
  m_idle = false;
  if (m_stream != nullptr) {
    // A reset tells the backend server at once that the request is cancelled.
    m_stream->Abort();
  }
  m_pool->Retire(this);
}

}  // namespace guavacross::backends
