#ifndef GUAVACROSS_CALLERS_PIPELINED_REQUEST_H_
#define GUAVACROSS_CALLERS_PIPELINED_REQUEST_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "forwarding/request_forwarder.h"
#include "http/message.h"

namespace guavacross::callers {

/// A pipelined request that is forwarded before the requests ahead of it on its
/// connection have been answered. Keeps its answer until it is due.
///
/// Create it, pass `MakeHooks` to `RequestForwarder::Begin` and the exchange to
/// `SetExchange`, and start the exchange. Once all requests ahead of it are
/// answered, call `Deliver`. It must outlive the exchange. Not thread safe.
class PipelinedRequest {
 public:
  /// `request` is the request's head.
  explicit PipelinedRequest(const http::RequestHead& request)
      : m_is_head_request(request.m_method == "HEAD"),
        m_keep_alive(request.m_keep_alive) {}
  PipelinedRequest(const PipelinedRequest&) = delete;
  PipelinedRequest& operator=(const PipelinedRequest&) = delete;

  /// Hooks that keep the answer, and after `Deliver` pass it on.
  forwarding::AnswerHooks MakeHooks();

  void SetExchange(forwarding::Exchange* exchange) { m_exchange = exchange; }
  /// Null once the answer is complete.
  forwarding::Exchange* exchange() const { return m_exchange; }

  /// Whether the answer was cut short before any of it was passed on, so that
  /// another answer can take its place.
  bool is_cut_short() const { return m_end == End::kAborted && !m_delivery; }

  /// Passes on the part of the answer that has arrived, and from now on the
  /// rest as it arrives. Call once, unless `is_cut_short`.
  void Deliver(forwarding::AnswerHooks hooks);

  /// Cancels the request because its caller has disconnected.
  void Cancel();

  bool is_head_request() const { return m_is_head_request; }
  bool keep_alive() const { return m_keep_alive; }

 private:
  // The end of an answer.
  enum class End { kNone, kComplete, kAborted };

  void OnEnd(End end);

  const bool m_is_head_request;
  const bool m_keep_alive;
  forwarding::Exchange* m_exchange = nullptr;
  std::optional<forwarding::AnswerHooks> m_delivery;
  // What has arrived before `Deliver`.
  std::optional<forwarding::CompleteAnswer> m_answer;
  std::optional<http::ResponseHead> m_head;
  std::string m_body;
  End m_end = End::kNone;
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_PIPELINED_REQUEST_H_
