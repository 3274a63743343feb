#ifndef GUAVACROSS_LEDGER_CLAIM_CARRIER_H_
#define GUAVACROSS_LEDGER_CLAIM_CARRIER_H_

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
class ClaimCarrier {
 public:
  /// All arguments must outlive this object.
  ClaimCarrier(const LedgerOptions* options, ClaimFold* fold, ClaimLog* log);

  void Start();

  /// Handles a record that the fold has applied.
  void OnRecord(std::uint64_t offset, const ClaimRecord& record);
  /// Updates the estimate of the log's retention: records before `first_kept`
  /// have expired.
  void OnExpired(std::uint64_t first_kept);

 private:
  // When a record was written, on this instance's monotonic clock.
  struct Mark {
    std::uint64_t m_offset = 0;
    TimePoint m_at;
  };

  void Schedule();
  void Look();
  void Carry(TimePoint now);
  Duration Interval() const;
  double Random();

  const LedgerOptions* m_options;
  ClaimFold* m_fold;
  ClaimLog* m_log;
  std::deque<Mark> m_marks;
  std::uint64_t m_first_kept = 0;
  std::optional<Duration> m_retention;
  TimePoint m_last_coverage;
  // The last check found at least as many old claims as fit into one record.
  bool m_is_behind = false;
  std::unique_ptr<Timer> m_timer;
  std::uint64_t m_random_state = 0;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CLAIM_CARRIER_H_
