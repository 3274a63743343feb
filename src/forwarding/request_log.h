#ifndef GUAVACROSS_FORWARDING_REQUEST_LOG_H_
#define GUAVACROSS_FORWARDING_REQUEST_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "guavacross/time.h"

namespace guavacross::forwarding {

/// The lines that tell a request's story to those who have only logs.
///
/// What failed or was refused is told up to a rate; of what went well, one
/// request in many. What is left out is counted and told in a line about once
/// a second. One per worker; not thread safe.
class RequestLog {
 public:
  using Fields = std::vector<std::pair<std::string_view, std::string>>;

  /// With `enabled` false nothing is ever told.
  RequestLog(Clock clock, bool enabled);

  /// Whether the next line about trouble may be told; counts it if not.
  bool TellsTrouble();
  /// Whether the story of the next request that went well is told.
  bool TellsSuccess();

  /// Writes a line about the request `id`.
  static void Tell(std::string_view event,
                   const std::string& id,
                   const Fields& fields);

 private:
  void Refill();

  Clock m_clock;
  bool m_enabled;
  double m_tokens;
  TimePoint m_refilled_at;
  std::uint64_t m_successes = 0;
  std::uint64_t m_left_out = 0;
};

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_REQUEST_LOG_H_
