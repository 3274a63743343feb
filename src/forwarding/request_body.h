#ifndef GUAVACROSS_FORWARDING_REQUEST_BODY_H_
#define GUAVACROSS_FORWARDING_REQUEST_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.h"

namespace guavacross::forwarding {

/// The part of a request's body that has been received.
///
/// A small body is buffered completely and can be sent again. A larger one is
/// streamed: its start is buffered until the first attempt takes it, and it
/// can't be sent again. The body of a request that claims a key in the ledger
/// is always buffered completely.
class RequestBody {
 public:
  /// Larger bodies are streamed, unless they must be buffered completely.
  static constexpr std::size_t kMaxReplayableBytes = std::size_t{64} << 10;

  RequestBody(const http::RequestHead& head,
              bool always_buffer,
              std::int64_t max_bytes);

  /// Buffers received bytes. Returns false if the body is larger than allowed.
  [[nodiscard]] bool Append(std::string_view bytes);
  /// Counts received bytes that are passed on without being buffered. Returns
  /// false if the body is larger than allowed.
  [[nodiscard]] bool Count(std::string_view bytes);
  void SetComplete() { m_complete = true; }

  std::size_t size() const { return m_bytes.size(); }
  bool complete() const { return m_complete; }
  /// Whether the body is too large to be buffered.
  bool streamed() const { return m_streamed; }
  /// Whether an attempt can start.
  bool ready() const { return m_complete || m_streamed; }
  /// Whether another attempt can be sent.
  bool replayable() const { return m_complete && !m_streamed; }

  /// Returns the buffered bytes for an attempt. Those of a streamed body are
  /// moved out of the buffer.
  std::string TakeForAttempt();

  /// Hash of the method, the request target and the body, or the start of a
  /// streamed body. Call when ready.
  std::uint64_t Fingerprint(const http::RequestHead& head) const;

 private:
  std::string m_bytes;
  std::uint64_t m_max_bytes;
  std::uint64_t m_received = 0;
  bool m_always_buffer;
  bool m_complete;
  bool m_streamed = false;
};

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_REQUEST_BODY_H_
