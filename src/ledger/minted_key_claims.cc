#include "ledger/minted_key_claims.h"

#include <chrono>
#include <cstddef>
#include <utility>

namespace guavacross::ledger {

namespace {

// Maximum number of keys with a pending question to other instances.
constexpr std::size_t kMaxPendingQuestions = 1024;

}  // namespace

MintedKeyClaims::MintedKeyClaims(LedgerContext* context)
    : m_context(context), m_started(context->m_options.m_clock.m_now()) {
  m_authority_for[context->m_options.m_self] = m_started;
}

void MintedKeyClaims::Claim(const MintedIdentity& identity,
                            const KeyHash& key,
                            std::uint64_t fingerprint,
                            Decide decide) {
  HeldKey* held = m_context->m_held.Find(key);
  const bool has_authority = m_authority_for.contains(identity.m_minter);
  if (held != nullptr && held->m_state != HeldState::kNotRun &&
      !(has_authority && held->m_state == HeldState::kGrantedToPeer)) {
    decide(ToDecision(ReplyOf(*held, fingerprint)));
    return;
  }
  if (m_pending_questions.contains(key)) {
    decide(ToDecision({.m_status = LedgerReply::Status::kInProgress}));
    return;
  }
  const LedgerQuestion question{.m_kind = LedgerQuestion::Kind::kMayRun,
                                .m_asker = m_context->m_options.m_self,
                                .m_key = key,
                                .m_fingerprint = fingerprint,
                                .m_minter = identity.m_minter,
                                .m_minted_ms = identity.m_minted_ms};
  if (has_authority) {
    MayRun(question, [decide = std::move(decide)](const LedgerReply& reply) {
      decide(ToDecision(reply));
    });
    return;
  }
  if (m_pending_questions.size() >= kMaxPendingQuestions ||
      !m_context->m_held.MakeRoom(m_context->m_options.m_clock.m_now())) {
    // Not `kFull`, which states that the request has not run anywhere: an
    // earlier copy may have run on another instance.
    decide(ToDecision({.m_status = LedgerReply::Status::kUnreachable}));
    return;
  }
  m_pending_questions.insert(key);
  AskMinter(question, std::move(decide));
}

void MintedKeyClaims::AskMinter(const LedgerQuestion& question, Decide decide) {
  if (StateOfHolder(*m_context, question.m_minter) == HolderState::kGone) {
    AskForSuccessor(question, std::move(decide));
    return;
  }
  m_context->m_hooks.m_ask(
      question.m_minter, question,
      m_context->WhileAlive([this, question, decide = std::move(decide)](
                                const LedgerReply& reply) {
        if (reply.m_status == LedgerReply::Status::kNone) {
          AskForSuccessor(question, decide);
        } else {
          OnReply(question, reply, decide);
        }
      }));
}

// The minter is gone, but a peer may have taken over its table.
void MintedKeyClaims::AskForSuccessor(const LedgerQuestion& question,
                                      Decide decide) {
  AskPeers(
      *m_context, MembersToAsk(*m_context, MemberScope::kNotDead), question,
      [this, question,
       decide = std::move(decide)](const std::vector<LedgerReply>& replies) {
        LedgerReply found{.m_status = LedgerReply::Status::kNone};
        for (const LedgerReply& reply : replies) {
          const bool is_better =
              found.m_status == LedgerReply::Status::kNone ||
              found.m_status == LedgerReply::Status::kUnreachable;
          if (is_better && reply.m_status != LedgerReply::Status::kNone) {
            found = reply;
          }
        }
        OnReply(question, found, decide);
      });
}

void MintedKeyClaims::OnReply(const LedgerQuestion& question,
                              const LedgerReply& reply,
                              const Decide& decide) {
  m_pending_questions.erase(question.m_key);
  if (reply.m_status != LedgerReply::Status::kGranted) {
    decide(ToDecision(reply));
    return;
  }
  const TimePoint now = m_context->m_options.m_clock.m_now();
  if (!m_context->m_held.MakeRoom(now)) {
    decide(ToDecision({.m_status = LedgerReply::Status::kFull}));
    return;
  }
  // The granting instance may ask about the key until the identity expires.
  m_context->m_held.Put(
      question.m_key,
      {.m_fingerprint = question.m_fingerprint,
       .m_attempt = reply.m_attempt,
       .m_state = HeldState::kRunning,
       .m_minted = true,
       .m_keep_until = now + m_context->m_options.m_identity_lifetime});
  decide({.m_kind = ClaimDecision::Kind::kRun});
}

bool MintedKeyClaims::IsExpired(TimePoint minter_started,
                                std::uint64_t minted_ms) const {
  const Duration age = m_context->m_options.m_clock.m_now() - minter_started;
  const auto limit = m_context->m_options.m_identity_lifetime;
  const auto age_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
  const auto limit_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
  // An identity with a time in the future was not minted by this incarnation.
  return minted_ms > age_ms || age_ms - minted_ms > limit_ms;
}

void MintedKeyClaims::MayRun(const LedgerQuestion& question, Reply reply) {
  const auto minter = m_authority_for.find(question.m_minter);
  if (minter == m_authority_for.end()) {
    // Entries that were handed over without the authority are still valid.
    HeldKey* held = m_context->m_held.Find(question.m_key);
    reply(held != nullptr && held->m_state != HeldState::kNotRun
              ? ReplyOf(*held, question.m_fingerprint)
              : LedgerReply{.m_status = LedgerReply::Status::kNone});
    return;
  }
  if (m_granting_paused) {
    reply({.m_status = LedgerReply::Status::kInProgress});
    return;
  }
  if (IsExpired(minter->second, question.m_minted_ms)) {
    reply({.m_status = LedgerReply::Status::kExpired});
    return;
  }
  HeldKey* held = m_context->m_held.Find(question.m_key);
  if (held == nullptr) {
    Grant(question, 1, reply);
  } else if (held->m_fingerprint != question.m_fingerprint) {
    reply({.m_status = LedgerReply::Status::kConflict});
  } else if (held->m_state == HeldState::kNotRun) {
    Grant(question, held->m_attempt + 1, reply);
  } else if (held->m_state == HeldState::kGrantedToPeer) {
    AskHolder(question, *held, std::move(reply));
  } else {
    reply(ReplyOf(*held, question.m_fingerprint));
  }
}

void MintedKeyClaims::Grant(const LedgerQuestion& question,
                            std::uint32_t attempt,
                            const Reply& reply) {
  const TimePoint now = m_context->m_options.m_clock.m_now();
  if (m_context->m_held.Find(question.m_key) == nullptr &&
      !m_context->m_held.MakeRoom(now)) {
    reply({.m_status = LedgerReply::Status::kFull});
    return;
  }
  const bool is_self = question.m_asker == m_context->m_options.m_self;
  m_context->m_held.Put(
      question.m_key,
      {.m_fingerprint = question.m_fingerprint,
       .m_attempt = attempt,
       .m_state = is_self ? HeldState::kRunning : HeldState::kGrantedToPeer,
       .m_minted = true,
       .m_given_to =
           is_self ? nullptr : std::make_unique<InstanceId>(question.m_asker),
       .m_keep_until = now + m_context->m_options.m_identity_lifetime});
  reply({.m_status = LedgerReply::Status::kGranted, .m_attempt = attempt});
}

void MintedKeyClaims::AskHolder(const LedgerQuestion& question,
                                const HeldKey& held,
                                Reply reply) {
  const InstanceId holder = *held.m_given_to;
  const std::uint32_t attempt = held.m_attempt;
  if (holder == question.m_asker) {
    // The holder checks its own table before it asks. As it asks again, either
    // the grant did not reach it or it has abandoned the request.
    Grant(question, attempt + 1, reply);
    return;
  }
  if (StateOfHolder(*m_context, holder) == HolderState::kGone) {
    reply({.m_status = LedgerReply::Status::kUnknown});
    return;
  }
  LedgerQuestion how_ended = question;
  how_ended.m_kind = LedgerQuestion::Kind::kHowEnded;
  how_ended.m_attempt = attempt;
  how_ended.m_asker = m_context->m_options.m_self;
  m_context->m_hooks.m_ask(
      holder, how_ended,
      m_context->WhileAlive([this, question, attempt, reply = std::move(reply)](
                                LedgerReply holder_reply) {
        OnHolderReply(question, attempt, std::move(holder_reply), reply);
      }));
}

void MintedKeyClaims::OnHolderReply(const LedgerQuestion& question,
                                    std::uint32_t attempt,
                                    LedgerReply holder_reply,
                                    const Reply& reply) {
  const bool not_run = holder_reply.m_status == LedgerReply::Status::kNone ||
                       holder_reply.m_status == LedgerReply::Status::kNotRun;
  if (!not_run) {
    if (holder_reply.m_status == LedgerReply::Status::kUnreachable) {
      holder_reply.m_status = LedgerReply::Status::kInProgress;
    }
    reply(std::move(holder_reply));
    return;
  }
  // The table may have changed while the question was pending, and the reply
  // applies to this attempt only.
  const HeldKey* held = m_context->m_held.Find(question.m_key);
  const bool is_unchanged = held != nullptr && held->m_attempt == attempt &&
                            held->m_state == HeldState::kGrantedToPeer &&
                            !m_granting_paused &&
                            m_authority_for.contains(question.m_minter);
  if (is_unchanged) {
    Grant(question, attempt + 1, reply);
  } else {
    reply({.m_status = LedgerReply::Status::kInProgress});
  }
}

void MintedKeyClaims::TakeAuthority(const InstanceId& minter, Duration age) {
  m_authority_for.try_emplace(minter,
                              m_context->m_options.m_clock.m_now() - age);
}

std::map<InstanceId, TimePoint> MintedKeyClaims::ReleaseAuthority() {
  m_granting_paused = false;
  return std::exchange(m_authority_for, {});
}

}  // namespace guavacross::ledger
