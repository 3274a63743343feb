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

/// The holder of a key, according to the claim stream.
struct ClaimView {
  std::uint64_t m_fingerprint = 0;
  InstanceId m_holder;
  std::uint32_t m_attempt = 0;
  /// The attempt ended without running the request: the next attempt may be
  /// claimed.
  bool m_ended_not_run = false;

  bool operator==(const ClaimView&) const = default;
};

/// The time at which a record is applied, on the monotonic and the wall clock.
struct ApplyTime {
  TimePoint m_now;
  WallTime m_wall_now;
};

struct FoldLimits {
  Duration m_max_key_retention = std::chrono::hours(24);
  Duration m_min_key_retention = std::chrono::hours(1);
  std::size_t m_max_keys = 262'144;
};

/// Folds the records of the claim stream, in order, into the current holder of
/// each key.
///
/// The first claim of attempt 1 holds a key; attempt N + 1 can be claimed only
/// after the holder of attempt N has ended it as not run. These rules depend on
/// the log alone, so instances that have applied the same records agree. Clocks
/// only affect when a key is forgotten, which is never earlier than
/// `m_min_key_retention` after it was claimed. Not thread safe; no I/O.
class ClaimFold {
 public:
  explicit ClaimFold(FoldLimits limits = {});

  /// The effects of a record.
  struct Changes {
    /// Keys that the record's claimant holds from now on.
    std::vector<KeyHash> m_granted;
    /// Keys whose attempt has ended as not run.
    std::vector<KeyHash> m_ended;
  };

  /// Applies the record at `offset`. Offsets must increase.
  Changes Apply(std::uint64_t offset,
                const ClaimRecord& record,
                const ApplyTime& time);

  /// Handles the expiry of the records before `first_kept`. If some of them
  /// were never applied, discards all keys.
  ///
  /// @return true once per gap: if records were missed for the first time since
  /// a record was applied.
  bool HandleExpired(std::uint64_t first_kept, TimePoint now);

  std::optional<ClaimView> Find(const KeyHash& key) const;

  /// Removes keys that are older than `m_max_key_retention`, and, while there
  /// are `m_max_keys` or more, the oldest keys that are at least
  /// `m_min_key_retention` old.
  void Forget(TimePoint now);

  /// All claims made since this time are known; `TimePoint::min()` if all
  /// claims since the start of the stream are known.
  TimePoint known_since() const { return m_known_since; }

  /// Whether all claims made within the last `m_min_key_retention` are known.
  bool IsComplete(TimePoint now) const {
    return m_known_since == TimePoint::min() ||
           m_known_since <= now - m_limits.m_min_key_retention;
  }

  /// Whether there is room for another key.
  bool HasRoom() const { return m_index.size() < m_limits.m_max_keys; }
  std::size_t size() const { return m_index.size(); }

  /// Up to `max` claims whose newest record is before `before_offset`.
  std::vector<CarriedClaim> ClaimsBefore(std::uint64_t before_offset,
                                         std::size_t max,
                                         TimePoint now) const;

  /// The coverage that a record written by this instance may state; see
  /// `Coverage`.
  Coverage CurrentCoverage(TimePoint now) const;

 private:
  void ApplyEnd(const NotRunEnd& end,
                const InstanceId& claimant,
                Changes* changes);
  void ApplyClaim(const Claim& claim,
                  const InstanceId& claimant,
                  TimePoint claimed_at,
                  Changes* changes);
  void ApplyCarried(const CarriedClaim& carried, TimePoint recorded);
  void ApplyCoverage(const Coverage& coverage, TimePoint recorded);
  std::uint32_t HolderIndex(const InstanceId& holder);
  std::uint32_t ToStoredOffset(std::uint64_t offset) const;
  std::int32_t ToSeconds(TimePoint time) const;
  Duration AgeOf(const ClaimEntry& entry, TimePoint now) const;

  FoldLimits m_limits;
  ClaimIndex m_index;
  std::vector<InstanceId> m_holders;
  bool m_started = false;
  TimePoint m_epoch;
  /// Set if records before the next one to be applied expired unread.
  bool m_has_gap = false;
  /// No record from this offset on was missed.
  std::uint64_t m_first_offset = 0;
  std::uint64_t m_offset = 0;
  TimePoint m_known_since = TimePoint::min();
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CLAIM_FOLD_H_
