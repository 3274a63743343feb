#include "forwarding/request_log.h"

#include <algorithm>
#include <utility>

#include "util/log.h"

namespace guavacross::forwarding {

namespace {

// Rate limit and burst of lines about problems: enough to log every failed
// request of a bad second at the current load, while bounding the cost of
// logging.
constexpr double kProblemLinesPerSecond = 100;
constexpr double kProblemLineBurst = 300;

// One in this many successful requests is logged.
constexpr std::uint64_t kSuccessesPerLine = 50;

}  // namespace

RequestLog::RequestLog(Clock clock, bool enabled)
    : m_clock(std::move(clock)),
      m_enabled(enabled),
      m_tokens(kProblemLineBurst),
      m_refilled_at(m_clock.m_now()) {}

void RequestLog::Refill() {
  const TimePoint now = m_clock.m_now();
  m_tokens =
      std::min(kProblemLineBurst, m_tokens + kProblemLinesPerSecond *
                                                 Seconds(now - m_refilled_at));
  m_refilled_at = now;
}

bool RequestLog::ShouldLogProblem() {
  if (!m_enabled) {
    return false;
  }
  Refill();
  if (m_tokens < 1) {
    ++m_suppressed_lines;
    return false;
  }
  m_tokens -= 1;
  if (m_suppressed_lines > 0) {
    util::LogWarning(
        "requests", "lines about requests were left out",
        {{"count", std::to_string(std::exchange(m_suppressed_lines, 0))}});
  }
  return true;
}

bool RequestLog::ShouldLogSuccess() {
  return m_enabled && m_successes++ % kSuccessesPerLine == 0;
}

void RequestLog::LogEvent(std::string_view event,
                          const std::string& id,
                          const Fields& fields) {
  Fields all = {{"request", id}};
  all.insert(all.end(), fields.begin(), fields.end());
  util::LogFields("requests", event, all);
}

}  // namespace guavacross::forwarding
