#include "ledger/ledger_context.h"

#include <utility>

namespace guavacross::ledger {

HolderState StateOfHolder(const LedgerContext& context,
                          const InstanceId& holder) {
  if (holder.m_name == context.m_options.m_self.m_name) {
    return HolderState::kGone;
  }
  for (const Member& member : context.m_hooks.m_members()) {
    if (member.m_id.m_name != holder.m_name) {
      continue;
    }
    const bool is_gone = member.m_id.m_incarnation > holder.m_incarnation ||
                         (member.m_id.m_incarnation == holder.m_incarnation &&
                          member.m_state == MemberState::kDead);
    return is_gone ? HolderState::kGone : HolderState::kReachable;
  }
  return HolderState::kGone;
}

ClaimDecision Refuse(ErrorKind kind, std::string text) {
  return {.m_kind = ClaimDecision::Kind::kRefuse,
          .m_error = {.m_kind = kind, .m_text = std::move(text)}};
}

ClaimDecision ToDecision(const LedgerReply& reply) {
  switch (reply.m_status) {
    case LedgerReply::Status::kGranted:
      return {.m_kind = ClaimDecision::Kind::kRun};
    case LedgerReply::Status::kDone:
      return {.m_kind = ClaimDecision::Kind::kReplay,
              .m_answer = reply.m_answer};
    case LedgerReply::Status::kInProgress:
      return Refuse(ErrorKind::kKeyInProgress,
                    "another copy of the request is in progress");
    case LedgerReply::Status::kConflict:
      return Refuse(ErrorKind::kKeyConflict,
                    "the key was used for another request");
    case LedgerReply::Status::kExpired:
      return Refuse(ErrorKind::kKeyExpired,
                    "the key is older than keys are remembered");
    case LedgerReply::Status::kFull:
      return Refuse(ErrorKind::kQueueFull, "the ledger is full");
    case LedgerReply::Status::kUnreachable:
      return Refuse(ErrorKind::kPeerUnavailable,
                    "the instance that decides about the key can't be reached");
    case LedgerReply::Status::kNone:
    case LedgerReply::Status::kNotRun:
    case LedgerReply::Status::kUnknown:
      break;
  }
  return Refuse(ErrorKind::kOutcomeLost,
                "the request may have run; its answer is not known");
}

LedgerReply ReplyOf(const HeldKey& held, std::uint64_t fingerprint) {
  LedgerReply reply{.m_attempt = held.m_attempt};
  if (held.m_fingerprint != fingerprint) {
    reply.m_status = LedgerReply::Status::kConflict;
    return reply;
  }
  switch (held.m_state) {
    case HeldState::kRunning:
    case HeldState::kGrantedToPeer:
      reply.m_status = LedgerReply::Status::kInProgress;
      break;
    case HeldState::kDone:
      reply.m_status = LedgerReply::Status::kUnknown;
      if (held.m_answer != nullptr) {
        reply.m_status = LedgerReply::Status::kDone;
        reply.m_answer = *held.m_answer;
      }
      break;
    case HeldState::kUnknown:
      reply.m_status = LedgerReply::Status::kUnknown;
      break;
    case HeldState::kNotRun:
      reply.m_status = LedgerReply::Status::kNotRun;
      break;
  }
  return reply;
}

void AskPeers(const LedgerContext& context,
              const std::vector<InstanceId>& peers,
              const LedgerQuestion& question,
              std::function<void(std::vector<LedgerReply>)> done) {
  struct PendingReplies {
    std::vector<LedgerReply> m_replies;
    std::size_t m_outstanding = 0;
    std::function<void(std::vector<LedgerReply>)> m_done;
  };
  if (peers.empty()) {
    done({});
    return;
  }
  auto pending = std::make_shared<PendingReplies>();
  pending->m_replies.resize(peers.size());
  pending->m_outstanding = peers.size();
  pending->m_done = std::move(done);
  for (std::size_t i = 0; i < peers.size(); ++i) {
    context.m_hooks.m_ask(peers[i], question,
                          context.WhileAlive([pending, i](LedgerReply reply) {
                            pending->m_replies[i] = std::move(reply);
                            if (--pending->m_outstanding == 0) {
                              pending->m_done(std::move(pending->m_replies));
                            }
                          }));
  }
}

std::vector<InstanceId> MembersToAsk(const LedgerContext& context,
                                     MemberScope scope) {
  std::vector<InstanceId> peers;
  for (const Member& member : context.m_hooks.m_members()) {
    if (scope == MemberScope::kAll || member.m_state != MemberState::kDead) {
      peers.push_back(member.m_id);
    }
  }
  return peers;
}

}  // namespace guavacross::ledger
