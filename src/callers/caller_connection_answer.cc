// The part of `CallerConnection` that writes responses.

#include <utility>

#include "callers/caller_connection.h"
#include "callers/caller_worker.h"

namespace guavacross::callers {

forwarding::AnswerHooks CallerConnection::MakeAnswerHooks() {
  forwarding::AnswerHooks hooks;
  hooks.m_on_answer = [this](const forwarding::CompleteAnswer& answer) {
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
    ResetConnection();
  };
  hooks.m_on_body_wanted = [this] { m_stream->SetReading(true); };
  hooks.m_raw_stream = [this] {
    const bool raw = m_response_framing == http::BodyFraming::kLength &&
                     !m_head_request && !m_closed;
    return raw ? m_stream.get() : nullptr;
  };
  hooks.m_unsent = [this] { return m_stream->unsent(); };
  return hooks;
}

bool CallerConnection::HasMoreInput() const {
  return !m_pipelined.empty() || !m_pipelined_bytes.empty() ||
         m_has_unparsed_input || m_has_unread_input;
}

void CallerConnection::SendWhole(const forwarding::CompleteAnswer& answer) {
  if (m_parsing) {
    m_answered_early = true;
    m_answer_after_parsing = answer;
    return;
  }
  SendHead(answer.m_head);
  SendBody(answer.m_body);
  SendEnd();
}

void CallerConnection::SendError(const Error& error, Outcome outcome) {
  SendWhole(OwnAnswer(error, outcome));
}

forwarding::CompleteAnswer CallerConnection::OwnAnswer(const Error& error,
                                                       Outcome outcome) {
  m_worker->m_metrics.CountOwnAnswer(error.m_kind);
  return m_worker->m_hooks->m_caller_dialect->m_error_answer(error, outcome);
}

void CallerConnection::SendHead(http::ResponseHead head) {
  m_response_state = ResponseState::kStarted;
  // An answer that is decided before the body is read ends the connection,
  // unless more requests have been received by the time that it is sent.
  const bool body_unread =
      m_has_body &&
      (!m_request_complete || (m_answered_early && !HasMoreInput()));
  const ServerState& state = *m_worker->m_state;
  const bool leaving =
      state.m_shutting_down ||
      (state.m_leaving && m_worker->m_options.m_close_while_leaving);
  // Pipelined requests that have been received are still answered.
  if (m_http_10 || body_unread || (leaving && !HasMoreInput())) {
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
  m_response_framing = head.m_framing;
  m_stream->Write(http::Serialize(head));
}

void CallerConnection::SendBody(std::string_view bytes) {
  if (m_head_request || bytes.empty()) {
    return;
  }
  if (m_response_framing != http::BodyFraming::kChunked) {
    m_stream->Write(bytes);
    return;
  }
  m_stream->Write(http::ChunkHeader(bytes.size()));
  m_stream->Write(bytes);
  m_stream->Write(http::kChunkEnd);
}

void CallerConnection::SendEnd() {
  if (m_response_framing == http::BodyFraming::kChunked && !m_head_request) {
    m_stream->Write(http::kLastChunk);
  }
  m_response_state = ResponseState::kDone;
  if (!m_processing) {
    ProcessPipelined();
  }
}

// Resets the connection, so that the caller can't mistake a truncated response
// for a complete one.
void CallerConnection::ResetConnection() {
  m_stream->Abort();
  Close();
}

}  // namespace guavacross::callers
