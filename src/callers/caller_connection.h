#ifndef GUAVACROSS_CALLERS_CALLER_CONNECTION_H_
#define GUAVACROSS_CALLERS_CALLER_CONNECTION_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "callers/pipelined_request.h"
#include "forwarding/exchange.h"
#include "forwarding/own_answer.h"
#include "guavacross/time.h"
#include "http/message_reader.h"
#include "net/stream.h"

namespace guavacross::callers {

class CallerWorker;

/// Who connects to the address on which a connection was accepted.
enum class ConnectionKind {
  /// Callers, whose requests are forwarded.
  kCaller,
  /// Callers of the local addresses, whose requests are never forwarded.
  kLocal,
  /// Other instances, which pass on requests of their callers.
  kPeer,
};

/// One caller's connection: reads a request, forwards it, writes its response,
/// and then processes the next request.
///
/// Behind a repeatable request, further repeatable requests without a body are
/// forwarded before it is answered (RFC 9112, 9.3.2), up to
/// `CallerServerOptions::m_max_pipelined` in all; responses are written in the
/// order of the requests. Bytes of other pipelined requests stay in the kernel,
/// except for those that have been read already. A caller that half-closes the
/// connection after a request still gets the response; a full close or a reset
/// cancels the request. Owned by the `CallerWorker`.
class CallerConnection {
 public:
  CallerConnection(CallerWorker* worker, int descriptor, ConnectionKind kind);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Starts reading requests.
  void Start();
  /// Sends an error response and closes the connection.
  void Refuse(const Error& error);

  /// Enforces the time limits. Call a few times a second.
  void Sweep(TimePoint now);

  /// Resets the connection at once, truncating the response.
  void Abort();

 private:
  static constexpr char kContinueResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

  enum class ResponseState { kNone, kStarted, kDone };

  void OnReadable();
  void OnPeerHalfClosed();
  void OnDrained();
  void OnEndOfStream();

  // Request handling.
  void Process(std::string_view bytes);
  std::string_view Feed(std::string_view bytes);
  void StartReader();
  void OnRequest(const http::RequestHead& head);
  bool AnswerLocally(const http::RequestHead& head);
  bool AnswerByHook(const http::RequestHead& head);
  // Whether this instance answers a request itself.
  bool IsAnsweredLocally(const http::RequestHead& head) const;
  void Forward(const http::RequestHead& head);
  Result<forwarding::ForwardRequest> ClassifyRequest(
      const http::RequestHead& head,
      const std::optional<forwarding::RelayMark>& relay) const;
  std::optional<forwarding::RelayMark> ReadRelayMark(
      const http::RequestHead& head) const;
  void SendRefusal(const http::RequestHead& head,
                   const Error& error,
                   Outcome outcome);
  void LogRefusal(const http::RequestHead& head, const Error& error);
  void OnBody(std::string_view bytes);
  void OnReadError(const Error& error);
  bool PrepareNextRequest();
  void ProcessPipelined();
  forwarding::AnswerHooks MakeAnswerHooks();

  // Pipelined requests (caller_connection_pipeline.cc).
  // Whether requests behind the current one may be forwarded now.
  bool MayForwardPipelined() const;
  // Forwards the pipelined requests that have arrived, as far as allowed.
  void ForwardPipelined();
  bool TryForwardPipelined(const http::RequestHead& head);
  // Makes the first of the pipelined requests that have been forwarded the
  // current request.
  void DeliverPipelined();
  void CancelPipelined();

  // Response handling.
  // Whether anything has been received after the current request.
  bool HasMoreInput() const;
  // While bytes are being parsed, the answer is sent afterwards: only then is
  // it known what follows the request.
  void SendWhole(const forwarding::CompleteAnswer& answer);
  void SendHead(http::ResponseHead head);
  void SendBody(std::string_view bytes);
  void SendEnd();
  void SendError(const Error& error, Outcome outcome);
  // Makes and counts the answer to an error.
  forwarding::CompleteAnswer OwnAnswer(const Error& error, Outcome outcome);
  void ResetConnection();
  void OnAnswerDone();

  // Time limits and closing.
  void SweepRequest(TimePoint now);
  void SweepLingering(TimePoint now);
  bool IsWriteStalled(TimePoint now);
  void ProbeCaller();
  void Linger();
  void Close();

  TimePoint now() const;

  CallerWorker* m_worker;
  ConnectionKind m_kind;
  std::unique_ptr<net::Stream> m_stream;
  std::optional<http::MessageReader> m_reader;
  forwarding::Exchange* m_exchange = nullptr;
  // Bytes after the current request and those of `m_pipelined` that have been
  // read.
  std::string m_pipelined_bytes;
  // The current request, if it was forwarded before its turn.
  std::unique_ptr<PipelinedRequest> m_delivered;
  // Bytes of the caller, or its close, wait in the kernel.
  bool m_has_unread_input = false;
  // Bytes after the current request wait in the buffer that is being processed.
  bool m_has_unparsed_input = false;
  // Set while `m_reader` parses bytes.
  bool m_parsing = false;
  std::optional<forwarding::CompleteAnswer> m_answer_after_parsing;
  // Requests that have been forwarded behind the current one.
  std::deque<std::unique_ptr<PipelinedRequest>> m_pipelined;
  // The next request has to wait for its turn.
  bool m_pipeline_blocked = false;
  // Set while `m_reader` is being fed, when it must not be replaced.
  bool m_processing = false;

  // State of the current request.
  ResponseState m_response_state = ResponseState::kNone;
  bool m_request_complete = false;
  bool m_has_body = false;
  bool m_keep_alive = true;
  bool m_http_10 = false;
  bool m_head_request = false;
  bool m_repeatable = false;
  bool m_caller_probed = false;
  // Answered before its body was read.
  bool m_answered_early = false;
  http::BodyFraming m_response_framing = http::BodyFraming::kNone;

  bool m_peer_half_closed = false;
  bool m_lingering = false;
  bool m_closed = false;
  // When the current phase (idle, head, body) began or last made progress.
  TimePoint m_last_progress;
  TimePoint m_head_started;
  std::uint64_t m_last_bytes_sent = 0;
  TimePoint m_last_write_progress;
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_CALLER_CONNECTION_H_
