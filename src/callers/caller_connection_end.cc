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
constexpr Duration kFinishingIdleTime = std::chrono::seconds(1);

}  // namespace

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

// After a half-close the caller may still wait for the response or may have
// closed its socket; only sending something shows which. An interim response is
// ignored by a waiting caller (RFC 9110, 15.2) and makes the kernel of one that
// has closed its socket reset the connection.
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
