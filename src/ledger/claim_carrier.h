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

/// Appends old claims again before the log drops their records, and forgets
/// those that are past their time.
///
/// Without it, an instance that starts after a claim's record has expired would
/// let the request run again. Any instance that knows all recent claims may
/// carry them; each waits a random time and carries only what the others have
/// not. The record also says from which offset on the log holds all claims, so
/// that a new instance knows when it has seen enough.
class ClaimCarrier {
 public:
  /// All arguments must outlive the carrier.
  ClaimCarrier(const LedgerOptions* options, ClaimFold* fold, ClaimLog* log);

  void Start();

  /// Notes a record that the fold has applied.
  void OnRecord(std::uint64_t offset, const ClaimRecord& record);
  /// Learns how long the log keeps records.
  void OnExpired(std::uint64_t first_kept);

 private:
  // When a record was written, by this instance's clock.
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
  // The last look found more old claims than one record takes.
  bool m_is_behind = false;
  std::unique_ptr<Timer> m_timer;
  std::uint64_t m_random_state = 0;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CLAIM_CARRIER_H_
