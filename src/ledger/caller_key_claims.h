#ifndef GUAVACROSS_LEDGER_CALLER_KEY_CLAIMS_H_
#define GUAVACROSS_LEDGER_CALLER_KEY_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "guavacross/time.h"
#include "ledger/claim_carry_forward.h"
#include "ledger/claim_fold.h"
#include "ledger/claim_log.h"
#include "ledger/ledger_context.h"

namespace guavacross::ledger {

/// Claims of keys that callers chose themselves: the first claim in the log
/// holds the key.
///
/// A request runs only after this instance has read its own claim back as the
/// first one. If no request waits for a claim any more when it is read back, it
/// is ended as not run, so that a later copy can claim the next attempt.
class CallerKeyClaims {
 public:
  explicit CallerKeyClaims(LedgerContext* context);

  /// Starts reading the claim stream.
  void Start();

  /// Decides about a copy of a request that reached this instance.
  ///
  /// @param key_time when the caller made the key, if the key contains it.
  void Claim(const KeyHash& key,
             std::uint64_t fingerprint,
             std::optional<WallTime> key_time,
             Decide decide);

  /// Appends to the log that this instance's attempt of a key was not run.
  void EndNotRun(const KeyHash& key);

  /// Answers `kHowEnded` for a key that is missing from the table of held keys
  /// or not run according to it.
  LedgerReply HowEnded(const LedgerQuestion& question) const;

  /// Whether a copy of the request waits here, or the log shows a holder. If
  /// not, claims of the key are blocked on this instance for a short time, so
  /// that the asker can tell its caller that the request has not run.
  bool IsKnown(const KeyHash& key);

  const ClaimFold& fold() const { return m_fold; }
  const ClaimLog& log() const { return m_log; }

 private:
  struct Waiter {
    std::uint64_t m_fingerprint = 0;
    std::optional<WallTime> m_key_time;
    Decide m_decide;
    TimePoint m_deadline;
    /// A claim was queued for this waiter, so it may use the grant.
    bool m_has_claimed = false;
    std::unique_ptr<Timer> m_timer;
  };
  using Waiters = std::list<Waiter>;

  // Whether a waiter still waits for a decision.
  enum class EvaluateResult { kWait, kDone };

  void Enqueue(const KeyHash& key, Waiter waiter);
  void ReEvaluate(const KeyHash& key);
  EvaluateResult Evaluate(const KeyHash& key, Waiter* waiter);
  EvaluateResult ClaimAttempt(const KeyHash& key,
                              std::uint32_t attempt,
                              Waiter* waiter);
  std::optional<ClaimDecision> CheckAge(const Waiter& waiter) const;
  void AskHolder(const KeyHash& key, const ClaimView& view, Waiter* waiter);
  void OnHolderReply(const KeyHash& key,
                     const LedgerReply& reply,
                     Waiter waiter);
  void AskForHandover(const KeyHash& key, std::uint32_t attempt, Waiter waiter);
  void OnTimeout(const KeyHash& key, Waiters::iterator waiter);
  void RefuseAll(const KeyHash& key, const std::string& text);
  void RefuseUnsettled(const KeyHash& key, Waiter waiter, std::string text);
  std::set<InstanceId> MemberIds() const;
  bool MembersHaveChanged() const;
  bool IsBlocked(const KeyHash& key);

  void OnRecord(std::uint64_t offset, const ClaimRecord& record);
  void OnExpired(std::uint64_t first_kept);
  void OnCaughtUp();
  void OnOwnGrant(const KeyHash& key, const ClaimView& view);
  bool HasWaiter(const KeyHash& key) const;
  Duration AppendInterval() const;

  LedgerContext* m_context;
  ClaimFold m_fold;
  ClaimLog m_log;
  std::unordered_map<KeyHash, Waiters, KeyHashHasher> m_waiting;
  int m_pending_not_run_checks = 0;

  ClaimCarryForward m_carry_forward;
  // The other instances when the last read was sent, and when the last read
  // that reached the log's end was sent.
  std::set<InstanceId> m_members_at_read;
  std::set<InstanceId> m_members_at_last_end;
  // Keys that were reported to a peer as unknown here, and the time until which
  // they may not be claimed.
  std::unordered_map<KeyHash, TimePoint, KeyHashHasher> m_blocked_until;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CALLER_KEY_CLAIMS_H_
