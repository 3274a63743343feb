// How an exchange handles answers and failures of its attempts, and how it
// ends.

#include <algorithm>
#include <utility>

#include "forwarding/exchange.h"
#include "forwarding/forwarded_head.h"

namespace guavacross::forwarding {

namespace {

// Largest answer body that is recorded in the ledger for replay.
constexpr std::size_t kMaxRecordedBytes = std::size_t{64} << 10;

// How long to wait for the answer of a request that no caller waits for any
// more, so that it can be recorded.
constexpr Duration kMaxDetachedTime = std::chrono::minutes(10);

// How long after the deadline the rest of an answer is waited for, while the
// caller has taken what came before it.
constexpr Duration kLateBodyTime = std::chrono::milliseconds(300);

// The longest time without a part of an answer that may go on after the
// deadline.
constexpr Duration kMaxPause = std::chrono::seconds(1);

// How long to wait, so that it can be recorded, for the rest of an answer that
// is overdue.
constexpr Duration kMaxOverdueRecordTime = std::chrono::seconds(10);

constexpr int kFirstServerError = 500;

// Server errors that another target may not return.
constexpr bool IsRetryableStatus(int status) {
  return status == 500 || status == 502 || status == 503 || status == 504;
}

}  // namespace

void Exchange::OnHead(ActiveAttempt* attempt, const http::ResponseHead& head) {
  attempt->m_answer_status = head.m_status;
  attempt->m_has_length = head.m_framing == http::BodyFraming::kLength;
  if (attempt->m_has_length) {
    attempt->m_report.m_answer_bytes = head.m_length;
  }
  attempt->m_report.m_latency = now() - attempt->m_sent_at;
  if (!attempt->m_grant.m_peer.empty()) {
    OnPeerHead(attempt, head);
    return;
  }
  const backends::TargetDialect& dialect = *context().m_target_dialect;
  attempt->m_report.m_load = dialect.m_read_load(head);
  const backends::Refusal refusal = dialect.m_read_refusal(head);
  if (refusal == backends::Refusal::kWrongTarget) {
    // What another backend server says of itself isn't the target's.
    attempt->m_report.m_load = {};
  }
  if (refusal != backends::Refusal::kNone) {
    OnRefused(attempt, refusal == backends::Refusal::kNotRun
                           ? AttemptEnd::kRefusedNotRun
                           : AttemptEnd::kWrongTarget);
  } else if (!dialect.m_is_from_backend(head)) {
    OnBadAnswer(attempt);
  } else if (ShouldRetryServerError(head)) {
    m_worst_outcome = std::max(m_worst_outcome, Outcome::kDone);
    EndAttempt(attempt, AttemptEnd::kServerError);
    Acquire();
  } else {
    AcceptAnswer(attempt, head);
  }
}

void Exchange::OnRefused(ActiveAttempt* attempt, AttemptEnd end) {
  EndAttempt(attempt, end);
  RetryOrFail({.m_kind = ErrorKind::kBackendRefused,
               .m_text = end == AttemptEnd::kWrongTarget
                             ? "another backend server has the address"
                             : "the backend server refused the request"});
}

// The data received can't be the backend server's complete answer; the request
// may have run.
void Exchange::OnBadAnswer(ActiveAttempt* attempt) {
  m_worst_outcome = std::max(m_worst_outcome, Outcome::kUnknown);
  const Error error{.m_kind = ErrorKind::kBackendBadAnswer,
                    .m_text = "the answer isn't the backend server's own"};
  attempt->m_report.m_answer_begun = true;
  attempt->m_failure_text = error.m_text;
  EndAttempt(attempt, AttemptEnd::kBadAnswer);
  RetryOrFail(error);
}

bool Exchange::ShouldRetryServerError(const http::ResponseHead& head) {
  return IsRetryableStatus(head.m_status) && repeatable() &&
         m_active_attempts.size() == 1 && !m_acquiring &&
         MayResend(AttemptEnd::kServerError);
}

void Exchange::AcceptAnswer(ActiveAttempt* winner,
                            const http::ResponseHead& head) {
  m_winner = winner;
  winner->m_progress_at = now();
  m_deadline_timer.reset();
  m_hedge_timer.reset();
  StopAcquiring();
  EndAttemptsExcept(winner, AttemptEnd::kCancelled);
  if (winner->m_grant.m_peer.empty()) {
    context().m_router->ReportLoad(winner->m_grant, winner->m_report.m_load,
                                   winner->m_report.m_latency);
  }
  http::ResponseHead to_caller =
      context().m_caller_dialect->m_answer_head(head);
  if (m_claimed) {
    m_record.m_status = head.m_status;
    m_record.m_headers = to_caller.m_fields.all();
  }
  if (m_request.m_relay.has_value()) {
    RemoveRelayRefusal(&to_caller);
  }
  if (m_caller_waiting) {
    m_hooks.m_on_head(to_caller);
  }
  LimitBodyTime(Duration::zero());
}

void Exchange::LimitBodyTime(Duration min_time) {
  if (m_ended || m_winner == nullptr) {
    return;
  }
  if (m_request.m_deadline == TimePoint::max()) {
    if (!m_caller_waiting) {
      m_deadline_timer = context().m_clock.m_call_after(kMaxDetachedTime,
                                                        [this] { Abandon(); });
    }
    return;
  }
  const Duration remaining =
      std::max(m_request.m_deadline + kLateBodyTime - now(), min_time);
  m_deadline_timer =
      context().m_clock.m_call_after(remaining, [this] { OnBodyOverdue(); });
}

void Exchange::OnBodyOverdue() {
  m_deadline_timer.reset();
  if (m_reading_paused && m_winner->m_has_length) {
    // The caller reads slowly, and the answer has an end. It is still
    // delivered; `OnCallerDrained` limits the time of the rest.
    return;
  }
  if (m_winner->m_has_length && !m_request.m_class->m_limit_whole_answer &&
      m_caller_waiting && now() - m_winner->m_progress_at < kMaxPause) {
    LimitBodyTime(kMaxPause);
    return;
  }
  m_winner->m_failure_text = "the rest of the answer came too late";
  if (!m_claimed || m_record_too_large) {
    EndAttempt(m_winner, EndOfOverdue(*m_winner));
    AbortAnswer();
    return;
  }
  // The answer is still worth recording for a later copy of the request.
  ReleaseAttempt(m_winner, EndOfOverdue(*m_winner));
  if (std::exchange(m_caller_waiting, false)) {
    Count(Outcome::kUnknown);
    LogRequestEnd(0, "the answer was cut short");
    m_hooks.m_on_abort();
  }
  m_deadline_timer = context().m_clock.m_call_after(kMaxOverdueRecordTime,
                                                    [this] { Abandon(); });
}

// A target that has been silent for most of the time has failed to answer; if
// bytes still arrive, the path may be slow or the caller's deadline too short.
AttemptEnd Exchange::EndOfOverdue(const ActiveAttempt& attempt) const {
  const Duration max_silence =
      std::max(m_request.m_class->m_deadline / 2, kLateBodyTime);
  return now() - attempt.m_progress_at >= max_silence ? AttemptEnd::kTimeout
                                                      : AttemptEnd::kCancelled;
}

void Exchange::OnAnswerBody(ActiveAttempt* attempt, std::string_view bytes) {
  if (attempt != m_winner) {
    return;
  }
  attempt->m_progress_at = now();
  if (m_claimed && !m_record_too_large) {
    m_record_too_large =
        m_record.m_body.size() + bytes.size() > kMaxRecordedBytes;
    m_record.m_body.append(m_record_too_large ? std::string_view() : bytes);
  }
  if (!m_caller_waiting) {
    return;
  }
  m_hooks.m_on_body(bytes);
  PauseIfBuffered(attempt, kMaxBufferedBytes);
}

void Exchange::PauseIfBuffered(ActiveAttempt* attempt, std::size_t limit) {
  if (m_caller_waiting && !m_reading_paused && m_hooks.m_unsent() > limit) {
    m_reading_paused = true;
    attempt->m_attempt->SetReading(false);
  }
}

void Exchange::OnCallerDrained() {
  if (std::exchange(m_reading_paused, false) && m_winner != nullptr) {
    m_winner->m_attempt->SetReading(true);
    if (m_winner->m_has_length && m_request.m_deadline <= now()) {
      LimitBodyTime(kLateBodyTime);
    }
  }
}

void Exchange::OnAnswerEnd(ActiveAttempt* attempt) {
  if (attempt != m_winner) {
    return;
  }
  const Duration backend_time = now() - attempt->m_sent_at;
  const bool server_error = attempt->m_answer_status >= kFirstServerError;
  EndAttempt(attempt,
             server_error ? AttemptEnd::kServerError : AttemptEnd::kAnswered);
  FinishClaim(Outcome::kDone);
  Count(Outcome::kDone);
  LogRequestEnd(attempt->m_answer_status, {});
  const Duration added = now() - m_request.m_arrived - backend_time;
  m_series->m_added_seconds->Observe(Seconds(added));
  if (m_caller_waiting) {
    m_hooks.m_on_end();
  }
  End();
}

void Exchange::OnFailure(ActiveAttempt* attempt,
                         const backends::AttemptFailure& failure) {
  const bool answer_started = attempt == m_winner;
  if (!answer_started && failure.m_stale_connection && !attempt->m_resent &&
      repeatable() && m_body.replayable()) {
    // The backend server closed an idle connection. The request isn't the cause
    // and no answer will come; it is sent again with the same grant.
    attempt->m_resent = true;
    m_worst_outcome = Outcome::kUnknown;
    context().m_set->DeleteLater(std::move(attempt->m_attempt));
    Send(attempt, /*fresh_connection=*/true);
    return;
  }
  attempt->m_failure_text = failure.m_text;
  if (!attempt->m_grant.m_peer.empty()) {
    OnPeerFailure(attempt, failure);
    return;
  }
  // A target that closed a reused connection and now accepts no new one was
  // lost with the request in flight: the connection wasn't closed for being
  // idle.
  const bool target_lost =
      attempt->m_resent && failure.m_end == AttemptEnd::kConnectFailed;
  attempt->m_report.m_answer_begun = failure.m_answer_begun;
  EndAttempt(attempt, target_lost ? AttemptEnd::kReset : failure.m_end);
  if (failure.m_bytes_sent) {
    m_worst_outcome = Outcome::kUnknown;
  }
  if (answer_started) {
    AbortAnswer();
    return;
  }
  RetryOrFail({.m_kind = failure.m_kind, .m_text = failure.m_text});
}

void Exchange::AbortAnswer() {
  FinishClaim(Outcome::kUnknown);
  Count(Outcome::kUnknown);
  LogRequestEnd(0, "the answer was cut short");
  if (m_caller_waiting) {
    m_hooks.m_on_abort();
  }
  End();
}

bool Exchange::MayResend(AttemptEnd last_end) const {
  const bool safe_to_resend =
      repeatable() || m_worst_outcome == Outcome::kNotRun;
  return m_caller_waiting && safe_to_resend && m_body.replayable() &&
         now() < m_request.m_deadline &&
         context().m_router->TryChargeRetry(*m_traits, AttemptsMade(),
                                            last_end);
}

void Exchange::RetryOrFail(Error error) {
  m_last_error = std::move(error);
  if (!m_active_attempts.empty() || m_acquiring) {
    return;
  }
  // Repeating a request that ran on no target is cheaper than repeating one
  // that may have run.
  const bool not_run = m_last_error->m_kind == ErrorKind::kConnectFailed ||
                       m_last_error->m_kind == ErrorKind::kBackendRefused;
  if (MayResend(not_run ? AttemptEnd::kRefusedNotRun : AttemptEnd::kReset)) {
    Acquire();
  } else {
    if (m_last_error->m_kind == ErrorKind::kBackendRefused) {
      m_last_error->m_retry_after =
          context().m_router->RetryAfterRefusal(m_traits->m_service);
    }
    FailRequest(*m_last_error);
  }
}

void Exchange::OnDeadline() {
  m_deadline_timer.reset();
  const bool sent = AnySent();
  const Error error{
      .m_kind = sent ? ErrorKind::kBackendTimeout : ErrorKind::kDeadlineExpired,
      .m_text = "the deadline passed before an answer came"};
  if (m_claimed && sent) {
    // The answer is still worth recording for a later copy of the request.
    AnswerError(error, Outcome::kUnknown);
    Detach();
    return;
  }
  if (m_claiming) {
    // An earlier copy of the request may have run.
    AnswerError(error, Outcome::kUnknown);
    m_caller_waiting = false;
    return;
  }
  if (sent) {
    m_worst_outcome = Outcome::kUnknown;
  }
  EndSlowAttempts();
  FailRequest(error);
}

// Ends attempts as timed out if they had at least half of the class's deadline.
// Shorter ones say nothing about their targets, since the caller may have set a
// deadline that no target can meet.
void Exchange::EndSlowAttempts() {
  const Duration min_elapsed = m_request.m_class->m_deadline / 2;
  std::vector<ActiveAttempt*> slow_attempts;
  for (const auto& each : m_active_attempts) {
    if (now() - each->m_sent_at >= min_elapsed) {
      slow_attempts.push_back(each.get());
    }
  }
  for (ActiveAttempt* const each : slow_attempts) {
    EndAttempt(each, AttemptEnd::kTimeout);
  }
}

void Exchange::OnCallerDisconnected() {
  m_caller_waiting = false;
  if (m_claiming) {
    return;
  }
  const bool sent = AnySent();
  if (!repeatable() && sent) {
    Detach();
    return;
  }
  FinishClaim(
      std::max(m_worst_outcome, sent ? Outcome::kUnknown : Outcome::kNotRun));
  Count(sent ? Outcome::kUnknown : m_worst_outcome);
  End();
}

void Exchange::Detach() {
  m_caller_waiting = false;
  StopAcquiring();
  m_reading_paused = false;
  for (const auto& each : m_active_attempts) {
    each->m_attempt->SetReading(true);
  }
  if (m_winner != nullptr) {
    LimitBodyTime(Duration::zero());
    return;
  }
  const Duration remaining =
      m_request.m_deadline == TimePoint::max()
          ? kMaxDetachedTime
          : std::max(m_request.m_deadline - now(), Duration::zero());
  m_deadline_timer = context().m_clock.m_call_after(
      remaining, [this] { OnDetachedDeadline(); });
}

// An answer that hasn't begun by the deadline may never come, for example if
// the backend server has lost the request. The exchange keeps waiting for it,
// but the attempt no longer occupies a slot of the target; if the backend
// server is still running the request, its load reports show that.
void Exchange::OnDetachedDeadline() {
  if (!m_claimed) {
    Abandon();
    return;
  }
  for (const auto& each : m_active_attempts) {
    ReleaseAttempt(each.get(), AttemptEnd::kTimeout);
  }
  m_deadline_timer =
      context().m_clock.m_call_after(kMaxDetachedTime, [this] { Abandon(); });
}

void Exchange::RefuseIfWaiting(TimePoint end, const Error& error) {
  if (m_active_attempts.empty() && m_request.m_deadline > end) {
    EndIfUnanswered(error);
  }
}

// Requests with claims end by the rules of the ledger.
void Exchange::EndIfUnanswered(const Error& error) {
  if (!m_caller_waiting || m_winner != nullptr || claims()) {
    return;
  }
  if (AnySent()) {
    m_worst_outcome = Outcome::kUnknown;
  }
  FailRequest(error);
}

void Exchange::Abandon() {
  m_caller_waiting = false;
  if (AnySent()) {
    m_worst_outcome = Outcome::kUnknown;
  }
  FinishClaim(m_worst_outcome);
  End();
}

void Exchange::FailRequest(const Error& error) {
  const Outcome outcome =
      std::max(m_worst_outcome, AnswerFor(error.m_kind).m_outcome);
  FinishClaim(outcome);
  if (outcome == Outcome::kNotRun && std::exchange(m_admitted, false)) {
    context().m_tenants.m_give_back(*m_request.m_verified_tenant);
  }
  if (m_caller_waiting) {
    AnswerError(error, outcome);
  }
  End();
}

void Exchange::AnswerError(const Error& error, Outcome outcome) {
  Count(outcome);
  context().m_metrics->CountOwnAnswer(error.m_kind);
  CompleteAnswer answer =
      context().m_caller_dialect->m_error_answer(error, outcome);
  if (m_request.m_relay.has_value()) {
    AddRelayRefusal(
        {.m_outcome = outcome, .m_error = error, .m_attempts = AttemptsMade()},
        RequestIdHeader(), m_request.m_head, &answer.m_head);
  }
  LogRequestEnd(answer.m_head.m_status, Describe(error));
  m_hooks.m_on_answer(answer);
}

void Exchange::FinishClaim(Outcome outcome) {
  if (!std::exchange(m_claimed, false)) {
    return;
  }
  ClaimEnd end{.m_outcome = outcome};
  if (outcome == Outcome::kDone && !m_record_too_large) {
    end.m_answer = std::move(m_record);
  }
  context().m_ledger.m_finish(m_key, std::move(end));
}

void Exchange::Count(Outcome outcome) {
  m_series = &context().m_metrics->Series(m_request.m_service->m_name,
                                          m_request.m_class->m_name,
                                          m_request.m_tenant);
  m_series->m_requests[static_cast<std::size_t>(outcome)]->Increment();
  m_series->m_total_seconds->Observe(Seconds(now() - m_request.m_arrived));
}

void Exchange::End() {
  if (std::exchange(m_ended, true)) {
    return;
  }
  m_deadline_timer.reset();
  m_hedge_timer.reset();
  StopAcquiring();
  EndAttemptsExcept(nullptr, AttemptEnd::kCancelled);
  m_owner->Remove(m_id);
}

}  // namespace guavacross::forwarding
