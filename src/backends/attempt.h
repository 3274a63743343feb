#ifndef GUAVACROSS_BACKENDS_ATTEMPT_H_
#define GUAVACROSS_BACKENDS_ATTEMPT_H_

#include <cstddef>
#include <cstdint>
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

/// Why an attempt did not receive a complete response.
struct AttemptFailure {
  AttemptEnd m_end = AttemptEnd::kReset;
  ErrorKind m_kind = ErrorKind::kBackendReset;
  std::string m_text;
  /// Whether any byte of the request may have been sent.
  bool m_bytes_sent = false;
  /// Whether a reused connection was closed before the first response byte, as
  /// happens when the backend server closes idle connections.
  bool m_stale_connection = false;
  /// Whether any byte of a response was received.
  bool m_answer_begun = false;

  bool operator==(const AttemptFailure&) const = default;
};

/// Callbacks of an attempt. Exactly one of `m_on_end` and `m_on_failure` is
/// called, once, as the last one. A hook must not destroy the attempt: pass it
/// to `SocketSet::DeleteLater`.
struct AttemptHooks {
  /// Returns whether a response belongs to this request; responses to other
  /// requests are skipped. May be empty.
  std::function<bool(const http::ResponseHead&)> m_is_answer;
  std::function<void(const http::ResponseHead&)> m_on_head;
  std::function<void(std::string_view)> m_on_body;
  std::function<void()> m_on_end;
  std::function<void(const AttemptFailure&)> m_on_failure;
  /// Returns the stream to which body bytes may be spliced without copying, or
  /// null. Spliced bytes are reported by `m_on_moved` instead of `m_on_body`.
  std::function<net::Stream*()> m_move_to;
  std::function<void()> m_on_moved;
  /// The buffered part of the request's body has been sent.
  std::function<void()> m_on_drained;
};

/// The request that an attempt sends.
struct AttemptRequest {
  Endpoint m_address;
  http::RequestHead m_head;
  /// The body, or the part of it received so far.
  std::string m_body;
  bool m_body_complete = true;
  /// Use only a new or recently used connection, because the request can't be
  /// sent again if the connection turns out to be closed.
  bool m_fresh_connection = false;
  /// Identifies the request in responses; empty if it has no id. It isn't sent
  /// on a connection that has carried the same id: a second copy of the earlier
  /// response couldn't be told from its own.
  std::string m_id;
};

/// One request sent once to one backend server. Created by
/// `BackendPool::Start`. Destroying it before its end closes its connection, by
/// which the backend server sees that the request is cancelled. Not thread
/// safe.
class Attempt {
 public:
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  /// Sends more of a body that was incomplete in the `AttemptRequest`.
  void SendBody(std::string_view bytes);
  void EndBody();

  /// Bytes of the request that are buffered and not sent yet.
  std::size_t unsent() const;

  /// Pauses or resumes reading the response.
  void SetReading(bool reading);

  /// Whether any byte of the request may have been sent.
  bool bytes_sent() const;

  /// Ends the attempt by closing its connection, as destruction does. No hook
  /// is called afterwards.
  void Cancel();

  /// Ends the attempt like `Cancel`, but reads and drops a short remainder of
  /// the response so that the connection can be reused. No hook is called
  /// afterwards.
  void Discard();

 private:
  friend class BackendConnection;
  friend class BackendPool;
  Attempt(BackendPool* pool, AttemptRequest request, AttemptHooks hooks);

  std::string FrameBody(std::string_view bytes) const;

  BackendPool* m_pool;
  BackendConnection* m_connection = nullptr;
  AttemptHooks m_hooks;
  // Serialized request bytes, sent once a connection is assigned.
  std::string m_pending_bytes;
  Endpoint m_address;
  // Hash of the request's id; 0 if it has none.
  std::uint64_t m_id_hash;
  bool m_head_request;
  bool m_chunked;
  bool m_without_body;
  bool m_request_complete = false;
  bool m_fresh_connection;
  bool m_reading = true;
  // Whether the attempt is in the pool's queue for a connection.
  bool m_waiting = false;
};

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_ATTEMPT_H_
