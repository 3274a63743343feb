#ifndef GUAVACROSS_LEDGER_MINTED_KEY_CLAIMS_H_
#define GUAVACROSS_LEDGER_MINTED_KEY_CLAIMS_H_

#include <cstdint>
#include <map>
#include <unordered_set>
#include <vector>

#include "ledger/key_identity.h"
#include "ledger/ledger_context.h"

namespace guavacross::ledger {

/// Claims of keys that belong to a minted identity.
///
/// One instance has authority over an identity: the incarnation that minted it,
/// or the peer to which that incarnation handed the authority over. It alone
/// grants the right to run requests of the identity, without using the log. It
/// grants a request again only after the holder itself has shown that it has
/// not run the request and won't.
class MintedKeyClaims {
 public:
  explicit MintedKeyClaims(LedgerContext* context);

  /// Decides about a copy of a request that reached this instance.
  void Claim(const MintedIdentity& identity,
             const KeyHash& key,
             std::uint64_t fingerprint,
             Decide decide);

  /// Answers `kMayRun`.
  void MayRun(const LedgerQuestion& question, Reply reply);

  /// Whether a question about `key` to another instance is pending.
  bool HasPendingQuestion(const KeyHash& key) const {
    return m_pending_questions.contains(key);
  }

  /// Takes over the authority over identities of `minter`, whose incarnation
  /// started `age` ago.
  void TakeAuthority(const InstanceId& minter, Duration age);

  /// Gives up all authority. Returns the minters that it covered, with the
  /// start time of each incarnation.
  std::map<InstanceId, TimePoint> ReleaseAuthority();

  /// Replies `kInProgress` instead of granting until `ReleaseAuthority`.
  void PauseGranting() { m_granting_paused = true; }

  TimePoint started() const { return m_started; }

 private:
  void AskMinter(const LedgerQuestion& question, Decide decide);
  void AskForSuccessor(const LedgerQuestion& question, Decide decide);
  void OnReply(const LedgerQuestion& question,
               const LedgerReply& reply,
               const Decide& decide);
  bool IsExpired(TimePoint minter_started, std::uint64_t minted_ms) const;
  void Grant(const LedgerQuestion& question,
             std::uint32_t attempt,
             const Reply& reply);
  void AskHolder(const LedgerQuestion& question,
                 const HeldKey& held,
                 Reply reply);
  void OnHolderReply(const LedgerQuestion& question,
                     std::uint32_t attempt,
                     LedgerReply holder_reply,
                     const Reply& reply);

  LedgerContext* m_context;
  TimePoint m_started;
  // Minters over whose identities this instance has authority, with the start
  // time of each incarnation on this instance's clock.
  std::map<InstanceId, TimePoint> m_authority_for;
  bool m_granting_paused = false;
  std::unordered_set<KeyHash, KeyHashHasher> m_pending_questions;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_MINTED_KEY_CLAIMS_H_
