#ifndef GUAVACROSS_BACKENDS_ATTEMPT_H_
#define GUAVACROSS_BACKENDS_ATTEMPT_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "guavacross/routing.h"
#include "http/message.h"
#include "net/stream.h"

namespace guavacross::backends {

class BackendConnection;
class BackendPool;

/// Why an attempt got no complete answer.
struct AttemptFailure {
  AttemptEnd m_end = AttemptEnd::kReset;
  ErrorKind m_kind = ErrorKind::kBackendReset;
  std::string m_text;
  /// Whether any byte of the request may have left.
  bool m_bytes_sent = false;
  /// Whether a reused connection was closed before any byte of the answer, as
  /// happens when the backend server closes it for being idle.
  bool m_stale_connection = false;
  /// Whether any byte of an answer came.
  bool m_answer_begun = false;

  bool operator==(const AttemptFailure&) const = default;
};

/// What an attempt tells. `m_on_end` or `m_on_failure` is called last, once.
/// A hook must not destroy the attempt: hand it to `SocketSet::DeleteLater`.
struct AttemptHooks {
  /// Whether an answer is to this request; others are passed over. May be
  /// empty.
  std::function<bool(const http::ResponseHead&)> m_is_answer;
  std::function<void(const http::ResponseHead&)> m_on_head;
  std::function<void(std::string_view)> m_on_body;
  std::function<void()> m_on_end;
  std::function<void(const AttemptFailure&)> m_on_failure;
  /// Where the body's bytes may be moved to directly, or null. Bytes that have
  /// been moved are told by `m_on_moved` instead of `m_on_body`.
  std::function<net::Stream*()> m_move_to;
  std::function<void()> m_on_moved;
  /// What was buffered of the request's body has been sent.
  std::function<void()> m_on_drained;
};

/// What an attempt sends.
struct AttemptRequest {
  Endpoint m_address;
  http::RequestHead m_head;
  /// The body, or what there is of it so far.
  std::string m_body;
  bool m_body_complete = true;
  /// Use only a connection that is new or was in use just now, since the
  /// request can't be sent again if the connection turns out to be closed.
  bool m_fresh_connection = false;
};

/// One request sent once to one backend server. Made by `BackendPool::Start`.
/// Destroying it before its end closes its connection, which tells the backend
/// server that the request is cancelled. Not thread safe.
class Attempt {
 public:
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  /// Sends more of a body that was not complete at the start.
  void SendBody(std::string_view bytes);
  void EndBody();

  /// Bytes of the request that are buffered on this side.
  std::size_t unsent() const;

  /// Pauses and resumes reading the answer.
  void SetReading(bool reading);

  /// Whether any byte of the request may have left.
  bool bytes_sent() const;

  /// Ends the attempt by closing its connection, as destruction does. No hook
  /// is called afterwards.
  void Cancel();

  /// Ends the attempt like `Cancel`, but reads a short rest of the answer so
  /// that the connection can be used again. No hook is called afterwards.
  void Discard();

 private:
  friend class BackendConnection;
  friend class BackendPool;
  Attempt(BackendPool* pool, AttemptRequest request, AttemptHooks hooks);

  std::string FrameBody(std::string_view bytes) const;

  BackendPool* m_pool;
  BackendConnection* m_connection = nullptr;
  AttemptHooks m_hooks;
  // What is sent once there is a connection.
  std::string m_unsent_text;
  Endpoint m_address;
  bool m_head_request;
  bool m_chunked;
  bool m_without_body;
  bool m_request_complete = false;
  bool m_fresh_connection;
  bool m_reading = true;
  // In the pool's queue for a connection.
  bool m_waiting = false;
};

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_ATTEMPT_H_
