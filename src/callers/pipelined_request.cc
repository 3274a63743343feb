#include "callers/pipelined_request.h"

#include <utility>

#include "forwarding/exchange.h"

namespace guavacross::callers {

forwarding::AnswerHooks PipelinedRequest::MakeHooks() {
  forwarding::AnswerHooks hooks;
  hooks.m_on_answer = [this](const forwarding::CompleteAnswer& answer) {
    m_exchange = nullptr;
    if (m_delivery) {
      m_delivery->m_on_answer(answer);
    } else {
      m_answer = answer;
    }
  };
  hooks.m_on_head = [this](const http::ResponseHead& head) {
    if (m_delivery) {
      m_delivery->m_on_head(head);
    } else {
      m_head = head;
    }
  };
  hooks.m_on_body = [this](std::string_view bytes) {
    if (m_delivery) {
      m_delivery->m_on_body(bytes);
    } else {
      m_body.append(bytes);
    }
  };
  hooks.m_on_end = [this] { OnEnd(End::kComplete); };
  hooks.m_on_abort = [this] { OnEnd(End::kAborted); };
  // Pipelined requests have no body.
  hooks.m_on_body_wanted = [] {};
  hooks.m_raw_stream = [this] {
    return m_delivery ? m_delivery->m_raw_stream() : nullptr;
  };
  hooks.m_unsent = [this] {
    return m_delivery ? m_delivery->m_unsent() : m_body.size();
  };
  return hooks;
}

void PipelinedRequest::Deliver(forwarding::AnswerHooks hooks) {
  m_delivery = std::move(hooks);
  if (m_answer) {
    m_delivery->m_on_answer(*m_answer);
    return;
  }
  if (!m_head) {
    return;
  }
  m_delivery->m_on_head(*m_head);
  if (!m_body.empty()) {
    m_delivery->m_on_body(std::exchange(m_body, {}));
  }
  if (m_end == End::kComplete) {
    m_delivery->m_on_end();
  } else if (m_delivery->m_unsent() == 0) {
    // Reading the answer may have been paused, and nothing is left to be sent
    // that would resume it.
    m_exchange->OnCallerDrained();
  }
}

void PipelinedRequest::Cancel() {
  if (m_exchange != nullptr) {
    std::exchange(m_exchange, nullptr)->OnCallerDisconnected();
  }
}

void PipelinedRequest::OnEnd(End end) {
  m_exchange = nullptr;
  if (!m_delivery) {
    m_end = end;
  } else if (end == End::kComplete) {
    m_delivery->m_on_end();
  } else {
    m_delivery->m_on_abort();
  }
}

}  // namespace guavacross::callers
