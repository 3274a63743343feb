#ifndef GUAVACROSS_LEDGER_CLAIM_FOLD_H_
#define GUAVACROSS_LEDGER_CLAIM_FOLD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "guavacross/time.h"
#include "ledger/claim_index.h"
#include "ledger/claim_record.h"

namespace guavacross::ledger {

/// Who holds a key, as the claim stream decides.
struct ClaimView {
  std::uint64_t m_fingerprint = 0;
  InstanceId m_holder;
  std::uint32_t m_attempt = 0;
  /// The attempt ended without a run: the next attempt may be claimed.
  bool m_ended_not_run = false;

  bool operator==(const ClaimView&) const = default;
};

/// The time at which a record is applied, on both clocks.
struct FoldTime {
  TimePoint m_now;
  WallTime m_wall_now;
};

struct FoldLimits {
  Duration m_remember = std::chrono::hours(24);
  Duration m_remember_at_least = std::chrono::hours(1);
  std::size_t m_max_keys = 262'144;
};

/// Applies the records of the claim stream in order and knows who holds each
/// key.
///
/// The first claim of attempt 1 holds a key; attempt N + 1 can be claimed only
/// after the holder of attempt N has ended it as not run. These rules depend on
/// the log alone, so instances that have applied the same records agree. Times
/// only decide when a key is forgotten, and that never earlier than
/// `m_remember_at_least` after it was claimed. Not thread safe; no I/O.
class ClaimFold {
 public:
  explicit ClaimFold(FoldLimits limits = {});

  /// What applying a record changed.
  struct Changes {
    /// Keys whose claim by this record holds from now on.
    std::vector<KeyHash> m_granted;
    /// Keys whose attempt has ended as not run.
    std::vector<KeyHash> m_ended;
  };

  /// Applies the record at `offset`. Offsets must rise.
  Changes Apply(std::uint64_t offset,
                const ClaimRecord& record,
                const FoldTime& time);

  /// Notes that records before `first_kept` have expired. If some of them were
  /// never applied, the fold starts anew.
  ///
  /// @return whether records were missed for the first time since then.
  bool NoteExpired(std::uint64_t first_kept, TimePoint now);

  std::optional<ClaimView> Find(const KeyHash& key) const;

  /// Forgets keys that are older than `m_remember`, and the oldest ones while
  /// there are more than `m_max_keys`, down to `m_remember_at_least`.
  void Forget(TimePoint now);

  /// All claims made since this time are known; `TimePoint::min()` if all since
  /// the stream began are.
  TimePoint known_since() const { return m_known_since; }

  /// Whether all keys of the last `m_remember_at_least` are known.
  bool IsComplete(TimePoint now) const {
    return m_known_since == TimePoint::min() ||
           m_known_since <= now - m_limits.m_remember_at_least;
  }

  /// Whether a new claim has room.
  bool HasRoom() const { return m_index.size() < m_limits.m_max_keys; }
  std::size_t size() const { return m_index.size(); }

  /// Up to `max` claims whose newest record is before `before_offset`.
  std::vector<CarriedClaim> ClaimsBefore(std::uint64_t before_offset,
                                         std::size_t max,
                                         TimePoint now) const;

  /// What this fold can vouch for; see `Coverage`.
  Coverage CoverageNow(TimePoint now) const;

 private:
  void ApplyEnd(const NotRunEnd& end,
                const InstanceId& claimant,
                Changes* changes);
  void ApplyClaim(const Claim& claim,
                  const InstanceId& claimant,
                  TimePoint born,
                  Changes* changes);
  void ApplyCarried(const CarriedClaim& carried, TimePoint recorded);
  void ApplyCoverage(const Coverage& coverage, TimePoint recorded);
  std::uint32_t HolderIndex(const InstanceId& holder);
  std::uint32_t RelativeOffset(std::uint64_t offset) const;
  std::int32_t ToSeconds(TimePoint time) const;
  Duration AgeOf(const ClaimEntry& entry, TimePoint now) const;

  FoldLimits m_limits;
  ClaimIndex m_index;
  std::vector<InstanceId> m_holders;
  bool m_started = false;
  TimePoint m_epoch;
  /// Set when records expired unseen before the next one to be applied.
  bool m_gap = false;
  /// The first offset since which no record was missed.
  std::uint64_t m_first_offset = 0;
  std::uint64_t m_offset = 0;
  TimePoint m_known_since = TimePoint::min();
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CLAIM_FOLD_H_
