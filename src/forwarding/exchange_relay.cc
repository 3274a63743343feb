// Attempts that are made through a peer, because this instance has no path to
// the targets.

#include <algorithm>
#include <utility>

#include "forwarding/exchange.h"

namespace guavacross::forwarding {

namespace {

// Peers that are asked for one request. A peer that refuses does so at once.
constexpr std::size_t kMaxPeers = 3;

AttemptEnd EndOf(const RelayRefusal& refusal) {
  if (refusal.m_outcome != Outcome::kNotRun) {
    return AttemptEnd::kServerError;
  }
  return IsPeerUnfit(refusal.m_error.m_kind) ? AttemptEnd::kPeerRefused
                                             : AttemptEnd::kRefusedNotRun;
}

}  // namespace

std::string Exchange::RelayMarkToSend() const {
  const RelayIdentity& identity = *context().m_relay_identity;
  return FormatRelayMark(
      {.m_cluster = identity.m_cluster,
       .m_from = identity.m_name,
       .m_attempts = AttemptsMade(),
       .m_caller_timeout = m_request.m_caller_timeout,
       .m_config_version = identity.m_config_version(),
       .m_service_hash = ServiceHash(m_request.m_service->m_name)});
}

// Attempts that may have reached a target. A peer through which the request is
// being sent makes at least one.
int Exchange::AttemptsMade() const {
  return static_cast<int>(m_targets_tried.size()) + m_peer_attempts;
}

void Exchange::OnPeerHead(ActiveAttempt* attempt,
                          const http::ResponseHead& head) {
  const std::optional<RelayRefusal> refusal = ReadRelayRefusal(head);
  if (refusal.has_value()) {
    OnPeerRefused(attempt, *refusal);
  } else if (!context().m_target_dialect->m_is_from_backend(head)) {
    OnBadAnswer(attempt);
  } else {
    AcceptAnswer(attempt, head);
  }
}

void Exchange::OnPeerRefused(ActiveAttempt* attempt,
                             const RelayRefusal& refusal) {
  const bool not_run = refusal.m_outcome == Outcome::kNotRun;
  m_worst_outcome = std::max(m_worst_outcome, refusal.m_outcome);
  m_peer_attempts += refusal.m_attempts;
  EndAttempt(attempt, EndOf(refusal));
  if (!m_active_attempts.empty() || m_acquiring) {
    m_last_error = refusal.m_error;
  } else if (not_run && refusal.m_attempts == 0) {
    TryOtherPeerOrFail(refusal.m_error);
  } else {
    // The peer has retried as far as the budget allows.
    FailRequest(refusal.m_error);
  }
}

void Exchange::OnPeerFailure(ActiveAttempt* attempt,
                             const backends::AttemptFailure& failure) {
  const bool answer_started = attempt == m_winner;
  EndAttempt(attempt, failure.m_end);
  const Error error{.m_kind = failure.m_kind, .m_text = failure.m_text};
  if (answer_started) {
    m_worst_outcome = Outcome::kUnknown;
    AbortAnswer();
  } else if (failure.m_bytes_sent) {
    // The peer may have sent the request to a target.
    m_worst_outcome = Outcome::kUnknown;
    ++m_peer_attempts;
    RetryOrFail(error);
  } else if (!m_active_attempts.empty() || m_acquiring) {
    m_last_error = error;
  } else {
    TryOtherPeerOrFail(error);
  }
}

// Sends a request that no target has got to another peer. It isn't a retry:
// nothing has been charged to the budget for it.
void Exchange::TryOtherPeerOrFail(const Error& error) {
  m_last_error = error;
  const bool may_resend =
      m_caller_waiting && m_body.replayable() &&
      (repeatable() || m_worst_outcome == Outcome::kNotRun) &&
      now() < m_request.m_deadline && m_peers_tried.size() < kMaxPeers;
  if (may_resend) {
    Acquire();
  } else {
    FailRequest(error);
  }
}

}  // namespace guavacross::forwarding
