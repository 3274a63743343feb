#ifndef GUAVACROSS_BACKENDS_BACKEND_CONNECTION_H_
#define GUAVACROSS_BACKENDS_BACKEND_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "backends/attempt.h"
#include "guavacross/time.h"
#include "http/message_reader.h"
#include "net/stream.h"

namespace guavacross::backends {

/// One connection to a backend server, carrying one request at a time.
///
/// It is used again only after a complete answer with nothing after it. Any
/// timeout, cancel, surplus byte or framing error closes it. Owned by the
/// `BackendPool`. Not thread safe.
class BackendConnection {
 public:
  BackendConnection(BackendPool* pool, const Endpoint& address);
  ~BackendConnection();
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// Starts to carry `attempt`; the connection must be new or idle.
  void Begin(Attempt* attempt);

  /// The attempt is given up: closes the connection.
  void Cancel();
  /// The attempt is given up, but the connection is worth keeping.
  void Discard();

  /// Whether an idle connection may carry another request.
  bool Usable() const;

  void Write(std::string_view bytes) { m_stream->Write(bytes); }
  std::size_t unsent() const { return m_stream ? m_stream->unsent() : 0; }
  void SetReading(bool reading);

  const Endpoint& address() const { return m_address; }
  bool connected() const { return m_connected; }
  /// How long the backend server keeps the connection open without a request,
  /// with a margin; nothing if it hasn't told.
  std::optional<Duration> idle_limit() const { return m_idle_limit; }
  /// Without a request, or with one that was discarded.
  bool unattended() const { return m_attempt == nullptr; }
  bool idle() const { return m_idle; }
  /// When the connection became idle or its request was discarded.
  TimePoint unattended_since() const { return m_unattended_since; }

 private:
  void Connect();
  void LimitSilence();
  void StartReader();
  void OnConnected();
  void OnReadable();
  void OnClosed();
  // Moves body bytes straight to the caller's connection, if that is possible.
  bool MoveBody();
  void OnBytes(std::string_view bytes);
  void OnPeerEnd();
  void OnHead(const http::ResponseHead& head);
  void OnBody(std::string_view bytes);
  void OnComplete(bool surplus);
  void Fail(AttemptEnd end, ErrorKind kind, std::string text);
  void FailReset(std::string text);
  // Closes the other idle connections if a request got nothing for so long on
  // this one, which had worked, that they may have fallen silent with it.
  void DoubtOthersIfSilent();
  // Takes the connection out of the pool for good.
  void Retire();

  BackendPool* m_pool;
  Endpoint m_address;
  std::unique_ptr<net::Stream> m_stream;
  std::unique_ptr<Timer> m_connect_timer;
  std::optional<http::MessageReader> m_reader;
  Attempt* m_attempt = nullptr;
  TimePoint m_begun_at;
  TimePoint m_unattended_since;
  std::size_t m_discarded_bytes = 0;
  // Of a body of known length.
  std::uint64_t m_body_left = 0;
  bool m_moving = false;
  std::optional<Duration> m_idle_limit;
  int m_requests = 0;
  bool m_connected = false;
  bool m_idle = false;
  bool m_silence_limited = false;
  bool m_retired = false;
  bool m_head_request = false;
  bool m_request_complete = false;
  bool m_answer_started = false;
  // The message being read isn't the answer: interim, or to another request.
  bool m_passed_over = false;
  bool m_keep_alive = false;
};

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_BACKEND_CONNECTION_H_
