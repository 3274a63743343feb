#include "callers/caller_connection.h"

#include <utility>

#include "callers/address_answer.h"
#include "callers/caller_worker.h"
#include "callers/classify.h"
#include "guavacross/wire_names.h"
#include "util/handle.h"

namespace guavacross::callers {

namespace {

using forwarding::MakeAnswer;

constexpr char kHealthPath[] = "/healthz";
constexpr char kReadyPath[] = "/readyz";
constexpr char kPlainText[] = "text/plain; charset=utf-8";

constexpr int kOkStatus = 200;

// Header bytes that a peer adds to its caller's request.
constexpr std::size_t kMaxRelayHeaderBytes = 1024;

}  // namespace

CallerConnection::CallerConnection(CallerWorker* worker,
                                   int descriptor,
                                   ConnectionKind kind)
    : m_worker(worker),
      m_kind(kind),
      m_last_progress(now()),
      m_last_write_progress(m_last_progress) {
  net::Stream::Hooks hooks;
  hooks.m_on_readable = [this] { OnReadable(); };
  hooks.m_on_peer_finished = [this] { OnPeerHalfClosed(); };
  hooks.m_on_drained = [this] { OnDrained(); };
  hooks.m_on_closed = [this] { Close(); };
  m_stream = net::Stream::FromDescriptor(&worker->m_sockets, descriptor,
                                         std::move(hooks));
}

CallerConnection::~CallerConnection() = default;

TimePoint CallerConnection::now() const {
  return m_worker->m_hooks->m_clock.m_now();
}

void CallerConnection::Start() {
  m_stream->SetReading(true);
}

void CallerConnection::Refuse(const Error& error) {
  m_keep_alive = false;
  SendError(error, AnswerFor(error.m_kind).m_outcome);
}

void CallerConnection::OnReadable() {
  if (m_request_complete && !m_lingering && !MayForwardPipelined()) {
    // What follows, or the caller's close, is read after the response is sent.
    m_has_unread_input = true;
    m_stream->SetReading(false);
    return;
  }
  m_has_unread_input = false;
  const net::Stream::ReadResult read =
      m_stream->Read(m_worker->m_sockets.scratch());
  switch (read.m_status) {
    case net::Stream::ReadStatus::kBytes:
      m_last_progress = m_lingering ? m_last_progress : now();
      if (m_request_complete && !m_lingering) {
        m_pipelined_bytes.append(read.m_bytes);
        ForwardPipelined();
      } else if (!m_lingering) {
        Process(read.m_bytes);
      }
      break;
    case net::Stream::ReadStatus::kEnd:
      OnEndOfStream();
      break;
    case net::Stream::ReadStatus::kFailed:
      Close();
      break;
    case net::Stream::ReadStatus::kWouldBlock:
      break;
  }
}

void CallerConnection::OnPeerHalfClosed() {
  m_peer_half_closed = true;
  if (m_worker->m_options.m_half_close_is_disconnect && !m_lingering) {
    Close();
  }
}

void CallerConnection::OnEndOfStream() {
  if (m_request_complete && !m_lingering) {
    m_stream->SetReading(false);
    OnPeerHalfClosed();
    return;
  }
  m_peer_half_closed = true;
  if (m_lingering && m_stream->unsent() > 0) {
    m_stream->SetReading(false);
  } else {
    // Idle, or within a request that can no longer be completed.
    Close();
  }
}

void CallerConnection::OnDrained() {
  m_last_progress = now();
  if (m_lingering && m_peer_half_closed) {
    Close();
  } else if (m_exchange != nullptr) {
    m_exchange->OnCallerDrained();
  }
}

void CallerConnection::Process(std::string_view bytes) {
  m_processing = true;
  do {
    bytes = Feed(bytes);
  } while (PrepareNextRequest() && !bytes.empty());
  m_processing = false;
  m_has_unparsed_input = false;
  if (!m_closed && !m_lingering) {
    m_pipelined_bytes.assign(bytes);
    ForwardPipelined();
  }
}

// Feeds the reader up to the end of the request and returns the remaining
// bytes.
std::string_view CallerConnection::Feed(std::string_view bytes) {
  if (!m_reader.has_value()) {
    StartReader();
  }
  m_parsing = true;
  const auto taken = util::Catch([&] { return m_reader->Feed(bytes); });
  m_parsing = false;
  if (m_closed) {
    return {};
  }
  const std::string_view rest =
      taken ? bytes.substr(*taken.m_value) : std::string_view();
  m_has_unparsed_input = !rest.empty();
  m_request_complete = taken && m_reader->done();
  m_keep_alive = m_keep_alive && taken;
  if (m_answer_after_parsing.has_value()) {
    SendWhole(*std::exchange(m_answer_after_parsing, std::nullopt));
  } else if (!taken) {
    OnReadError(taken.m_error);
  } else if (m_exchange != nullptr && m_request_complete) {
    m_exchange->OnBodyEnd();
  } else if (m_exchange != nullptr && !m_exchange->WantsBody()) {
    m_stream->SetReading(false);
  }
  return rest;
}

void CallerConnection::StartReader() {
  http::MessageReader::Hooks hooks;
  hooks.m_on_request = [this](const http::RequestHead& head) {
    OnRequest(head);
  };
  hooks.m_on_body = [this](std::string_view bytes) {
    if (m_exchange != nullptr) {
      m_exchange->OnBody(bytes);
    }
  };
  http::ReadLimits limits{.m_max_header_bytes =
                              m_worker->m_options.m_limits.m_max_header_bytes};
  if (m_kind == ConnectionKind::kPeer) {
    limits.m_max_header_bytes += kMaxRelayHeaderBytes;
  }
  m_reader = http::MessageReader::ForRequest(limits, std::move(hooks));
  m_head_started = now();
}

void CallerConnection::OnRequest(const http::RequestHead& head) {
  m_keep_alive = head.m_keep_alive;
  m_http_10 = head.m_version < 11;
  m_head_request = head.m_method == "HEAD";
  m_has_body = head.m_framing != http::BodyFraming::kNone;
  m_repeatable = false;
  if (!AnswerLocally(head)) {
    Forward(head);
  }
}

// Answers requests that aren't meant for a backend server. Returns false for
// requests that are to be forwarded.
bool CallerConnection::AnswerLocally(const http::RequestHead& head) {
  if (m_worker->m_hooks->m_answer_locally) {
    return AnswerByHook(head);
  }
  const std::string_view path = http::PathOf(head.m_target);
  const ServerState& state = *m_worker->m_state;
  if (path == kHealthPath) {
    SendWhole(MakeAnswer(kOkStatus, Outcome::kDone, kPlainText, "ok\n"));
    return true;
  }
  if (path == kReadyPath && state.m_ready && !state.m_leaving) {
    SendWhole(MakeAnswer(kOkStatus, Outcome::kDone, kPlainText, "ready\n"));
    return true;
  }
  if (path == kReadyPath && state.m_leaving) {
    SendError({.m_kind = ErrorKind::kShuttingDown,
               .m_text = "this instance is leaving"},
              Outcome::kNotRun);
    return true;
  }
  if (!state.m_ready) {
    SendError({.m_kind = ErrorKind::kNotReady,
               .m_text = "no configuration is in force yet"},
              RefusalOutcome(head, ErrorKind::kNotReady));
    return true;
  }
  if (path == kAddressesPath) {
    SendWhole(m_worker->AddressAnswer(head.m_target));
    return true;
  }
  return false;
}

// On local-only addresses the hook answers requests, and those that it doesn't
// answer get an error; on other addresses all requests are forwarded.
bool CallerConnection::AnswerByHook(const http::RequestHead& head) {
  if (m_kind != ConnectionKind::kLocal) {
    return false;
  }
  const auto answer = m_worker->m_hooks->m_answer_locally(head);
  if (answer.has_value()) {
    SendWhole(*answer);
  } else {
    SendError({.m_kind = ErrorKind::kNoMatchingClass,
               .m_text = "nothing is served under this path"},
              Outcome::kNotRun);
  }
  return true;
}

bool CallerConnection::IsAnsweredLocally(const http::RequestHead& head) const {
  if (m_worker->m_hooks->m_answer_locally) {
    return m_kind == ConnectionKind::kLocal;
  }
  const std::string_view path = http::PathOf(head.m_target);
  return !m_worker->m_state->m_ready || path == kHealthPath ||
         path == kReadyPath || path == kAddressesPath;
}

Result<forwarding::ForwardRequest> CallerConnection::ClassifyRequest(
    const http::RequestHead& head,
    const std::optional<forwarding::RelayMark>& relay) const {
  const CallerServerHooks& server = *m_worker->m_hooks;
  return server.m_classify ? server.m_classify(head, now(), relay)
                           : Classify(*server.m_router, head, now());
}

void CallerConnection::Forward(const http::RequestHead& head) {
  const std::optional<forwarding::RelayMark> relay = ReadRelayMark(head);
  if (m_kind == ConnectionKind::kPeer && !relay.has_value()) {
    SendRefusal(head,
                {.m_kind = ErrorKind::kPeerIncompatible,
                 .m_text = "the request has no mark of this cluster"},
                Outcome::kNotRun);
    return;
  }
  auto request = util::Catch([&] { return ClassifyRequest(head, relay); });
  if (!request) {
    LogRefusal(head, request.m_error);
    SendRefusal(head, request.m_error,
                RefusalOutcome(head, request.m_error.m_kind));
    return;
  }
  if (relay.has_value()) {
    request.m_value->m_caller_timeout = relay->m_caller_timeout;
    request.m_value->m_relay = relay;
    m_worker->m_metrics.CountRelay(request.m_value->m_service->m_name,
                                   "taken-over", "accepted");
  }
  m_repeatable = request.m_value->m_class->m_repeatable;
  m_exchange = m_worker->m_forwarder.Begin(std::move(*request.m_value),
                                           MakeAnswerHooks());
  m_worker->UpdateRequestCount();
  m_exchange->Start();
  const bool expects_continue =
      m_has_body && head.m_fields.HasToken("Expect", "100-continue");
  if (expects_continue && !m_http_10 && !m_answer_after_parsing.has_value() &&
      m_response_state == ResponseState::kNone) {
    m_stream->Write(kContinueResponse);
  }
}

// The mark is valid only from peers of the same cluster.
std::optional<forwarding::RelayMark> CallerConnection::ReadRelayMark(
    const http::RequestHead& head) const {
  const auto& identity = m_worker->m_hooks->m_relay_identity;
  if (m_kind != ConnectionKind::kPeer || !identity.has_value()) {
    return std::nullopt;
  }
  auto mark =
      forwarding::ParseRelayMark(head.m_fields.Find(kRelayHeader).value_or(""));
  return mark.has_value() && mark->m_cluster == identity->m_cluster
             ? mark
             : std::nullopt;
}

void CallerConnection::SendRefusal(const http::RequestHead& head,
                                   const Error& error,
                                   Outcome outcome) {
  forwarding::CompleteAnswer answer = OwnAnswer(error, outcome);
  if (m_kind == ConnectionKind::kPeer) {
    forwarding::AddRelayRefusal(
        {.m_outcome = outcome, .m_error = error},
        m_worker->m_hooks->m_target_dialect->m_request_id_header, head,
        &answer.m_head);
  }
  SendWhole(answer);
}

void CallerConnection::LogRefusal(const http::RequestHead& head,
                                  const Error& error) {
  if (!m_worker->m_log.ShouldLogProblem()) {
    return;
  }
  const std::string& id_name =
      m_worker->m_hooks->m_target_dialect->m_request_id_header;
  forwarding::RequestLog::LogEvent(
      "request refused", std::string(head.m_fields.Find(id_name).value_or("")),
      {{"method", head.m_method},
       {"host", std::string(head.m_fields.Find("Host").value_or(""))},
       {"path", std::string(http::PathOf(head.m_target))},
       {"why", Describe(error)}});
}

void CallerConnection::OnReadError(const Error& error) {
  m_keep_alive = false;
  if (m_exchange != nullptr) {
    m_exchange->OnBodyFailed(error);
  } else if (m_response_state == ResponseState::kNone) {
    SendError(error, AnswerFor(error.m_kind).m_outcome);
  }
}

// Prepares the connection for the next request once the response is complete.
// Returns false if no further request is to be read now.
bool CallerConnection::PrepareNextRequest() {
  if (m_closed || m_lingering || m_response_state != ResponseState::kDone) {
    return false;
  }
  if (!m_request_complete || !m_keep_alive) {
    Linger();
    return false;
  }
  m_reader.reset();
  m_response_state = ResponseState::kNone;
  m_request_complete = false;
  m_caller_probed = false;
  m_answered_early = false;
  m_pipeline_blocked = false;
  m_last_progress = now();
  m_stream->SetReading(true);
  return true;
}

void CallerConnection::ProcessPipelined() {
  while (PrepareNextRequest()) {
    if (m_pipelined.empty()) {
      if (!m_pipelined_bytes.empty()) {
        const std::string pipelined = std::exchange(m_pipelined_bytes, {});
        Process(pipelined);
      }
      return;
    }
    DeliverPipelined();
  }
}

}  // namespace guavacross::callers
