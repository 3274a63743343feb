#ifndef GUAVACROSS_FORWARDING_REQUEST_BODY_H_
#define GUAVACROSS_FORWARDING_REQUEST_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.h"

namespace guavacross::forwarding {

/// What has been received of a request's body.
///
/// A small body is kept whole and can be sent again. A larger one is streamed:
/// its start is kept until the first attempt takes it, and it can't be sent
/// again. A non-repeatable request's body is always kept whole.
class RequestBody {
 public:
  /// The largest body that is kept for another attempt.
  static constexpr std::size_t kMaxReplayableBytes = std::size_t{64} << 10;

  RequestBody(const http::RequestHead& head,
              bool keep_whole,
              std::int64_t max_bytes);

  /// Adds received bytes; false if the body is larger than allowed.
  [[nodiscard]] bool Append(std::string_view bytes);
  /// Counts received bytes that are passed on instead of being kept.
  [[nodiscard]] bool Count(std::string_view bytes);
  void SetComplete() { m_complete = true; }

  std::size_t size() const { return m_bytes.size(); }
  bool complete() const { return m_complete; }
  /// Whether the body is too large to be kept.
  bool streamed() const { return m_streamed; }
  /// Whether an attempt can start.
  bool ready() const { return m_complete || m_streamed; }
  /// Whether another attempt can be sent.
  bool replayable() const { return m_complete && !m_streamed; }

  /// The bytes for an attempt; a streamed body's are given away.
  std::string TakeForAttempt();

  /// Hash of method, target and body; of a streamed body its start. Call when
  /// ready.
  std::uint64_t Fingerprint(const http::RequestHead& head) const;

 private:
  std::string m_bytes;
  std::uint64_t m_max_bytes;
  std::uint64_t m_received = 0;
  bool m_keep_whole;
  bool m_complete;
  bool m_streamed = false;
};

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_REQUEST_BODY_H_
