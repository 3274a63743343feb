#ifndef GUAVACROSS_CALLERS_CALLER_CONNECTION_H_
#define GUAVACROSS_CALLERS_CALLER_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "forwarding/exchange.h"
#include "forwarding/own_answer.h"
#include "guavacross/time.h"
#include "http/message_reader.h"
#include "net/stream.h"

namespace guavacross::callers {

class CallerWorker;

/// One caller's connection: reads a request, hands it on, writes its answer,
/// and only then looks at the next request.
///
/// Bytes of further requests stay unread, but for what came in the same read. A
/// caller that closes its direction after a request still gets the answer; one
/// that has left altogether ends the request. Owned by the `CallerWorker`.
class CallerConnection {
 public:
  CallerConnection(CallerWorker* worker, int descriptor, bool local_only);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Begins to read requests.
  void Start();
  /// Answers with an error and closes.
  void Refuse(const Error& error);

  /// Ends what has taken too long. Call a few times a second.
  void Sweep(TimePoint now);

  /// Closes at once, cutting off the answer.
  void Abort();

 private:
  static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

  enum class Answer { kNone, kStarted, kDone };

  void OnReadable();
  void OnPeerFinished();
  void OnDrained();
  void OnPeerEnd();

  // The request.
  void Process(std::string_view bytes);
  std::string_view Feed(std::string_view bytes);
  void StartReader();
  void OnRequest(const http::RequestHead& head);
  bool AnswerLocally(const http::RequestHead& head);
  bool AnswerByHook(const http::RequestHead& head);
  void Forward(const http::RequestHead& head);
  void TellOfRefusal(const http::RequestHead& head, const Error& error);
  void OnBody(std::string_view bytes);
  void OnReadError(const Error& error);
  bool PrepareNext();
  void Continue();
  forwarding::AnswerHooks MakeAnswerHooks();

  // The answer.
  void SendWhole(const forwarding::WholeAnswer& answer);
  void SendHead(http::ResponseHead head);
  void SendBody(std::string_view bytes);
  void SendEnd();
  void SendError(const Error& error, Outcome outcome);
  void CutShort();
  void OnAnswerDone();

  // The end.
  void SweepRequest(TimePoint now);
  void SweepLingering(TimePoint now);
  bool Stalled(TimePoint now);
  void ProbeCaller();
  void Linger();
  void Close();

  TimePoint now() const;

  CallerWorker* m_worker;
  // Nothing is forwarded.
  bool m_local_only;
  std::unique_ptr<net::Stream> m_stream;
  std::optional<http::MessageReader> m_reader;
  forwarding::Exchange* m_exchange = nullptr;
  // Bytes of the next request that came with the last.
  std::string m_held;
  // Set while bytes are given to the reader, which must not be replaced then.
  bool m_processing = false;

  // The request at hand.
  Answer m_answer = Answer::kNone;
  bool m_request_complete = false;
  bool m_has_body = false;
  bool m_keep_alive = true;
  bool m_http_10 = false;
  bool m_head_request = false;
  bool m_probed = false;
  http::BodyFraming m_answer_framing = http::BodyFraming::kNone;

  bool m_peer_finished = false;
  bool m_lingering = false;
  bool m_closed = false;
  // When the current phase (idle, head, body) began or last made progress.
  TimePoint m_last_progress;
  TimePoint m_head_started;
  std::uint64_t m_bytes_sent_seen = 0;
  TimePoint m_last_sent;
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_CALLER_CONNECTION_H_
