#ifndef GUAVACROSS_STANDIN_BACKEND_JOB_H_
#define GUAVACROSS_STANDIN_BACKEND_JOB_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "standin/backend_server.h"

/// Declarations shared by the source files of the backend server stand-in.
namespace guavacross::standin {

/// A request or probe that is queued, running or being answered.
struct BackendServer::Job {
  std::shared_ptr<Exchange> m_exchange;
  std::string m_identity;
  bool m_probe = false;
  bool m_cancelled = false;
  bool m_running = false;
  TimePoint m_arrived_at;
  // The answer body's size, the bytes sent so far, and the transfer rate in
  // bytes per second (0 means no limit).
  std::uint64_t m_body_bytes = 0;
  std::uint64_t m_sent_bytes = 0;
  std::uint64_t m_bytes_per_second = 0;
};

/// Parses an unsigned decimal integer; returns nothing unless all of `text` is
/// one.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

/// Returns a numeric query parameter of the request, or nothing if it is
/// missing or not a number.
std::optional<std::uint64_t> QueryNumber(const Exchange& exchange,
                                         std::string_view name);

/// Returns the identity under which runs are counted: the idempotency key if
/// there is one, otherwise the request id.
std::string RequestIdentity(const http::RequestHead& head);

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_BACKEND_JOB_H_
