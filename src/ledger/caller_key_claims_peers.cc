// The part of `CallerKeyClaims` that asks other instances and answers their
// questions.

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "ledger/caller_key_claims.h"
#include "util/log.h"

namespace guavacross::ledger {

namespace {

constexpr int kMaxNotRunChecks = 64;
// How long an instance that has reported a key as unknown blocks claims of it,
// and how long after the question was sent the report may be used.
constexpr Duration kClaimBlockTime = std::chrono::seconds(2);
constexpr Duration kMaxReportAge = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxBlockedKeys = 65'536;

}  // namespace

void CallerKeyClaims::AskHolder(const KeyHash& key,
                                const ClaimView& view,
                                Waiter* waiter) {
  if (StateOfHolder(*m_context, view.m_holder) == HolderState::kGone) {
    AskForHandover(key, view.m_attempt, std::move(*waiter));
    return;
  }
  const LedgerQuestion question{.m_kind = LedgerQuestion::Kind::kHowEnded,
                                .m_asker = m_context->m_options.m_self,
                                .m_key = key,
                                .m_fingerprint = waiter->m_fingerprint,
                                .m_attempt = view.m_attempt};
  auto shared_waiter = std::make_shared<Waiter>(std::move(*waiter));
  m_context->m_hooks.m_ask(
      view.m_holder, question,
      m_context->WhileAlive(
          [this, key, shared_waiter](const LedgerReply& reply) {
            OnHolderReply(key, reply, std::move(*shared_waiter));
          }));
}

void CallerKeyClaims::OnHolderReply(const KeyHash& key,
                                    const LedgerReply& reply,
                                    Waiter waiter) {
  if (reply.m_status == LedgerReply::Status::kUnreachable) {
    waiter.m_decide(Refuse(ErrorKind::kKeyInProgress,
                           "the instance that holds the key doesn't answer"));
    return;
  }
  if (reply.m_status != LedgerReply::Status::kNotRun) {
    waiter.m_decide(ToDecision(reply));
    return;
  }
  // The end of the attempt is in the log or will be. Evaluate again only if it
  // has been read, so that the holder isn't asked repeatedly.
  const auto view = m_fold.Find(key);
  const bool is_settled =
      view && (view->m_ended_not_run || view->m_attempt > reply.m_attempt);
  if (is_settled) {
    Enqueue(key, std::move(waiter));
    return;
  }
  waiter.m_decide(ToDecision({.m_status = LedgerReply::Status::kInProgress}));
}

// The holder is gone, but it may have handed its table over to a peer before.
void CallerKeyClaims::AskForHandover(const KeyHash& key,
                                     std::uint32_t attempt,
                                     Waiter waiter) {
  const LedgerQuestion question{.m_kind = LedgerQuestion::Kind::kHowEnded,
                                .m_asker = m_context->m_options.m_self,
                                .m_key = key,
                                .m_fingerprint = waiter.m_fingerprint,
                                .m_attempt = attempt};
  AskPeers(*m_context, MembersToAsk(*m_context, MemberScope::kNotDead),
           question,
           [decide = std::move(waiter.m_decide)](
               const std::vector<LedgerReply>& replies) {
             for (const LedgerReply& reply : replies) {
               if (reply.m_status == LedgerReply::Status::kDone ||
                   reply.m_status == LedgerReply::Status::kConflict) {
                 decide(ToDecision(reply));
                 return;
               }
             }
             decide(ToDecision({.m_status = LedgerReply::Status::kUnknown}));
           });
}

// Refuses a copy that has not run and won't. An earlier copy may have run on
// another instance, and its claim may not have been read here. The caller is
// told "not run" only if this instance knew all older claims when it last read
// the log to its end, no instance has joined since, and all instances that
// existed at that time reply that they know of no copy.
void CallerKeyClaims::RefuseUnsettled(const KeyHash& key,
                                      Waiter waiter,
                                      std::string text) {
  const bool knows_older_claims =
      m_log.caught_up() && !CheckAge(waiter) && !MembersHaveChanged();
  if (!knows_older_claims || m_pending_not_run_checks >= kMaxNotRunChecks) {
    waiter.m_decide(Refuse(ErrorKind::kAppendUnclear, std::move(text)));
    return;
  }
  ++m_pending_not_run_checks;
  const LedgerQuestion question{.m_kind = LedgerQuestion::Kind::kIsKnown,
                                .m_asker = m_context->m_options.m_self,
                                .m_key = key};
  const std::vector<InstanceId> peers(m_members_at_last_end.begin(),
                                      m_members_at_last_end.end());
  AskPeers(*m_context, peers, question,
           [this, key, asked_at = m_context->m_options.m_clock.m_now(),
            decide = std::move(waiter.m_decide),
            text = std::move(text)](const std::vector<LedgerReply>& replies) {
             --m_pending_not_run_checks;
             const Duration elapsed =
                 m_context->m_options.m_clock.m_now() - asked_at;
             const bool all_none = std::all_of(
                 replies.begin(), replies.end(), [](const LedgerReply& reply) {
                   return reply.m_status == LedgerReply::Status::kNone;
                 });
             HeldKey* held = m_context->m_held.Find(key);
             const auto view = m_fold.Find(key);
             const bool is_free =
                 elapsed <= kMaxReportAge && !m_waiting.contains(key) &&
                 (held == nullptr || held->m_state == HeldState::kNotRun) &&
                 (!view || view->m_ended_not_run);
             decide(Refuse(all_none && is_free ? ErrorKind::kStoreUnavailable
                                               : ErrorKind::kAppendUnclear,
                           text));
           });
}

std::set<InstanceId> CallerKeyClaims::MemberIds() const {
  const auto members = MembersToAsk(*m_context, MemberScope::kAll);
  return {members.begin(), members.end()};
}

// Whether an instance has joined or restarted since the log was last read to
// its end. An earlier incarnation of it may have claimed and run a request and
// ended without this instance having known it.
bool CallerKeyClaims::MembersHaveChanged() const {
  const std::set<InstanceId> now = MemberIds();
  return !std::includes(m_members_at_last_end.begin(),
                        m_members_at_last_end.end(), now.begin(), now.end());
}

LedgerReply CallerKeyClaims::HowEnded(const LedgerQuestion& question) const {
  const auto pending = m_log.PendingAttempt(question.m_key);
  const auto view = m_fold.Find(question.m_key);
  LedgerReply reply{.m_attempt = question.m_attempt};
  if (pending && *pending >= question.m_attempt) {
    reply.m_status = LedgerReply::Status::kInProgress;
  } else if (view && (view->m_attempt > question.m_attempt ||
                      (view->m_attempt == question.m_attempt &&
                       view->m_ended_not_run))) {
    reply.m_status = LedgerReply::Status::kNotRun;
  } else {
    reply.m_status = LedgerReply::Status::kUnknown;
  }
  return reply;
}

bool CallerKeyClaims::IsBlocked(const KeyHash& key) {
  const auto found = m_blocked_until.find(key);
  if (found == m_blocked_until.end()) {
    return false;
  }
  const bool is_blocked = m_context->m_options.m_clock.m_now() < found->second;
  if (!is_blocked) {
    m_blocked_until.erase(found);
  }
  return is_blocked;
}

bool CallerKeyClaims::IsKnown(const KeyHash& key) {
  const auto view = m_fold.Find(key);
  const TimePoint now = m_context->m_options.m_clock.m_now();
  if (m_blocked_until.size() >= kMaxBlockedKeys) {
    std::erase_if(m_blocked_until,
                  [now](const auto& item) { return item.second <= now; });
  }
  const bool is_known =
      m_blocked_until.size() >= kMaxBlockedKeys || m_waiting.contains(key) ||
      m_log.PendingAttempt(key).has_value() || (view && !view->m_ended_not_run);
  if (!is_known) {
    m_blocked_until[key] = now + kClaimBlockTime;
  }
  return is_known;
}

}  // namespace guavacross::ledger
