#ifndef GUAVACROSS_STANDIN_BACKEND_JOB_H_
#define GUAVACROSS_STANDIN_BACKEND_JOB_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "standin/backend_server.h"

/// What the parts of the backend server's stand-in share.
namespace guavacross::standin {

/// A request in the server.
struct BackendServer::Job {
  std::shared_ptr<Exchange> m_exchange;
  std::string m_identity;
  bool m_probe = false;
  bool m_left = false;
  bool m_running = false;
  TimePoint m_arrived_at;
  // The answer's body, and how much of it is sent.
  std::uint64_t m_total = 0;
  std::uint64_t m_sent = 0;
  std::uint64_t m_rate = 0;
};

/// Reads a whole decimal number, or nothing.
std::optional<std::uint64_t> ReadNumber(std::string_view text);

/// A number in the request's query, or nothing.
std::optional<std::uint64_t> QueryNumber(const Exchange& exchange,
                                         std::string_view name);

/// The identity by which runs are counted: the idempotency key, or else the
/// request id.
std::string IdentityOf(const http::RequestHead& head);

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_BACKEND_JOB_H_
