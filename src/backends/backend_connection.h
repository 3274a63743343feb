#ifndef GUAVACROSS_BACKENDS_BACKEND_CONNECTION_H_
#define GUAVACROSS_BACKENDS_BACKEND_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "backends/attempt.h"
#include "guavacross/time.h"
#include "http/message_reader.h"
#include "net/stream.h"

namespace guavacross::backends {

/// One connection to a backend server, carrying one request at a time.
///
/// It is reused only after a complete response with no bytes after it. Any
/// timeout, cancellation, surplus byte or framing error closes it. Owned by the
/// `BackendPool`. Not thread safe.
class BackendConnection {
 public:
  BackendConnection(BackendPool* pool, const Endpoint& address);
  ~BackendConnection();
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// Sends the request of `attempt`; the connection must be new or idle.
  void Begin(Attempt* attempt);

  /// Cancels the attempt and closes the connection.
  void Cancel();
  /// Cancels the attempt, but drains the response so that the connection can be
  /// reused.
  void Discard();

  /// Whether the connection is idle and has no pending input, so that it can
  /// carry another request.
  bool Usable() const;

  /// Whether it has carried a request with this id.
  bool HasCarried(std::uint64_t id_hash) const;

  void Write(std::string_view bytes) { m_stream->Write(bytes); }
  std::size_t unsent() const { return m_stream ? m_stream->unsent() : 0; }
  void SetReading(bool reading);

  const Endpoint& address() const { return m_address; }
  bool connected() const { return m_connected; }
  /// How long the backend server keeps the connection open without a request,
  /// less a safety margin; nothing if it sent no keep-alive timeout.
  std::optional<Duration> idle_limit() const { return m_idle_limit; }
  /// Whether no attempt is attached: the connection is idle, or drains the
  /// response to a discarded request.
  bool detached() const { return m_attempt == nullptr; }
  bool idle() const { return m_idle; }
  /// When the connection became idle or its request was discarded.
  TimePoint detached_since() const { return m_detached_since; }

 private:
  void Connect();
  void LimitUnacknowledgedTime();
  void StartReader();
  void OnConnected();
  void OnReadable();
  void OnClosed();
  // Splices body bytes to the caller's connection without copying. Returns
  // false if that isn't possible or not worthwhile.
  bool MoveBody();
  void OnBytes(std::string_view bytes);
  void OnEndOfStream();
  void OnHead(const http::ResponseHead& head);
  void OnBody(std::string_view bytes);
  void OnComplete(bool surplus);
  void Fail(AttemptEnd end, ErrorKind kind, std::string text);
  void FailReset(std::string text);
  // Closes the idle connections to this backend server if a request on this
  // connection, which worked before, got no response byte for
  // `kUnresponsiveAfter`: the others may have stopped responding with it.
  void CloseOthersIfUnresponsive();
  // Closes the connection and removes it from the pool.
  void Retire();

  BackendPool* m_pool;
  Endpoint m_address;
  std::unique_ptr<net::Stream> m_stream;
  std::unique_ptr<Timer> m_connect_timer;
  std::optional<http::MessageReader> m_reader;
  Attempt* m_attempt = nullptr;
  TimePoint m_begun_at;
  TimePoint m_detached_since;
  std::size_t m_discarded_bytes = 0;
  // Bytes left to receive of a body of known length.
  std::uint64_t m_body_bytes_left = 0;
  bool m_moving = false;
  std::optional<Duration> m_idle_limit;
  int m_request_count = 0;
  // Hashes of the ids of the last requests, the oldest first.
  std::vector<std::uint64_t> m_carried_ids;
  bool m_connected = false;
  bool m_idle = false;
  bool m_unacknowledged_limited = false;
  bool m_retired = false;
  bool m_head_request = false;
  bool m_request_complete = false;
  bool m_response_started = false;
  // Whether the message being read is skipped: an interim response, or one to
  // another request.
  bool m_skip_message = false;
  bool m_keep_alive = false;
};

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_BACKEND_CONNECTION_H_
