// The part of `CallerConnection` that enforces time limits, detects that the
// caller has disconnected, and closes the connection.

#include <utility>

#include "callers/caller_connection.h"
#include "callers/caller_worker.h"

namespace guavacross::callers {

namespace {

// How long a connection waits for the caller to close after the last response
// was sent: closing with unread input would reset the connection, and the
// caller could lose the response.
constexpr Duration kLingerTime = std::chrono::seconds(2);

// How long an idle connection stays open during shutdown, for a request that
// may already be on its way.
constexpr Duration kShutdownIdleTime = std::chrono::seconds(1);

}  // namespace

void CallerConnection::Sweep(TimePoint now) {
  if (m_closed) {
    return;
  }
  if (m_lingering) {
    SweepLingering(now);
  } else if (IsWriteStalled(now)) {
    ResetConnection();
  } else {
    SweepRequest(now);
  }
}

bool CallerConnection::IsWriteStalled(TimePoint now) {
  const std::uint64_t sent = m_stream->bytes_sent();
  if (m_stream->unsent() == 0 || sent != m_last_bytes_sent) {
    m_last_bytes_sent = sent;
    m_last_write_progress = now;
  }
  return now - m_last_write_progress >
         m_worker->m_options.m_limits.m_stall_time;
}

void CallerConnection::SweepLingering(TimePoint now) {
  const bool all_sent = m_stream->unsent() == 0;
  if (IsWriteStalled(now) ||
      (all_sent && now - m_last_progress > kLingerTime)) {
    Close();
  }
}

void CallerConnection::SweepRequest(TimePoint now) {
  const CallerLimits& limits = m_worker->m_options.m_limits;
  const Duration inactive_time = now - m_last_progress;
  if (!m_reader.has_value() && !m_request_complete) {
    const bool shutting_down = m_worker->m_state->m_shutting_down;
    if (inactive_time >
        (shutting_down ? kShutdownIdleTime : limits.m_idle_time)) {
      Close();
    }
  } else if (!m_request_complete && !m_reader->head_done()) {
    if (now - m_head_started > limits.m_header_time) {
      OnReadError({.m_kind = ErrorKind::kSlowRequest,
                   .m_text = "the head took too long"});
    }
  } else if (!m_request_complete) {
    const bool waiting =
        m_stream->reading() && m_response_state == ResponseState::kNone;
    if (waiting && inactive_time > limits.m_body_progress_time) {
      OnReadError({.m_kind = ErrorKind::kSlowRequest,
                   .m_text = "the body made no progress"});
    }
  } else if (m_peer_half_closed) {
    ProbeCaller();
  }
}

// After a half-close the caller may still wait for the response or may have
// closed its socket; only sending something shows which. An interim response is
// ignored by a waiting caller (RFC 9110, 15.2) and makes the kernel of one that
// has closed its socket reset the connection.
void CallerConnection::ProbeCaller() {
  if (!m_caller_probed && !m_http_10 &&
      m_response_state == ResponseState::kNone) {
    m_caller_probed = true;
    m_stream->Write(kContinueResponse);
  }
}

void CallerConnection::Linger() {
  m_lingering = true;
  m_pipelined_bytes.clear();
  m_last_progress = now();
  m_stream->FinishWriting();
  m_stream->SetReading(true);
}

void CallerConnection::Abort() {
  ResetConnection();
}

void CallerConnection::Close() {
  if (std::exchange(m_closed, true)) {
    return;
  }
  m_stream->Close();
  if (m_exchange != nullptr) {
    std::exchange(m_exchange, nullptr)->OnCallerDisconnected();
  }
  CancelPipelined();
  m_worker->Remove(this);
}

}  // namespace guavacross::callers
