#ifndef GUAVACROSS_FORWARDING_REQUEST_LOG_H_
#define GUAVACROSS_FORWARDING_REQUEST_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "guavacross/time.h"

namespace guavacross::forwarding {

/// Logs requests in enough detail to diagnose them from the log alone.
///
/// Lines about failures and refusals are limited in rate; of the successful
/// requests, a sample is logged. Lines left out by the rate limit are counted,
/// and the count is logged before the next line that the limit allows. One per
/// worker; not thread safe.
class RequestLog {
 public:
  using Fields = std::vector<std::pair<std::string_view, std::string>>;

  /// With `enabled` false nothing is ever logged.
  RequestLog(Clock clock, bool enabled);

  /// Whether a line about a problem may be logged; counts it as left out if the
  /// rate limit forbids it.
  bool ShouldLogProblem();
  /// Whether the next successful request belongs to the logged sample.
  bool ShouldLogSuccess();

  /// Writes a line about the request `id`.
  static void LogEvent(std::string_view event,
                       const std::string& id,
                       const Fields& fields);

 private:
  void Refill();

  Clock m_clock;
  bool m_enabled;
  double m_tokens;
  TimePoint m_refilled_at;
  std::uint64_t m_successes = 0;
  std::uint64_t m_suppressed_lines = 0;
};

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_REQUEST_LOG_H_
