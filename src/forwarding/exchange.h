#ifndef GUAVACROSS_FORWARDING_EXCHANGE_H_
#define GUAVACROSS_FORWARDING_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "backends/attempt.h"
#include "forwarding/request_body.h"
#include "forwarding/request_forwarder.h"

namespace guavacross::forwarding {

/// Handles one request from its head to the end of its answer.
///
/// A repeatable request waits for a target, is sent, and may be retried or
/// hedged as long as its body can be sent again and no part of an answer has
/// been passed to the caller. While targets can't be reached from here, a peer
/// sends the request on. A non-repeatable request is first claimed in the
/// ledger and is sent again only if no earlier attempt can have run; its claim
/// is finished exactly once. Created by `RequestForwarder::Begin`.
class Exchange {
 public:
  Exchange(RequestForwarder* owner,
           std::uint64_t id,
           ForwardRequest request,
           AnswerHooks hooks);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Starts processing. May end the exchange before it returns.
  void Start();

  /// Passes on a part of the request's body, or its end.
  void OnBody(std::string_view bytes);
  void OnBodyEnd();
  /// The body can't be completed: it is malformed or arrives too slowly.
  void OnBodyFailed(const Error& error);
  /// Whether more of the body should be read now. If not,
  /// `AnswerHooks::m_on_body_wanted` is called when it should.
  bool WantsBody() const;

  /// The caller has disconnected. No hook is called afterwards.
  void OnCallerDisconnected();

  /// The data that was buffered for the caller has been sent.
  void OnCallerDrained();

 private:
  friend class RequestForwarder;

  // Reading from one side pauses while this much is buffered for the other.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{128} << 10;

  // A grant and the attempt that was made with it.
  struct ActiveAttempt {
    Grant m_grant;
    std::unique_ptr<backends::Attempt> m_attempt;
    AttemptReport m_report;
    TimePoint m_sent_at;
    // When the latest part of the chosen answer arrived.
    TimePoint m_progress_at;
    int m_answer_status = 0;
    // The answer's head names the length of its body.
    bool m_has_length = false;
    // Why there is no complete answer; empty if there is one or none was due.
    std::string m_failure_text;
    // Sent again on a new connection because the reused one was closed.
    bool m_resent = false;
    // The grant has been released to the router.
    bool m_released = false;
  };

  // Called by the owner.
  void OnClaim(ClaimDecision decision);
  void OnGrant(util::Expected<Grant> grant);
  bool WantsGrant(std::uint64_t generation) const;
  // Ends a request that hasn't been sent and may wait beyond `end`.
  void RefuseIfWaiting(TimePoint end, const Error& error);
  // Ends a request whose answer hasn't begun.
  void EndIfUnanswered(const Error& error);
  void Abandon();

  // Before the first attempt.
  bool CheckRequest();
  void SetRequestId();
  const std::string& RequestIdHeader() const;
  // Begins the admission under the tenant's limit, if there is one.
  void Admit();
  void OnAdmitted(const std::optional<Error>& refusal);
  void OnBodyReady();
  void Proceed();
  void NotifyBodyWanted();
  void Claim();
  void SetTraits();

  // Attempts.
  void Acquire();
  void AcquireNow();
  void StopAcquiring();
  void StartAttempt(Grant grant);
  void Send(ActiveAttempt* sent, bool fresh_connection);
  http::RequestHead HeadToSend(const Grant& grant) const;
  bool MatchesRequestId(const Grant& grant,
                        const http::ResponseHead& head) const;
  void ArmHedgeTimer();
  void OnHedgeDue();
  void EndAttempt(ActiveAttempt* ended, AttemptEnd end);
  void ReleaseAttempt(ActiveAttempt* ended, AttemptEnd end);
  void EndAttemptsExcept(const ActiveAttempt* kept, AttemptEnd end);
  bool AnySent() const;

  // Events of attempts.
  void OnHead(ActiveAttempt* attempt, const http::ResponseHead& head);
  void OnRefused(ActiveAttempt* attempt, AttemptEnd end);
  void OnBadAnswer(ActiveAttempt* attempt);
  bool ShouldRetryServerError(const http::ResponseHead& head);
  void AcceptAnswer(ActiveAttempt* winner, const http::ResponseHead& head);
  // Limits the time that the rest of the answer may take: until shortly after
  // the deadline, and `min_time` at least.
  void LimitBodyTime(Duration min_time);
  void OnBodyOverdue();
  AttemptEnd EndOfOverdue(const ActiveAttempt& attempt) const;
  void OnAnswerBody(ActiveAttempt* attempt, std::string_view bytes);
  // Pauses reading the answer if more than `limit` bytes of it are buffered.
  void PauseIfBuffered(ActiveAttempt* attempt, std::size_t limit);
  void OnAnswerEnd(ActiveAttempt* attempt);
  void OnFailure(ActiveAttempt* attempt,
                 const backends::AttemptFailure& failure);

  // Attempts through a peer (exchange_relay.cc).
  std::string RelayMarkToSend() const;
  void OnPeerHead(ActiveAttempt* attempt, const http::ResponseHead& head);
  void OnPeerRefused(ActiveAttempt* attempt, const RelayRefusal& refusal);
  void OnPeerFailure(ActiveAttempt* attempt,
                     const backends::AttemptFailure& failure);
  void TryOtherPeerOrFail(const Error& error);
  int AttemptsMade() const;

  // Retries, failures and completion.
  bool MayResend(AttemptEnd last_end) const;
  void RetryOrFail(Error error);
  void OnDeadline();
  void EndSlowAttempts();
  void FailRequest(const Error& error);
  void AnswerError(const Error& error, Outcome outcome);
  // Aborts an answer that has started and can't be completed.
  void AbortAnswer();
  // Continues without a caller so that the answer can be recorded.
  void Detach();
  void OnDetachedDeadline();
  void FinishClaim(Outcome outcome);
  void Count(Outcome outcome);
  void End();

  // Logging.
  void CountAndLogAttempt(const ActiveAttempt& ended, AttemptEnd end);
  void LogRequestEnd(int status, const std::string& reason);
  std::string RequestId() const;

  const ForwardContext& context() const { return m_owner->m_context; }
  bool repeatable() const { return m_request.m_class->m_repeatable; }
  bool claims() const { return !repeatable() && m_request.m_class->m_claims; }
  TimePoint now() const { return context().m_clock.m_now(); }

  RequestForwarder* m_owner;
  std::uint64_t m_id;
  ForwardRequest m_request;
  AnswerHooks m_hooks;
  RequestBody m_body;
  std::shared_ptr<const RequestTraits> m_traits;
  RequestKey m_key;
  std::unique_ptr<Timer> m_deadline_timer;
  std::unique_ptr<Timer> m_hedge_timer;
  std::unique_ptr<Timer> m_suspect_timer;

  std::vector<std::unique_ptr<ActiveAttempt>> m_active_attempts;
  std::vector<std::string> m_targets_tried;
  // Peers through which the request has been sent, and how many of these may
  // have sent it to a target.
  std::vector<std::string> m_peers_tried;
  int m_peer_attempts = 0;
  // The attempt whose answer is passed to the caller, once one has been chosen.
  ActiveAttempt* m_winner = nullptr;
  // The greatest outcome of the attempts that have failed.
  Outcome m_worst_outcome = Outcome::kNotRun;
  std::optional<Error> m_last_error;

  // Incremented whenever a wait for a target starts; a grant of an earlier
  // generation is outdated.
  std::uint64_t m_acquire_generation = 0;
  std::uint64_t m_ticket = 0;
  bool m_acquiring = false;

  // When the last wait for a target began, and the sum of the completed waits.
  TimePoint m_acquire_started_at;
  Duration m_target_wait{};
  ClassSeries* m_series = nullptr;
  RecordedAnswer m_record;
  bool m_record_too_large = false;

  // False if the rest of the exchange runs without the caller.
  bool m_caller_waiting = true;
  bool m_admitting = false;
  // A token of the tenant's limit has been taken.
  bool m_admitted = false;
  bool m_body_ready = false;
  bool m_claiming = false;
  bool m_claimed = false;
  bool m_reading_paused = false;
  bool m_ended = false;
};

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_EXCHANGE_H_
