// The part of `CallerConnection` that forwards pipelined requests before their
// turn.

#include <utility>

#include "callers/caller_connection.h"
#include "callers/caller_worker.h"

namespace guavacross::callers {

namespace {

// Requests of one worker that are forwarded before their turn: limits the
// answers that are kept, of `Exchange::kMaxBufferedBytes` each at most.
constexpr int kMaxPipelinedOfWorker = 128;

}  // namespace

bool CallerConnection::MayForwardPipelined() const {
  const CallerServerOptions& options = m_worker->m_options;
  const ServerState& state = *m_worker->m_state;
  const bool is_open = !m_closed && !m_lingering && !m_peer_half_closed &&
                       m_keep_alive && !m_http_10 && !state.m_leaving &&
                       !state.m_shutting_down;
  const bool is_behind_repeatable = m_kind == ConnectionKind::kCaller &&
                                    m_request_complete && m_repeatable &&
                                    m_exchange != nullptr;
  const bool has_room =
      static_cast<int>(m_pipelined.size()) + 1 < options.m_max_pipelined &&
      m_worker->m_pipelined_count < kMaxPipelinedOfWorker &&
      m_pipelined_bytes.size() <= options.m_limits.m_max_header_bytes;
  const bool last_keeps_alive =
      m_pipelined.empty() || m_pipelined.back()->keep_alive();
  return is_open && is_behind_repeatable && has_room && last_keeps_alive &&
         !m_pipeline_blocked;
}

void CallerConnection::ForwardPipelined() {
  while (!m_pipelined_bytes.empty() && MayForwardPipelined()) {
    std::optional<http::RequestHead> head;
    http::MessageReader::Hooks hooks;
    hooks.m_on_request = [&head](const http::RequestHead& each) {
      head = each;
    };
    http::MessageReader reader = http::MessageReader::ForRequest(
        {.m_max_header_bytes = m_worker->m_options.m_limits.m_max_header_bytes},
        std::move(hooks));
    const auto taken =
        util::Catch([&] { return reader.Feed(m_pipelined_bytes); });
    if (taken && !head.has_value()) {
      return;
    }
    // An invalid request, or one with a body, is processed in its turn.
    const bool is_whole = taken && reader.done() &&
                          head->m_framing == http::BodyFraming::kNone &&
                          head->m_version >= 11;
    if (!is_whole || !TryForwardPipelined(*head)) {
      m_pipeline_blocked = true;
      return;
    }
    m_pipelined_bytes.erase(0, *taken.m_value);
  }
}

bool CallerConnection::TryForwardPipelined(const http::RequestHead& head) {
  if (IsAnsweredLocally(head)) {
    return false;
  }
  auto request =
      util::Catch([&] { return ClassifyRequest(head, std::nullopt); });
  if (!request || !request.m_value->m_class->m_repeatable) {
    return false;
  }
  m_pipelined.push_back(std::make_unique<PipelinedRequest>(head));
  ++m_worker->m_pipelined_count;
  m_worker->m_metrics.CountPipelined(request.m_value->m_service->m_name);
  PipelinedRequest* const pipelined = m_pipelined.back().get();
  forwarding::Exchange* const exchange = m_worker->m_forwarder.Begin(
      std::move(*request.m_value), pipelined->MakeHooks());
  pipelined->SetExchange(exchange);
  m_worker->UpdateRequestCount();
  exchange->Start();
  return true;
}

void CallerConnection::DeliverPipelined() {
  if (m_delivered != nullptr) {
    // It may be the one whose answer has just ended.
    m_worker->m_sockets.DeleteLater(std::move(m_delivered));
  }
  m_delivered = std::move(m_pipelined.front());
  m_pipelined.pop_front();
  --m_worker->m_pipelined_count;
  m_keep_alive = m_delivered->keep_alive();
  m_head_request = m_delivered->is_head_request();
  m_has_body = false;
  m_repeatable = true;
  m_request_complete = true;
  m_exchange = m_delivered->exchange();
  m_processing = true;
  if (m_delivered->is_cut_short()) {
    SendError({.m_kind = ErrorKind::kBackendBadAnswer,
               .m_text = "the answer was cut short"},
              Outcome::kUnknown);
  } else {
    m_delivered->Deliver(MakeAnswerHooks());
  }
  m_processing = false;
  ForwardPipelined();
}

void CallerConnection::CancelPipelined() {
  m_worker->m_pipelined_count -= static_cast<int>(m_pipelined.size());
  for (std::unique_ptr<PipelinedRequest>& each :
       std::exchange(m_pipelined, {})) {
    each->Cancel();
    m_worker->m_sockets.DeleteLater(std::move(each));
  }
}

}  // namespace guavacross::callers
