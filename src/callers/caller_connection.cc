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
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char kPlainText[] = "text/plain; charset=utf-8";

// How long a connection whose last answer has been sent waits for the caller
// to close: closing while bytes of the caller are unread would reset it and
// could lose the answer.
constexpr Duration kLingerTime = std::chrono::seconds(2);

// How long an idle connection is kept for a request that may be on its way,
// once the server is shutting down.
constexpr Duration kFinishingIdleTime = std::chrono::seconds(1);

constexpr int kOkStatus = 200;

}  // namespace

CallerConnection::CallerConnection(CallerWorker* worker,
                                   int descriptor,
                                   bool local_only)
    : m_worker(worker),
      m_local_only(local_only),
      m_last_progress(now()),
      m_last_sent(m_last_progress) {
  net::Stream::Hooks hooks;
  hooks.m_on_readable = [this] { OnReadable(); };
  hooks.m_on_peer_finished = [this] { OnPeerFinished(); };
  hooks.m_on_drained = [this] { OnDrained(); };
  hooks.m_on_closed = [this] { Close(); };
  m_stream =
      net::Stream::Accepted(&worker->m_sockets, descriptor, std::move(hooks));
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
  if (m_request_complete && !m_lingering) {
    // Another request, or the caller's close, has to wait for the answer.
    m_stream->SetReading(false);
    return;
  }
  const net::Stream::ReadResult read =
      m_stream->Read(m_worker->m_sockets.scratch());
  switch (read.m_status) {
    case net::Stream::ReadStatus::kBytes:
      if (!m_lingering) {
        m_last_progress = now();
        Process(read.m_bytes);
      }
      break;
    case net::Stream::ReadStatus::kEnd:
      OnPeerEnd();
      break;
    case net::Stream::ReadStatus::kFailed:
      Close();
      break;
    case net::Stream::ReadStatus::kNothingYet:
      break;
  }
}

void CallerConnection::OnPeerFinished() {
  m_peer_finished = true;
  if (m_worker->m_options.m_half_close_is_leaving && !m_lingering) {
    Close();
  }
}

void CallerConnection::OnPeerEnd() {
  m_peer_finished = true;
  if (m_lingering && m_stream->unsent() > 0) {
    m_stream->SetReading(false);
  } else {
    // Between requests, or inside of one that can't be completed any more.
    Close();
  }
}

void CallerConnection::OnDrained() {
  m_last_progress = now();
  if (m_lingering && m_peer_finished) {
    Close();
  } else if (m_exchange != nullptr) {
    m_exchange->OnCallerDrained();
  }
}

void CallerConnection::Process(std::string_view bytes) {
  m_processing = true;
  do {
    bytes = Feed(bytes);
  } while (PrepareNext() && !bytes.empty());
  m_processing = false;
  if (!m_closed && !m_lingering) {
    m_held.assign(bytes);
  }
}

// Gives the reader bytes up to the end of the request and returns the rest.
std::string_view CallerConnection::Feed(std::string_view bytes) {
  if (!m_reader.has_value()) {
    StartReader();
  }
  const auto taken = util::Catch([&] { return m_reader->Feed(bytes); });
  if (m_closed) {
    return {};
  }
  if (!taken) {
    OnReadError(taken.m_error);
    return {};
  }
  if (m_reader->done()) {
    m_request_complete = true;
    if (m_exchange != nullptr) {
      m_exchange->OnBodyEnd();
    }
  } else if (m_exchange != nullptr && !m_exchange->WantsBody()) {
    m_stream->SetReading(false);
  }
  return bytes.substr(*taken.m_value);
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
  const http::ReadLimits limits{
      .m_max_header_bytes = m_worker->m_options.m_limits.m_max_header_bytes};
  m_reader = http::MessageReader::ForRequest(limits, std::move(hooks));
  m_head_started = now();
}

void CallerConnection::OnRequest(const http::RequestHead& head) {
  m_keep_alive = head.m_keep_alive;
  m_http_10 = head.m_version < 11;
  m_head_request = head.m_method == "HEAD";
  m_has_body = head.m_framing != http::BodyFraming::kNone;
  if (!AnswerLocally(head)) {
    Forward(head);
  }
}

// Answers what isn't for a backend server.
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

// On addresses of their own, only the hook answers; elsewhere nothing does.
bool CallerConnection::AnswerByHook(const http::RequestHead& head) {
  if (!m_local_only) {
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

void CallerConnection::Forward(const http::RequestHead& head) {
  const CallerServerHooks& server = *m_worker->m_hooks;
  auto request = util::Catch([&] {
    return server.m_classify ? server.m_classify(head, now())
                             : Classify(*server.m_router, head, now());
  });
  if (!request) {
    TellOfRefusal(head, request.m_error);
    SendError(request.m_error, RefusalOutcome(head, request.m_error.m_kind));
    return;
  }
  m_exchange = m_worker->m_forwarder.Begin(std::move(*request.m_value),
                                           MakeAnswerHooks());
  m_worker->UpdateRequestCount();
  m_exchange->Start();
  const bool expects_continue =
      m_has_body && head.m_fields.HasToken("Expect", "100-continue");
  if (expects_continue && !m_http_10 && m_answer == Answer::kNone) {
    m_stream->Write(kContinue);
  }
}

void CallerConnection::TellOfRefusal(const http::RequestHead& head,
                                     const Error& error) {
  if (!m_worker->m_log.TellsTrouble()) {
    return;
  }
  const std::string& id_name =
      m_worker->m_hooks->m_target_dialect->m_request_id_header;
  forwarding::RequestLog::Tell(
      "request refused", std::string(head.m_fields.Find(id_name).value_or("")),
      {{"method", head.m_method},
       {"host", std::string(head.m_fields.Find("Host").value_or(""))},
       {"path", std::string(http::PathOf(head.m_target))},
       {"why", Describe(error)}});
}

forwarding::AnswerHooks CallerConnection::MakeAnswerHooks() {
  forwarding::AnswerHooks hooks;
  hooks.m_on_answer = [this](const forwarding::WholeAnswer& answer) {
    m_exchange = nullptr;
    SendWhole(answer);
  };
  hooks.m_on_head = [this](const http::ResponseHead& head) { SendHead(head); };
  hooks.m_on_body = [this](std::string_view bytes) { SendBody(bytes); };
  hooks.m_on_end = [this] {
    m_exchange = nullptr;
    SendEnd();
  };
  hooks.m_on_abort = [this] {
    m_exchange = nullptr;
    CutShort();
  };
  hooks.m_on_body_wanted = [this] { m_stream->SetReading(true); };
  hooks.m_raw_stream = [this] {
    const bool raw = m_answer_framing == http::BodyFraming::kLength &&
                     !m_head_request && !m_closed;
    return raw ? m_stream.get() : nullptr;
  };
  hooks.m_unsent = [this] { return m_stream->unsent(); };
  return hooks;
}

void CallerConnection::OnReadError(const Error& error) {
  m_keep_alive = false;
  if (m_exchange != nullptr) {
    m_exchange->OnBodyFailed(error);
  } else if (m_answer == Answer::kNone) {
    SendError(error, AnswerFor(error.m_kind).m_outcome);
  }
}

// Makes the connection ready for the next request once the answer is done.
// Returns false if there is nothing to be read now.
bool CallerConnection::PrepareNext() {
  if (m_closed || m_lingering || m_answer != Answer::kDone) {
    return false;
  }
  if (!m_request_complete || !m_keep_alive) {
    Linger();
    return false;
  }
  m_reader.reset();
  m_answer = Answer::kNone;
  m_request_complete = false;
  m_probed = false;
  m_last_progress = now();
  m_stream->SetReading(true);
  return true;
}

void CallerConnection::Continue() {
  if (PrepareNext() && !m_held.empty()) {
    const std::string held = std::exchange(m_held, {});
    Process(held);
  }
}

void CallerConnection::SendWhole(const forwarding::WholeAnswer& answer) {
  SendHead(answer.m_head);
  SendBody(answer.m_body);
  SendEnd();
}

void CallerConnection::SendError(const Error& error, Outcome outcome) {
  m_worker->m_metrics.CountOwnAnswer(error.m_kind);
  SendWhole(
      m_worker->m_hooks->m_caller_dialect->m_error_answer(error, outcome));
}

void CallerConnection::SendHead(http::ResponseHead head) {
  m_answer = Answer::kStarted;
  const bool body_unread = m_has_body && !m_request_complete;
  const ServerState& state = *m_worker->m_state;
  const bool leaving =
      state.m_finishing ||
      (state.m_leaving && m_worker->m_options.m_close_while_leaving);
  if (m_http_10 || body_unread || leaving) {
    m_keep_alive = false;
  }
  const bool length_unknown =
      head.m_framing == http::BodyFraming::kUntilClose ||
      head.m_framing == http::BodyFraming::kChunked;
  if (length_unknown) {
    head.m_framing = m_http_10 ? http::BodyFraming::kUntilClose
                               : http::BodyFraming::kChunked;
  }
  head.m_keep_alive = m_keep_alive;
  m_answer_framing = head.m_framing;
  m_stream->Write(http::Serialize(head));
}

void CallerConnection::SendBody(std::string_view bytes) {
  if (m_head_request || bytes.empty()) {
    return;
  }
  if (m_answer_framing != http::BodyFraming::kChunked) {
    m_stream->Write(bytes);
    return;
  }
  m_stream->Write(http::ChunkHeader(bytes.size()));
  m_stream->Write(bytes);
  m_stream->Write(http::kChunkEnd);
}

void CallerConnection::SendEnd() {
  if (m_answer_framing == http::BodyFraming::kChunked && !m_head_request) {
    m_stream->Write(http::kLastChunk);
  }
  m_answer = Answer::kDone;
  if (!m_processing) {
    Continue();
  }
}

// Resets the connection, so that the caller can't take a part for the whole.
void CallerConnection::CutShort() {
  m_stream->Abort();
  Close();
}

void CallerConnection::Sweep(TimePoint now) {
  if (m_closed) {
    return;
  }
  if (m_lingering) {
    SweepLingering(now);
  } else if (Stalled(now)) {
    CutShort();
  } else {
    SweepRequest(now);
  }
}

bool CallerConnection::Stalled(TimePoint now) {
  const std::uint64_t sent = m_stream->bytes_sent();
  if (m_stream->unsent() == 0 || sent != m_bytes_sent_seen) {
    m_bytes_sent_seen = sent;
    m_last_sent = now;
  }
  return now - m_last_sent > m_worker->m_options.m_limits.m_stall_time;
}

void CallerConnection::SweepLingering(TimePoint now) {
  const bool all_sent = m_stream->unsent() == 0;
  if (Stalled(now) || (all_sent && now - m_last_progress > kLingerTime)) {
    Close();
  }
}

void CallerConnection::SweepRequest(TimePoint now) {
  const CallerLimits& limits = m_worker->m_options.m_limits;
  const Duration quiet = now - m_last_progress;
  if (!m_reader.has_value()) {
    const bool finishing = m_worker->m_state->m_finishing;
    if (quiet > (finishing ? kFinishingIdleTime : limits.m_idle_time)) {
      Close();
    }
  } else if (!m_reader->head_done()) {
    if (now - m_head_started > limits.m_header_time) {
      OnReadError({.m_kind = ErrorKind::kSlowRequest,
                   .m_text = "the head took too long"});
    }
  } else if (!m_request_complete) {
    const bool waiting = m_stream->reading() && m_answer == Answer::kNone;
    if (waiting && quiet > limits.m_body_progress_time) {
      OnReadError({.m_kind = ErrorKind::kSlowRequest,
                   .m_text = "the body made no progress"});
    }
  } else if (m_peer_finished) {
    ProbeCaller();
  }
}

// A caller that has closed its direction may still wait for the answer or may
// have left; only sending something tells. An interim answer does no harm to
// the one (RFC 9110, 15.2) and makes the other's kernel reset the connection.
void CallerConnection::ProbeCaller() {
  if (!m_probed && !m_http_10 && m_answer == Answer::kNone) {
    m_probed = true;
    m_stream->Write(kContinue);
  }
}

void CallerConnection::Linger() {
  m_lingering = true;
  m_held.clear();
  m_last_progress = now();
  m_stream->FinishWriting();
  m_stream->SetReading(true);
}

void CallerConnection::Abort() {
  CutShort();
}

void CallerConnection::Close() {
  if (std::exchange(m_closed, true)) {
    return;
  }
  m_stream->Close();
  if (m_exchange != nullptr) {
    std::exchange(m_exchange, nullptr)->OnCallerGone();
  }
  m_worker->Remove(this);
}

}  // namespace guavacross::callers
