#ifndef GUAVACROSS_LEDGER_CLAIM_LOG_H_
#define GUAVACROSS_LEDGER_CLAIM_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "guavacross/log_service.h"
#include "guavacross/time.h"
#include "ledger/claim_record.h"
#include "ledger/key_identity.h"

namespace guavacross::ledger {

struct ClaimLogOptions {
  InstanceId m_self;
  Clock m_clock;
  std::size_t m_max_claims_per_append = 512;
};

struct ClaimLogHooks {
  LogAccess m_log;
  /// The least time between two appends of this instance.
  std::function<Duration()> m_append_interval;
  /// Records that were read, in order.
  std::function<void(std::uint64_t offset, const ClaimRecord& record)>
      m_on_record;
  /// Records before `first_kept` have expired.
  std::function<void(std::uint64_t first_kept)> m_on_expired;
  /// A read is about to be sent.
  std::function<void()> m_on_read_sent;
  /// The log has been read to its end, as of some time since the last read was
  /// sent.
  std::function<void()> m_on_caught_up;
  /// The log has refused to append these claims.
  std::function<void(const std::vector<Claim>&)> m_on_rejected;
  /// Whether somebody still waits for a claim that is about to be appended.
  std::function<bool(const Claim&)> m_is_wanted;
};

/// Follows the claim stream and appends to it in groups.
///
/// One append is in flight at a time; what comes meanwhile goes into the next
/// record (group commit), so claims a second are not bound to appends a second.
/// An append whose answer was lost is settled by reading: its claims are
/// appended again, which does no harm, until they are read back. Control thread
/// only.
class ClaimLog {
 public:
  ClaimLog(ClaimLogOptions options, ClaimLogHooks hooks);
  ~ClaimLog();
  ClaimLog(const ClaimLog&) = delete;
  ClaimLog& operator=(const ClaimLog&) = delete;

  /// Begins to read from the first kept record.
  void Start();

  /// Queues items for the next append.
  void AddClaim(const Claim& claim);
  void AddEnd(const NotRunEnd& end);
  void AddCarried(std::vector<CarriedClaim> carried, const Coverage& coverage);

  /// The attempt of this instance's claim of `key` that is queued, being
  /// appended or unclear, and has not been read back.
  std::optional<std::uint32_t> PendingAttempt(const KeyHash& key) const;

  /// Notes that a claim has been read back, or that another claim of the same
  /// attempt came first.
  void Settle(const KeyHash& key, std::uint32_t attempt);

  /// Gives up all claims and ends that are not read back, without settling
  /// them.
  void DropPending();

  bool caught_up() const { return m_caught_up; }
  /// Claims that may still get into the log.
  std::size_t unsettled() const { return m_pending.size(); }
  std::uint64_t appends() const { return m_appends; }

 private:
  enum class Stage { kQueued, kAppending, kUnclear };
  struct Pending {
    Claim m_claim;
    Stage m_stage = Stage::kQueued;
    /// An earlier append of the claim was unclear.
    bool m_may_be_logged = false;
  };

  void Read();
  void OnBatch(const LogBatch& batch);
  void OnReadFailed();
  void ScheduleAppend();
  void Append();
  ClaimRecord TakeRecord();
  void TakeClaims(ClaimRecord* record);
  void OnAppended(const ClaimRecord& record, const AppendResult& result);
  void OnUnclear(const ClaimRecord& record);
  void OnRejected(const ClaimRecord& record);
  void ScheduleRetry();
  void RetryUnclear();
  bool HasWork() const;

  ClaimLogOptions m_options;
  ClaimLogHooks m_hooks;
  std::uint64_t m_next_offset = 0;
  bool m_caught_up = false;
  std::unique_ptr<Timer> m_read_timer;

  std::unordered_map<KeyHash, Pending, KeyHashHasher> m_pending;
  std::deque<KeyHash> m_queue;
  std::deque<NotRunEnd> m_ends;
  std::vector<CarriedClaim> m_carried;
  std::optional<Coverage> m_coverage;
  bool m_appending = false;
  TimePoint m_next_append;
  std::unique_ptr<Timer> m_append_timer;
  std::unique_ptr<Timer> m_retry_timer;
  Duration m_retry_delay{};
  std::uint64_t m_appends = 0;
  // Callbacks of the log outlive this object; they check the token first.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CLAIM_LOG_H_
