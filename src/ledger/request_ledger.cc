#include "ledger/request_ledger.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <utility>

#include "ledger/caller_key_claims.h"
#include "ledger/key_identity.h"
#include "ledger/ledger_context.h"
#include "ledger/ledger_metrics.h"
#include "ledger/minted_key_claims.h"
#include "ledger/table_handover.h"
#include "util/hash.h"

namespace guavacross::ledger {

namespace {

HeldLimits LimitsOf(const LedgerOptions& options) {
  return {.m_max_keys = options.m_max_held_keys,
          .m_max_answer_bytes = options.m_max_answer_bytes,
          .m_max_bytes_per_answer = options.m_max_bytes_per_answer};
}

}  // namespace

struct RequestLedger::Impl {
  Impl(LedgerOptions options, LedgerHooks hooks)
      : m_context{.m_options = std::move(options),
                  .m_hooks = std::move(hooks),
                  .m_held = HeldTable(LimitsOf(m_context.m_options))},
        m_caller_keys(&m_context),
        m_minted(&m_context),
        m_handover(&m_context, &m_minted),
        m_metrics(m_context.m_options.m_metrics) {}

  void Claim(const RequestKey& key, std::uint64_t fingerprint, Decide decide);
  void Finish(const RequestKey& key, const ClaimEnd& end);
  LedgerReply HowEnded(const LedgerQuestion& question);
  LedgerReply IsKnown(const LedgerQuestion& question);
  void ReportMetrics();

  LedgerContext m_context;
  CallerKeyClaims m_caller_keys;
  MintedKeyClaims m_minted;
  TableHandover m_handover;
  LedgerMetrics m_metrics;
  std::atomic<std::uint64_t> m_identities{0};
};

void RequestLedger::Impl::Claim(const RequestKey& key,
                                std::uint64_t fingerprint,
                                Decide decide) {
  Decide counted = [this, decide = std::move(decide)](ClaimDecision decision) {
    m_metrics.CountDecision(decision);
    decide(std::move(decision));
  };
  if (m_handover.has_begun()) {
    counted(Refuse(ErrorKind::kPeerUnavailable, "the instance shuts down"));
    return;
  }
  const KeyHash hash = HashKey(key);
  if (const auto identity = ParseMintedKey(key.m_key)) {
    m_minted.Claim(*identity, hash, fingerprint, std::move(counted));
  } else {
    m_caller_keys.Claim(hash, fingerprint, ParseKeyTime(key.m_key),
                        std::move(counted));
  }
  ReportMetrics();
}

void RequestLedger::Impl::Finish(const RequestKey& key, const ClaimEnd& end) {
  const KeyHash hash = HashKey(key);
  const HeldKey* held = m_context.m_held.Find(hash);
  if (held == nullptr || held->m_state != HeldState::kRunning) {
    return;
  }
  const bool is_minted = held->m_minted;
  m_context.m_held.End(hash, end);
  if (end.m_outcome == Outcome::kNotRun && !is_minted) {
    m_caller_keys.EndNotRun(hash);
  }
  ReportMetrics();
}

LedgerReply RequestLedger::Impl::HowEnded(const LedgerQuestion& question) {
  HeldKey* held = m_context.m_held.Find(question.m_key);
  if (held != nullptr && held->m_state != HeldState::kNotRun) {
    return ReplyOf(*held, question.m_fingerprint);
  }
  if (m_minted.HasPendingQuestion(question.m_key)) {
    return {.m_status = LedgerReply::Status::kInProgress};
  }
  const bool is_minted = !question.m_minter.m_name.empty();
  if (held != nullptr && (is_minted || held->m_attempt >= question.m_attempt)) {
    return {.m_status = LedgerReply::Status::kNotRun,
            .m_attempt = question.m_attempt};
  }
  if (is_minted) {
    return {.m_status = LedgerReply::Status::kNone};
  }
  return m_caller_keys.HowEnded(question);
}

LedgerReply RequestLedger::Impl::IsKnown(const LedgerQuestion& question) {
  const HeldKey* held = m_context.m_held.Find(question.m_key);
  const bool is_known =
      (held != nullptr && held->m_state != HeldState::kNotRun) ||
      m_minted.HasPendingQuestion(question.m_key) ||
      m_caller_keys.IsKnown(question.m_key);
  return {.m_status = is_known ? LedgerReply::Status::kInProgress
                               : LedgerReply::Status::kNone};
}

void RequestLedger::Impl::ReportMetrics() {
  m_metrics.Report({.m_remembered = m_caller_keys.fold().size(),
                    .m_held = m_context.m_held.size(),
                    .m_answer_bytes = m_context.m_held.answer_bytes(),
                    .m_unsettled = m_caller_keys.log().unsettled(),
                    .m_appends = m_caller_keys.log().appends()});
}

RequestLedger::RequestLedger(LedgerOptions options, LedgerHooks hooks)
    : m_impl(std::make_shared<Impl>(std::move(options), std::move(hooks))) {}

RequestLedger::~RequestLedger() = default;

void RequestLedger::Start() {
  m_impl->m_caller_keys.Start();
}

LedgerAccess RequestLedger::access() {
  const auto post = m_impl->m_context.m_hooks.m_post;
  const std::weak_ptr<Impl> weak = m_impl;
  LedgerAccess access;
  access.m_claim = [post, weak](const RequestKey& key,
                                std::uint64_t fingerprint, Decide decide) {
    post([weak, key, fingerprint, decide = std::move(decide)]() mutable {
      if (const auto impl = weak.lock()) {
        impl->Claim(key, fingerprint, std::move(decide));
      } else {
        decide(Refuse(ErrorKind::kPeerUnavailable, "the instance shuts down"));
      }
    });
  };
  access.m_finish = [post, weak](const RequestKey& key, ClaimEnd end) {
    post([weak, key, end = std::move(end)] {
      if (const auto impl = weak.lock()) {
        impl->Finish(key, end);
      }
    });
  };
  return access;
}

std::string RequestLedger::MintIdentity() {
  const LedgerOptions& options = m_impl->m_context.m_options;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      options.m_clock.m_now() - m_impl->m_minted.started());
  const std::uint64_t number =
      m_impl->m_identities.fetch_add(1, std::memory_order_relaxed);
  return FormatIdentity(
      {.m_minter = options.m_self,
       .m_minted_ms = static_cast<std::uint64_t>(age.count()),
       .m_random = util::Hash(std::to_string(number), options.m_seed)});
}

void RequestLedger::AnswerPeer(const LedgerQuestion& question,
                               std::function<void(LedgerReply)> reply) {
  switch (question.m_kind) {
    case LedgerQuestion::Kind::kHowEnded:
      reply(m_impl->HowEnded(question));
      return;
    case LedgerQuestion::Kind::kIsKnown:
      reply(m_impl->IsKnown(question));
      return;
    case LedgerQuestion::Kind::kMayRun:
      m_impl->m_minted.MayRun(question, std::move(reply));
      return;
  }
}

bool RequestLedger::TakeHandover(const LedgerHandover& part) {
  return m_impl->m_handover.Take(part);
}

void RequestLedger::HandOver(std::function<void()> done) {
  m_impl->m_handover.Begin(std::move(done));
}

bool RequestLedger::caught_up() const {
  return m_impl->m_caller_keys.log().caught_up();
}

}  // namespace guavacross::ledger
