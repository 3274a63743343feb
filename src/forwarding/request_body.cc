#include "forwarding/request_body.h"

#include <utility>

#include "util/hash.h"

namespace guavacross::forwarding {

RequestBody::RequestBody(const http::RequestHead& head,
                         bool always_buffer,
                         std::int64_t max_bytes)
    : m_max_bytes(static_cast<std::uint64_t>(max_bytes)),
      m_always_buffer(always_buffer),
      m_complete(head.m_framing == http::BodyFraming::kNone) {}

bool RequestBody::Append(std::string_view bytes) {
  m_bytes.append(bytes);
  m_streamed = !m_always_buffer && m_bytes.size() > kMaxReplayableBytes;
  return Count(bytes);
}

bool RequestBody::Count(std::string_view bytes) {
  m_received += bytes.size();
  return m_received <= m_max_bytes;
}

std::string RequestBody::TakeForAttempt() {
  return m_streamed ? std::exchange(m_bytes, {}) : m_bytes;
}

std::uint64_t RequestBody::Fingerprint(const http::RequestHead& head) const {
  const std::size_t hashed =
      m_always_buffer ? m_bytes.size() : kMaxReplayableBytes;
  const std::uint64_t target =
      util::Hash(head.m_target, util::Hash(head.m_method));
  return util::Hash(std::string_view(m_bytes).substr(0, hashed), target);
}

}  // namespace guavacross::forwarding
