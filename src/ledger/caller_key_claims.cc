#include "ledger/caller_key_claims.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "util/log.h"

namespace guavacross::ledger {

namespace {

FoldLimits LimitsOf(const LedgerOptions& options) {
  return {.m_max_key_retention = options.m_max_key_retention,
          .m_min_key_retention = options.m_min_key_retention,
          .m_max_keys = options.m_max_keys};
}

ClaimLogOptions LogOptionsOf(const LedgerOptions& options) {
  return {.m_self = options.m_self,
          .m_clock = options.m_clock,
          .m_max_claims_per_append = options.m_max_claims_per_append};
}

}  // namespace

CallerKeyClaims::CallerKeyClaims(LedgerContext* context)
    : m_context(context),
      m_fold(LimitsOf(context->m_options)),
      m_log(LogOptionsOf(context->m_options),
            {.m_log = context->m_hooks.m_log,
             .m_append_interval = [this] { return AppendInterval(); },
             .m_on_record =
                 [this](std::uint64_t offset, const ClaimRecord& record) {
                   OnRecord(offset, record);
                 },
             .m_on_expired =
                 [this](std::uint64_t first_kept) { OnExpired(first_kept); },
             .m_on_read_sent = [this] { m_members_at_read = MemberIds(); },
             .m_on_caught_up = [this] { OnCaughtUp(); },
             .m_on_rejected =
                 [this](const std::vector<ledger::Claim>& claims) {
                   for (const ledger::Claim& claim : claims) {
                     RefuseAll(claim.m_key, "the log refused the claim");
                   }
                 },
             .m_has_waiter =
                 [this](const ledger::Claim& claim) {
                   return HasWaiter(claim.m_key);
                 }}),
      m_carry_forward(&context->m_options, &m_fold, &m_log) {}

void CallerKeyClaims::Start() {
  m_log.Start();
  m_carry_forward.Start();
}

void CallerKeyClaims::Claim(const KeyHash& key,
                            std::uint64_t fingerprint,
                            std::optional<WallTime> key_time,
                            Decide decide) {
  const LedgerOptions& options = m_context->m_options;
  Waiter waiter{
      .m_fingerprint = fingerprint,
      .m_key_time = key_time,
      .m_decide = std::move(decide),
      .m_deadline = options.m_clock.m_now() + options.m_claim_timeout};
  Enqueue(key, std::move(waiter));
}

void CallerKeyClaims::Enqueue(const KeyHash& key, Waiter waiter) {
  if (Evaluate(key, &waiter) == EvaluateResult::kDone) {
    return;
  }
  const LedgerOptions& options = m_context->m_options;
  Waiters& waiters = m_waiting[key];
  waiters.push_back(std::move(waiter));
  const auto it = std::prev(waiters.end());
  const Duration remaining =
      std::max<Duration>(it->m_deadline - options.m_clock.m_now(), {});
  it->m_timer = options.m_clock.m_call_after(
      remaining, [this, key, it] { OnTimeout(key, it); });
}

void CallerKeyClaims::ReEvaluate(const KeyHash& key) {
  const auto found = m_waiting.find(key);
  if (found == m_waiting.end()) {
    return;
  }
  // Decisions run callbacks, which may add waiters.
  Waiters waiters = std::move(found->second);
  m_waiting.erase(found);
  for (Waiter& waiter : waiters) {
    waiter.m_timer.reset();
    Enqueue(key, std::move(waiter));
  }
}

CallerKeyClaims::EvaluateResult CallerKeyClaims::Evaluate(const KeyHash& key,
                                                          Waiter* waiter) {
  HeldKey* held = m_context->m_held.Find(key);
  if (held != nullptr && held->m_state != HeldState::kNotRun) {
    waiter->m_decide(ToDecision(ReplyOf(*held, waiter->m_fingerprint)));
    return EvaluateResult::kDone;
  }
  if (!m_log.caught_up()) {
    return EvaluateResult::kWait;
  }
  const auto view = m_fold.Find(key);
  if (!view) {
    return ClaimAttempt(key, 1, waiter);
  }
  if (view->m_fingerprint != waiter->m_fingerprint) {
    waiter->m_decide(ToDecision({.m_status = LedgerReply::Status::kConflict}));
    return EvaluateResult::kDone;
  }
  if (view->m_ended_not_run) {
    return ClaimAttempt(key, view->m_attempt + 1, waiter);
  }
  if (view->m_holder != m_context->m_options.m_self) {
    AskHolder(key, *view, waiter);
    return EvaluateResult::kDone;
  }
  if (held != nullptr) {
    // Ended here as not run, but the end has not been read back from the log.
    return EvaluateResult::kWait;
  }
  waiter->m_decide(ToDecision({.m_status = LedgerReply::Status::kUnknown}));
  return EvaluateResult::kDone;
}

CallerKeyClaims::EvaluateResult CallerKeyClaims::ClaimAttempt(
    const KeyHash& key,
    std::uint32_t attempt,
    Waiter* waiter) {
  if (waiter->m_has_claimed && m_log.PendingAttempt(key) == attempt) {
    return EvaluateResult::kWait;
  }
  if (IsBlocked(key)) {
    waiter->m_decide(
        ToDecision({.m_status = LedgerReply::Status::kInProgress}));
    return EvaluateResult::kDone;
  }
  if (const auto refusal = CheckAge(*waiter)) {
    if (refusal->m_error.m_kind == ErrorKind::kStoreUnavailable) {
      RefuseUnsettled(key, std::move(*waiter), refusal->m_error.m_text);
    } else {
      waiter->m_decide(*refusal);
    }
    return EvaluateResult::kDone;
  }
  const TimePoint now = m_context->m_options.m_clock.m_now();
  m_fold.Forget(now);
  const bool has_room =
      m_fold.HasRoom() &&
      m_log.unsettled() < m_context->m_options.m_max_held_keys &&
      m_context->m_held.MakeRoom(now);
  if (!has_room) {
    RefuseUnsettled(key, std::move(*waiter), "the ledger is full");
    return EvaluateResult::kDone;
  }
  waiter->m_has_claimed = true;
  m_log.AddClaim({.m_key = key,
                  .m_fingerprint = waiter->m_fingerprint,
                  .m_attempt = attempt});
  return EvaluateResult::kWait;
}

// Refuses keys whose earlier claim may have been forgotten.
std::optional<ClaimDecision> CallerKeyClaims::CheckAge(
    const Waiter& waiter) const {
  const LedgerOptions& options = m_context->m_options;
  const TimePoint now = options.m_clock.m_now();
  if (!waiter.m_key_time) {
    if (m_fold.IsComplete(now)) {
      return std::nullopt;
    }
    return Refuse(ErrorKind::kStoreUnavailable,
                  "this instance doesn't know all recent claims yet");
  }
  const Duration age = options.m_clock.m_wall_now() - *waiter.m_key_time;
  if (age < -options.m_clock_skew) {
    return Refuse(ErrorKind::kKeyExpired, "the key's time is in the future");
  }
  const TimePoint known_since = m_fold.known_since();
  if (known_since != TimePoint::min() &&
      now - age - options.m_clock_skew < known_since) {
    return Refuse(ErrorKind::kKeyExpired,
                  "the key is older than what this instance knows");
  }
  return std::nullopt;
}

void CallerKeyClaims::OnTimeout(const KeyHash& key, Waiters::iterator waiter) {
  const auto found = m_waiting.find(key);
  // This call runs from the waiter's timer, which must live until it returns.
  const std::unique_ptr<Timer> timer = std::move(waiter->m_timer);
  Waiter timed_out = std::move(*waiter);
  found->second.erase(waiter);
  if (found->second.empty()) {
    m_waiting.erase(found);
  }
  RefuseUnsettled(key, std::move(timed_out),
                  "the log did not settle the claim in time");
}

void CallerKeyClaims::RefuseAll(const KeyHash& key, const std::string& text) {
  const auto found = m_waiting.find(key);
  if (found == m_waiting.end()) {
    return;
  }
  Waiters waiters = std::move(found->second);
  m_waiting.erase(found);
  for (Waiter& waiter : waiters) {
    RefuseUnsettled(key, std::move(waiter), text);
  }
}

void CallerKeyClaims::EndNotRun(const KeyHash& key) {
  const HeldKey* held = m_context->m_held.Find(key);
  if (held != nullptr) {
    m_log.AddEnd({.m_key = key, .m_attempt = held->m_attempt});
  }
}

void CallerKeyClaims::OnRecord(std::uint64_t offset,
                               const ClaimRecord& record) {
  const Clock& clock = m_context->m_options.m_clock;
  const ClaimFold::Changes changes =
      m_fold.Apply(offset, record,
                   {.m_now = clock.m_now(), .m_wall_now = clock.m_wall_now()});
  m_carry_forward.OnRecord(offset, record);
  for (const KeyHash& key : changes.m_granted) {
    const auto view = m_fold.Find(key);
    m_log.Settle(key, view->m_attempt);
    if (view->m_holder == m_context->m_options.m_self) {
      OnOwnGrant(key, *view);
    }
    ReEvaluate(key);
  }
  for (const KeyHash& key : changes.m_ended) {
    ReEvaluate(key);
  }
}

// This instance holds the key according to the log: the first waiter that
// claimed it with the same fingerprint runs the request.
void CallerKeyClaims::OnOwnGrant(const KeyHash& key, const ClaimView& view) {
  const bool has_room =
      m_context->m_held.MakeRoom(m_context->m_options.m_clock.m_now());
  HeldKey held{.m_fingerprint = view.m_fingerprint,
               .m_attempt = view.m_attempt,
               .m_state = HeldState::kNotRun};
  const auto found = m_waiting.find(key);
  if (has_room && found != m_waiting.end()) {
    Waiters& waiters = found->second;
    const auto runner = std::find_if(
        waiters.begin(), waiters.end(), [&view](const Waiter& waiter) {
          return waiter.m_has_claimed &&
                 waiter.m_fingerprint == view.m_fingerprint;
        });
    if (runner != waiters.end()) {
      Decide decide = std::move(runner->m_decide);
      waiters.erase(runner);
      if (waiters.empty()) {
        m_waiting.erase(found);
      }
      held.m_state = HeldState::kRunning;
      m_context->m_held.Put(key, std::move(held));
      decide({.m_kind = ClaimDecision::Kind::kRun});
      return;
    }
  }
  m_log.AddEnd({.m_key = key, .m_attempt = view.m_attempt});
  m_context->m_held.Put(key, std::move(held));
}

void CallerKeyClaims::OnExpired(std::uint64_t first_kept) {
  const TimePoint now = m_context->m_options.m_clock.m_now();
  m_carry_forward.OnExpired(first_kept);
  if (!m_fold.HandleExpired(first_kept, now)) {
    return;
  }
  util::LogWarning("ledger",
                   "records of the claim stream expired before they were read; "
                   "refusing pending claims",
                   {{"first_kept", std::to_string(first_kept)}});
  m_log.DropPending();
  std::vector<KeyHash> keys;
  keys.reserve(m_waiting.size());
  for (const auto& [key, waiters] : m_waiting) {
    keys.push_back(key);
  }
  for (const KeyHash& key : keys) {
    RefuseAll(key, "claims expired before they were read");
  }
}

void CallerKeyClaims::OnCaughtUp() {
  m_members_at_last_end = m_members_at_read;
  std::vector<KeyHash> unclaimed;
  for (const auto& [key, waiters] : m_waiting) {
    const bool has_new =
        std::any_of(waiters.begin(), waiters.end(),
                    [](const Waiter& waiter) { return !waiter.m_has_claimed; });
    if (has_new) {
      unclaimed.push_back(key);
    }
  }
  for (const KeyHash& key : unclaimed) {
    ReEvaluate(key);
  }
}

bool CallerKeyClaims::HasWaiter(const KeyHash& key) const {
  return m_waiting.contains(key);
}

Duration CallerKeyClaims::AppendInterval() const {
  std::size_t instances = 1;
  for (const Member& member : m_context->m_hooks.m_members()) {
    instances += member.m_state == MemberState::kDead ? 0 : 1;
  }
  return FromSeconds(static_cast<double>(instances) /
                     m_context->m_options.m_appends_per_second);
}

}  // namespace guavacross::ledger
