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
  /// Returns the minimum time between two appends of this instance.
  std::function<Duration()> m_append_interval;
  /// Called for each record read, in the order of the log.
  std::function<void(std::uint64_t offset, const ClaimRecord& record)>
      m_on_record;
  /// Called with each batch read, once records have expired: those before
  /// `first_kept`.
  std::function<void(std::uint64_t first_kept)> m_on_expired;
  /// Called before a read is sent.
  std::function<void()> m_on_read_sent;
  /// Called when the log has been read to its end, as of some time after the
  /// last read was sent.
  std::function<void()> m_on_caught_up;
  /// Called when the log has rejected the append of these claims.
  std::function<void(const std::vector<Claim>&)> m_on_rejected;
  /// Returns whether a request still waits for a claim that is about to be
  /// appended.
  std::function<bool(const Claim&)> m_has_waiter;
};

/// Reads the claim stream and appends to it with group commit.
///
/// One append is in flight at a time; claims that arrive meanwhile go into the
/// next record, so the rate of claims isn't limited by the rate of appends. If
/// the result of an append is unknown, its claims are appended again until they
/// are read back; duplicates have no effect. Control thread only.
class ClaimLog {
 public:
  ClaimLog(ClaimLogOptions options, ClaimLogHooks hooks);
  ~ClaimLog();
  ClaimLog(const ClaimLog&) = delete;
  ClaimLog& operator=(const ClaimLog&) = delete;

  /// Starts reading at the first kept record.
  void Start();

  /// Queues items for the next append.
  void AddClaim(const Claim& claim);
  void AddEnd(const NotRunEnd& end);
  void AddCarried(std::vector<CarriedClaim> carried, const Coverage& coverage);

  /// The attempt of this instance's claim of `key` that has not been read back:
  /// it is queued or being appended, or the result of its append is unknown.
  std::optional<std::uint32_t> PendingAttempt(const KeyHash& key) const;

  /// Removes the pending claim of `key` up to `attempt`: it has been read back,
  /// or another claim of the same attempt came first.
  void Settle(const KeyHash& key, std::uint32_t attempt);

  /// Discards all pending claims and queued ends without waiting until they are
  /// read back.
  void DropPending();

  bool caught_up() const { return m_caught_up; }
  /// Number of pending claims, which may still get into the log.
  std::size_t unsettled() const { return m_pending.size(); }
  std::uint64_t appends() const { return m_appends; }

 private:
  enum class Stage { kQueued, kAppending, kUnclear };
  struct Pending {
    Claim m_claim;
    Stage m_stage = Stage::kQueued;
    /// The result of an earlier append of the claim is unknown.
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
  // The log's callbacks may outlive this object; they check this token first.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CLAIM_LOG_H_
