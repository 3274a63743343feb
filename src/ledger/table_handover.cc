#include "ledger/table_handover.h"

#include <chrono>
#include <memory>
#include <utility>

#include "util/log.h"

namespace guavacross::ledger {

namespace {

constexpr std::size_t kClaimsPerPart = 512;
constexpr std::size_t kAnswerBytesPerPart = 256 << 10;

HandedClaim ToHanded(const KeyHash& key, const HeldKey& held) {
  HandedClaim claim{.m_key = key,
                    .m_fingerprint = held.m_fingerprint,
                    .m_attempt = held.m_attempt,
                    .m_minted = held.m_minted};
  if (held.m_given_to != nullptr) {
    claim.m_given_to = *held.m_given_to;
  }
  if (held.m_state == HeldState::kNotRun) {
    claim.m_end.m_outcome = Outcome::kNotRun;
  } else if (held.m_state == HeldState::kDone && held.m_answer != nullptr) {
    claim.m_end = {.m_outcome = Outcome::kDone, .m_answer = *held.m_answer};
  }
  return claim;
}

}  // namespace

TableHandover::TableHandover(LedgerContext* context, MintedKeyClaims* minted)
    : m_context(context), m_minted(minted) {}

void TableHandover::Begin(std::function<void()> done) {
  if (m_has_begun) {
    return;
  }
  m_has_begun = true;
  m_done = std::move(done);
  m_minted->PauseGranting();
  for (const Member& member : m_context->m_hooks.m_members()) {
    if (member.m_state == MemberState::kLive) {
      m_peers.push_back(member.m_id);
    }
  }
  m_parts = MakeParts();
  SendNext();
}

std::vector<LedgerHandover> TableHandover::MakeParts() const {
  std::vector<LedgerHandover> parts;
  std::size_t answer_bytes = 0;
  const auto start_part = [&] {
    parts.push_back({.m_from = m_context->m_options.m_self});
    answer_bytes = 0;
  };
  start_part();
  m_context->m_held.ForEach([&](const KeyHash& key, const HeldKey& held) {
    if (parts.back().m_claims.size() == kClaimsPerPart ||
        answer_bytes > kAnswerBytesPerPart) {
      start_part();
    }
    parts.back().m_claims.push_back(ToHanded(key, held));
    answer_bytes += held.m_answer == nullptr ? 0 : SizeOf(*held.m_answer);
  });
  return parts;
}

void TableHandover::SendNext() {
  if (m_peers.empty()) {
    util::LogWarning(
        "ledger", "handover failed: no live peer accepted the table of claims");
    m_done();
    return;
  }
  if (m_next_part == m_parts.size()) {
    SendLast();
    return;
  }
  m_context->m_hooks.m_hand_over(m_peers.front(), m_parts[m_next_part],
                                 m_context->WhileAlive([this](bool taken) {
                                   if (taken) {
                                     ++m_next_part;
                                     SendNext();
                                   } else {
                                     TryNextPeer();
                                   }
                                 }));
}

void TableHandover::TryNextPeer() {
  m_peers.pop_front();
  m_next_part = 0;
  SendNext();
}

void TableHandover::SendLast() {
  LedgerHandover last{.m_from = m_context->m_options.m_self, .m_last = true};
  const TimePoint now = m_context->m_options.m_clock.m_now();
  for (const auto& [minter, started] : m_minted->ReleaseAuthority()) {
    last.m_minters.push_back(minter);
    last.m_ages_ms.push_back(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - started)
            .count()));
  }
  const InstanceId peer = m_peers.front();
  m_context->m_hooks.m_hand_over(
      peer, last, m_context->WhileAlive([this, peer](bool taken) {
        util::LogChange(
            "ledger", "last part of the table of claims sent to a peer",
            {{"peer", peer.m_name}, {"confirmed", taken ? "yes" : "no"}});
        m_done();
      }));
}

bool TableHandover::Take(const LedgerHandover& part) {
  if (m_has_begun || part.m_ages_ms.size() != part.m_minters.size()) {
    return false;
  }
  for (const HandedClaim& claim : part.m_claims) {
    if (!TakeClaim(claim)) {
      return false;
    }
  }
  for (std::size_t i = 0; i < part.m_minters.size() && part.m_last; ++i) {
    m_minted->TakeAuthority(part.m_minters[i],
                            std::chrono::milliseconds(part.m_ages_ms[i]));
  }
  return true;
}

bool TableHandover::TakeClaim(const HandedClaim& claim) {
  const InstanceId& self = m_context->m_options.m_self;
  const HeldKey* own = m_context->m_held.Find(claim.m_key);
  const bool is_own_newer =
      own != nullptr &&
      (own->m_state != HeldState::kNotRun || own->m_attempt >= claim.m_attempt);
  if (is_own_newer) {
    return true;
  }
  const TimePoint now = m_context->m_options.m_clock.m_now();
  if (!m_context->m_held.MakeRoom(now)) {
    return false;
  }
  HeldKey held{.m_fingerprint = claim.m_fingerprint,
               .m_attempt = claim.m_attempt,
               .m_state = HeldState::kGrantedToPeer,
               .m_minted = claim.m_minted};
  if (claim.m_minted) {
    held.m_keep_until = now + m_context->m_options.m_identity_lifetime;
  }
  ClaimEnd end = claim.m_end;
  bool is_granted = claim.m_given_to.has_value();
  if (is_granted && *claim.m_given_to == self &&
      !m_minted->HasPendingQuestion(claim.m_key)) {
    // The grant never reached this instance, so the request was not run.
    is_granted = false;
    end = {.m_outcome = Outcome::kNotRun};
  }
  if (is_granted) {
    held.m_given_to = std::make_unique<InstanceId>(*claim.m_given_to);
  }
  m_context->m_held.Put(claim.m_key, std::move(held));
  if (!is_granted) {
    m_context->m_held.End(claim.m_key, end);
  }
  return true;
}

}  // namespace guavacross::ledger
