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

constexpr int kFirstServerError = 500;

// Server errors that another target may not return.
constexpr bool IsRetriedStatus(int status) {
  return status == 500 || status == 502 || status == 503 || status == 504;
}

}  // namespace

void Exchange::OnHead(Try* from, const http::ResponseHead& head) {
  from->m_answer_status = head.m_status;
  from->m_report.m_latency = now() - from->m_sent_at;
  const backends::TargetDialect& dialect = *context().m_target_dialect;
  from->m_report.m_load = dialect.m_read_load(head.m_fields);
  const backends::Refusal refusal = dialect.m_read_refusal(head);
  if (refusal != backends::Refusal::kNone) {
    OnRefused(from, refusal == backends::Refusal::kNotRun
                        ? AttemptEnd::kRefusedNotRun
                        : AttemptEnd::kWrongTarget);
  } else if (!dialect.m_is_genuine(head)) {
    OnBadAnswer(from);
  } else if (RetriesServerError(head)) {
    m_worst = std::max(m_worst, Outcome::kDone);
    EndTry(from, AttemptEnd::kServerError);
    Acquire();
  } else {
    OnWinner(from, head);
  }
}

void Exchange::OnRefused(Try* from, AttemptEnd end) {
  EndTry(from, end);
  RetryOrGiveUp({.m_kind = ErrorKind::kBackendRefused,
                 .m_text = end == AttemptEnd::kWrongTarget
                               ? "another backend server has the address"
                               : "the backend server refused the request"});
}

// The data received can't be the backend server's complete answer; the request
// may have run.
void Exchange::OnBadAnswer(Try* from) {
  m_worst = std::max(m_worst, Outcome::kUnknown);
  from->m_report.m_answer_begun = true;
  EndTry(from, AttemptEnd::kReset);
  RetryOrGiveUp({.m_kind = ErrorKind::kBackendBadAnswer,
                 .m_text = "the answer isn't the backend server's own"});
}

bool Exchange::RetriesServerError(const http::ResponseHead& head) {
  return IsRetriedStatus(head.m_status) && repeatable() &&
         m_tries.size() == 1 && !m_acquiring &&
         MaySendAgain(AttemptEnd::kServerError);
}

void Exchange::OnWinner(Try* winner, const http::ResponseHead& head) {
  m_winner = winner;
  m_deadline_timer.reset();
  m_hedge_timer.reset();
  StopAcquiring();
  EndAllTriesBut(winner, AttemptEnd::kCancelled);
  context().m_router->ReportLoad(winner->m_grant, winner->m_report.m_load,
                                 winner->m_report.m_latency);
  const http::ResponseHead to_caller =
      context().m_caller_dialect->m_answer_head(head);
  if (m_claimed) {
    m_record.m_status = head.m_status;
    m_record.m_headers = to_caller.m_fields.all();
  }
  if (m_caller_present) {
    m_hooks.m_on_head(to_caller);
  }
}

void Exchange::OnAnswerBody(Try* from, std::string_view bytes) {
  if (from != m_winner) {
    return;
  }
  if (m_claimed && !m_record_too_large) {
    m_record_too_large =
        m_record.m_body.size() + bytes.size() > kMaxRecordedBytes;
    m_record.m_body.append(m_record_too_large ? std::string_view() : bytes);
  }
  if (!m_caller_present) {
    return;
  }
  m_hooks.m_on_body(bytes);
  PauseIfBuffered(from, kMaxBufferedBytes);
}

void Exchange::PauseIfBuffered(Try* from, std::size_t limit) {
  if (m_caller_present && !m_reading_paused && m_hooks.m_unsent() > limit) {
    m_reading_paused = true;
    from->m_attempt->SetReading(false);
  }
}

void Exchange::OnCallerDrained() {
  if (std::exchange(m_reading_paused, false) && m_winner != nullptr) {
    m_winner->m_attempt->SetReading(true);
  }
}

void Exchange::OnAnswerEnd(Try* from) {
  if (from != m_winner) {
    return;
  }
  const Duration backend_time = now() - from->m_sent_at;
  const bool server_error = from->m_answer_status >= kFirstServerError;
  EndTry(from, server_error ? AttemptEnd::kServerError : AttemptEnd::kAnswered);
  FinishClaim(Outcome::kDone);
  Count(Outcome::kDone);
  TellOfEnd(from->m_answer_status, {});
  const Duration added = now() - m_request.m_arrived - backend_time;
  m_series->m_added_seconds->Observe(Seconds(added));
  if (m_caller_present) {
    m_hooks.m_on_end();
  }
  End();
}

void Exchange::OnFailure(Try* from, const backends::AttemptFailure& failure) {
  const bool cut_short = from == m_winner;
  if (!cut_short && failure.m_stale_connection && !from->m_is_restart &&
      repeatable() && m_body.replayable()) {
    // The backend server closed an idle connection. The request isn't the cause
    // and no answer will come; it is sent again with the same grant.
    from->m_is_restart = true;
    m_worst = Outcome::kUnknown;
    context().m_set->DeleteLater(std::move(from->m_attempt));
    Send(from, /*fresh_connection=*/true);
    return;
  }
  // A target that closed a reused connection and now accepts no new one was
  // lost with the request in flight: the connection wasn't closed for being
  // idle.
  const bool lost =
      from->m_is_restart && failure.m_end == AttemptEnd::kConnectFailed;
  from->m_report.m_answer_begun = failure.m_answer_begun;
  EndTry(from, lost ? AttemptEnd::kReset : failure.m_end);
  if (failure.m_bytes_sent) {
    m_worst = Outcome::kUnknown;
  }
  if (cut_short) {
    CutShort();
    return;
  }
  RetryOrGiveUp({.m_kind = failure.m_kind, .m_text = failure.m_text});
}

void Exchange::CutShort() {
  FinishClaim(Outcome::kUnknown);
  Count(Outcome::kUnknown);
  TellOfEnd(0, "the answer was cut short");
  if (m_caller_present) {
    m_hooks.m_on_abort();
  }
  End();
}

bool Exchange::MaySendAgain(AttemptEnd last_end) const {
  const bool harmless = repeatable() || m_worst == Outcome::kNotRun;
  return m_caller_present && harmless && m_body.replayable() &&
         now() < m_request.m_deadline &&
         context().m_router->MayRetry(
             *m_traits, static_cast<int>(m_targets_tried.size()), last_end);
}

void Exchange::RetryOrGiveUp(Error error) {
  m_last_error = std::move(error);
  if (!m_tries.empty() || m_acquiring) {
    return;
  }
  // Repeating a request that ran on no target is cheaper than repeating one
  // that may have run.
  const bool ran_nowhere = m_last_error->m_kind == ErrorKind::kConnectFailed ||
                           m_last_error->m_kind == ErrorKind::kBackendRefused;
  if (MaySendAgain(ran_nowhere ? AttemptEnd::kRefusedNotRun
                               : AttemptEnd::kReset)) {
    Acquire();
  } else {
    GiveUp(*m_last_error);
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
    m_caller_present = false;
    return;
  }
  if (sent) {
    m_worst = Outcome::kUnknown;
  }
  EndSlowTries();
  GiveUp(error);
}

// Ends attempts as timed out if they had at least half of the class's deadline.
// Shorter ones say nothing about their targets, since the caller may have set a
// deadline that no target can meet.
void Exchange::EndSlowTries() {
  const Duration enough = m_request.m_class->m_deadline / 2;
  std::vector<Try*> slow;
  for (const auto& each : m_tries) {
    if (now() - each->m_sent_at >= enough) {
      slow.push_back(each.get());
    }
  }
  for (Try* const each : slow) {
    EndTry(each, AttemptEnd::kTimeout);
  }
}

void Exchange::OnCallerGone() {
  m_caller_present = false;
  if (m_claiming) {
    return;
  }
  const bool sent = AnySent();
  if (!repeatable() && sent) {
    Detach();
    return;
  }
  FinishClaim(std::max(m_worst, sent ? Outcome::kUnknown : Outcome::kNotRun));
  Count(sent ? Outcome::kUnknown : m_worst);
  End();
}

void Exchange::Detach() {
  m_caller_present = false;
  StopAcquiring();
  m_reading_paused = false;
  for (const auto& each : m_tries) {
    each->m_attempt->SetReading(true);
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
  for (const auto& each : m_tries) {
    if (each.get() != m_winner) {
      ReleaseTry(each.get(), AttemptEnd::kTimeout);
    }
  }
  m_deadline_timer =
      context().m_clock.m_call_after(kMaxDetachedTime, [this] { Abandon(); });
}

void Exchange::Abandon() {
  m_caller_present = false;
  if (AnySent()) {
    m_worst = Outcome::kUnknown;
  }
  FinishClaim(m_worst);
  End();
}

void Exchange::GiveUp(const Error& error) {
  const Outcome outcome = std::max(m_worst, AnswerFor(error.m_kind).m_outcome);
  FinishClaim(outcome);
  if (m_caller_present) {
    AnswerError(error, outcome);
  }
  End();
}

void Exchange::AnswerError(const Error& error, Outcome outcome) {
  Count(outcome);
  context().m_metrics->CountOwnAnswer(error.m_kind);
  const WholeAnswer answer =
      context().m_caller_dialect->m_error_answer(error, outcome);
  TellOfEnd(answer.m_head.m_status, Describe(error));
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
  EndAllTriesBut(nullptr, AttemptEnd::kCancelled);
  m_owner->Remove(m_id);
}

}  // namespace guavacross::forwarding
