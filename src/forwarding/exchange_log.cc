// Log lines about the attempts and the end of a request.

#include <cstdio>
#include <string>

#include "forwarding/exchange.h"

namespace guavacross::forwarding {

namespace {

constexpr int kFirstServerError = 500;

std::string FormatMilliseconds(Duration duration) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", Milliseconds(duration));
  return text;
}

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kServerError:
      return "server-error";
    case AttemptEnd::kRefusedNotRun:
      return "refused-not-run";
    case AttemptEnd::kWrongTarget:
      return "wrong-target";
    case AttemptEnd::kConnectFailed:
      return "connect-failed";
    case AttemptEnd::kReset:
      return "reset";
    case AttemptEnd::kBadAnswer:
      return "bad-answer";
    case AttemptEnd::kTimeout:
      return "timeout";
    case AttemptEnd::kPeerRefused:
      return "peer-refused";
    case AttemptEnd::kCancelled:
      break;
  }
  return "cancelled";
}

}  // namespace

std::string Exchange::RequestId() const {
  return std::string(
      m_request.m_head.m_fields.Find(RequestIdHeader()).value_or(""));
}

void Exchange::CountAndLogAttempt(const ActiveAttempt& ended, AttemptEnd end) {
  if (ended.m_grant.m_peer.empty()) {
    context().m_metrics->CountAttempt(
        ended.m_grant.m_service, ended.m_grant.m_zone, AttemptEndName(end));
  } else {
    context().m_metrics->CountRelay(ended.m_grant.m_service, "passed-on",
                                    AttemptEndName(end));
  }
  if (end == AttemptEnd::kAnswered || context().m_log == nullptr ||
      !context().m_log->ShouldLogProblem()) {
    return;
  }
  RequestLog::Fields fields = {
      {"end", std::string(AttemptEndName(end))},
      {"target", ended.m_grant.m_target},
      {"peer", ended.m_grant.m_peer},
      {"address", ToString(ended.m_grant.m_address)},
      {"service", ended.m_grant.m_service},
      {"status", std::to_string(ended.m_answer_status)},
      {"told_slowdown", ended.m_report.m_load.m_slowdown.has_value()
                            ? std::to_string(*ended.m_report.m_load.m_slowdown)
                            : "none"},
      {"asked_pause_ms", FormatMilliseconds(ended.m_report.m_load.m_pause)},
      {"sent_ms_ago", FormatMilliseconds(now() - ended.m_sent_at)},
      {"attempt", std::to_string(m_targets_tried.size())}};
  if (!ended.m_failure_text.empty()) {
    fields.emplace_back("why", ended.m_failure_text);
  }
  RequestLog::LogEvent("attempt ended", RequestId(), fields);
}

void Exchange::LogRequestEnd(int status, const std::string& reason) {
  RequestLog* const log = context().m_log;
  if (log == nullptr) {
    return;
  }
  const bool problem = status == 0 || status >= kFirstServerError ||
                       !reason.empty() || m_targets_tried.size() > 1 ||
                       !m_peers_tried.empty() || m_request.m_relay.has_value();
  if (!(problem ? log->ShouldLogProblem() : log->ShouldLogSuccess())) {
    return;
  }
  const bool has_deadline = m_request.m_deadline != TimePoint::max();
  RequestLog::Fields fields = {
      {"status", std::to_string(status)},
      {"route", m_request.m_class->m_name},
      {"service", m_request.m_service->m_name},
      {"attempts", std::to_string(m_targets_tried.size())},
      {"last_target", m_targets_tried.empty() ? "" : m_targets_tried.back()},
      {"waited_ms", FormatMilliseconds(m_target_wait)},
      {"total_ms", FormatMilliseconds(now() - m_request.m_arrived)},
      {"left_ms", has_deadline
                      ? FormatMilliseconds(m_request.m_deadline - now())
                      : std::string("unbounded")},
      {"caller", m_caller_waiting ? "present" : "gone"}};
  if (!m_peers_tried.empty()) {
    fields.emplace_back("passed_on_to", m_peers_tried.back());
  }
  if (m_request.m_relay.has_value()) {
    fields.emplace_back("passed_on_by", m_request.m_relay->m_from);
  }
  if (!reason.empty()) {
    fields.emplace_back("why", reason);
  }
  RequestLog::LogEvent("request ended", RequestId(), fields);
}

}  // namespace guavacross::forwarding
