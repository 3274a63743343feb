#ifndef GUAVACROSS_LEDGER_CLAIM_CARRY_FORWARD_H_
#define GUAVACROSS_LEDGER_CLAIM_CARRY_FORWARD_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "guavacross/time.h"
#include "ledger/claim_fold.h"
#include "ledger/claim_log.h"
#include "ledger/request_ledger.h"

namespace guavacross::ledger {

/// Carries old claims forward: appends them again before their records expire
/// from the log. Removes claims that no longer need to be remembered.
///
/// Without it, an instance that starts after a claim's record has expired would
/// let the request run again. Any instance that knows all recent claims may
/// carry them forward; each waits a random time and carries only those that the
/// others have not. The record also states a `Coverage`: the offset from which
/// on the log contains all claims, so that a new instance knows when it has
/// read enough.
class ClaimCarryForward {
 public:
  /// All arguments must outlive this object.
  ClaimCarryForward(const LedgerOptions* options,
                    ClaimFold* fold,
                    ClaimLog* log);

  void Start();

  /// Handles a record that the fold has applied.
  void OnRecord(std::uint64_t offset, const ClaimRecord& record);
  /// Updates the estimate of the log's retention: records before `first_kept`
  /// have expired.
  void OnExpired(std::uint64_t first_kept);

 private:
  // When a record was written, on this instance's monotonic clock.
  struct OffsetTime {
    std::uint64_t m_offset = 0;
    TimePoint m_written_at;
  };

  void Schedule();
  void CheckForOldClaims();
  void CarryForward(TimePoint now);
  Duration CarryInterval() const;
  double Random();

  const LedgerOptions* m_options;
  ClaimFold* m_fold;
  ClaimLog* m_log;
  std::deque<OffsetTime> m_offset_times;
  std::uint64_t m_first_kept = 0;
  std::optional<Duration> m_retention;
  TimePoint m_last_coverage_at;
  // The last check found at least as many old claims as fit into one record.
  bool m_has_more = false;
  std::unique_ptr<Timer> m_timer;
  std::uint64_t m_random_state = 0;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CLAIM_CARRY_FORWARD_H_
