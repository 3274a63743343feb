#include "backends/attempt.h"

#include <utility>

#include "backends/backend_connection.h"
#include "backends/backend_pool.h"
#include "util/hash.h"

namespace guavacross::backends {

Attempt::Attempt(BackendPool* pool, AttemptRequest request, AttemptHooks hooks)
    : m_pool(pool),
      m_hooks(std::move(hooks)),
      m_pending_bytes(http::Serialize(request.m_head)),
      m_address(std::move(request.m_address)),
      m_id_hash(request.m_id.empty() ? 0 : util::Hash(request.m_id)),
      m_head_request(request.m_head.m_method == "HEAD"),
      m_chunked(request.m_head.m_framing == http::BodyFraming::kChunked),
      m_without_body(request.m_head.m_framing == http::BodyFraming::kNone),
      m_fresh_connection(request.m_fresh_connection) {
  m_pending_bytes += FrameBody(request.m_body);
  if (request.m_body_complete) {
    m_pending_bytes += m_chunked ? http::kLastChunk : "";
    m_request_complete = true;
  }
}

Attempt::~Attempt() {
  Cancel();
}

void Attempt::Cancel() {
  if (m_connection != nullptr) {
    std::exchange(m_connection, nullptr)->Cancel();
  } else if (std::exchange(m_waiting, false)) {
    m_pool->RemoveWaiting(this);
  }
}

std::string Attempt::FrameBody(std::string_view bytes) const {
  if (!m_chunked || bytes.empty()) {
    return std::string(bytes);
  }
  std::string framed = http::ChunkHeader(bytes.size());
  framed.append(bytes).append(http::kChunkEnd);
  return framed;
}

void Attempt::SendBody(std::string_view bytes) {
  if (m_connection == nullptr) {
    m_pending_bytes += FrameBody(bytes);
  } else if (m_chunked) {
    m_connection->Write(FrameBody(bytes));
  } else {
    m_connection->Write(bytes);
  }
}

void Attempt::EndBody() {
  m_request_complete = true;
  const std::string_view end = m_chunked ? http::kLastChunk : "";
  if (m_connection == nullptr) {
    m_pending_bytes += end;
  } else {
    m_connection->Write(end);
  }
}

std::size_t Attempt::unsent() const {
  return m_connection == nullptr ? m_pending_bytes.size()
                                 : m_connection->unsent();
}

void Attempt::SetReading(bool reading) {
  m_reading = reading;
  if (m_connection != nullptr) {
    m_connection->SetReading(reading);
  }
}

bool Attempt::bytes_sent() const {
  return m_connection != nullptr && m_connection->connected();
}

void Attempt::Discard() {
  if (m_connection != nullptr) {
    std::exchange(m_connection, nullptr)->Discard();
  } else {
    Cancel();
  }
}

}  // namespace guavacross::backends
