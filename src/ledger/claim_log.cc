#include "ledger/claim_log.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "util/handle.h"

namespace guavacross::ledger {

namespace {

constexpr Duration kReadWait = std::chrono::seconds(1);
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kAppendRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kUnclearRetryDelay = std::chrono::milliseconds(250);
constexpr Duration kMaxUnclearRetryDelay = std::chrono::seconds(4);

std::uint64_t ToMilliseconds(WallTime time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count());
}

}  // namespace

ClaimLog::ClaimLog(ClaimLogOptions options, ClaimLogHooks hooks)
    : m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_retry_delay(kUnclearRetryDelay) {}

ClaimLog::~ClaimLog() = default;

void ClaimLog::Start() {
  Read();
}

void ClaimLog::AddClaim(const Claim& claim) {
  const auto [it, is_new] =
      m_pending.try_emplace(claim.m_key, Pending{.m_claim = claim});
  if (!is_new && it->second.m_claim.m_attempt >= claim.m_attempt) {
    return;
  }
  it->second = Pending{.m_claim = claim};
  m_queue.push_back(claim.m_key);
  ScheduleAppend();
}

void ClaimLog::AddEnd(const NotRunEnd& end) {
  m_ends.push_back(end);
  ScheduleAppend();
}

void ClaimLog::AddCarried(std::vector<CarriedClaim> carried,
                          const Coverage& coverage) {
  m_carried = std::move(carried);
  m_coverage = coverage;
  ScheduleAppend();
}

std::optional<std::uint32_t> ClaimLog::PendingAttempt(
    const KeyHash& key) const {
  const auto it = m_pending.find(key);
  if (it == m_pending.end()) {
    return std::nullopt;
  }
  return it->second.m_claim.m_attempt;
}

void ClaimLog::Settle(const KeyHash& key, std::uint32_t attempt) {
  const auto it = m_pending.find(key);
  if (it != m_pending.end() && it->second.m_claim.m_attempt <= attempt) {
    m_pending.erase(it);
  }
}

void ClaimLog::Read() {
  m_read_timer.reset();
  m_hooks.m_on_read_sent();
  m_hooks.m_log.m_read(
      kClaimStream, m_next_offset, m_caught_up ? kReadWait : Duration::zero(),
      [this, alive = std::weak_ptr<int>(m_alive)](Result<LogBatch> batch) {
        if (alive.expired()) {
          return;
        }
        if (batch) {
          OnBatch(batch.value());
        } else {
          OnReadFailed();
        }
      });
}

void ClaimLog::OnBatch(const LogBatch& batch) {
  if (batch.m_first_kept > 0) {
    m_hooks.m_on_expired(batch.m_first_kept);
  }
  const std::weak_ptr<int> alive = m_alive;
  for (const LogRecord& record : batch.m_records) {
    if (record.m_offset < m_next_offset) {
      continue;
    }
    m_next_offset = record.m_offset + 1;
    const auto decoded =
        util::Catch([&] { return DecodeClaimRecord(record.m_data); });
    if (decoded) {
      m_hooks.m_on_record(record.m_offset, *decoded.m_value);
    }
    if (alive.expired()) {
      return;
    }
  }
  m_next_offset = std::max(m_next_offset, batch.m_first_kept);
  if (m_next_offset >= batch.m_end) {
    m_caught_up = true;
    m_hooks.m_on_caught_up();
  }
  // Scheduled instead of called, as a log that answers synchronously would
  // cause unbounded recursion.
  m_read_timer =
      m_options.m_clock.m_call_after(Duration::zero(), [this] { Read(); });
}

void ClaimLog::OnReadFailed() {
  m_read_timer =
      m_options.m_clock.m_call_after(kReadRetryDelay, [this] { Read(); });
}

bool ClaimLog::HasWork() const {
  return !m_queue.empty() || !m_ends.empty() || m_coverage.has_value();
}

void ClaimLog::ScheduleAppend() {
  if (m_appending || m_append_timer != nullptr || !HasWork()) {
    return;
  }
  const Duration delay = std::max<Duration>(
      m_next_append - m_options.m_clock.m_now(), Duration::zero());
  m_append_timer = m_options.m_clock.m_call_after(delay, [this] { Append(); });
}

void ClaimLog::Append() {
  m_append_timer.reset();
  auto record = std::make_shared<const ClaimRecord>(TakeRecord());
  if (record->m_claims.empty() && record->m_ends.empty() &&
      !record->m_coverage) {
    ScheduleAppend();
    return;
  }
  m_appending = true;
  ++m_appends;
  m_next_append = m_options.m_clock.m_now() + m_hooks.m_append_interval();
  m_hooks.m_log.m_append(
      kClaimStream, EncodeClaimRecord(*record),
      [this, record, alive = std::weak_ptr<int>(m_alive)](AppendResult result) {
        if (!alive.expired()) {
          OnAppended(*record, result);
        }
      });
}

ClaimRecord ClaimLog::TakeRecord() {
  ClaimRecord record{
      .m_claimant = m_options.m_self,
      .m_wall_ms = ToMilliseconds(m_options.m_clock.m_wall_now())};
  while (!m_ends.empty() &&
         record.m_ends.size() < m_options.m_max_claims_per_append) {
    record.m_ends.push_back(m_ends.front());
    m_ends.pop_front();
  }
  TakeClaims(&record);
  record.m_carried = std::exchange(m_carried, {});
  record.m_coverage = std::exchange(m_coverage, std::nullopt);
  return record;
}

void ClaimLog::TakeClaims(ClaimRecord* record) {
  while (!m_queue.empty() &&
         record->m_claims.size() < m_options.m_max_claims_per_append) {
    const KeyHash key = m_queue.front();
    m_queue.pop_front();
    const auto it = m_pending.find(key);
    if (it == m_pending.end() || it->second.m_stage != Stage::kQueued) {
      continue;
    }
    // A claim that may be in the log is appended again until it is read back,
    // even if no request waits for it any more.
    if (!it->second.m_may_be_logged &&
        !m_hooks.m_has_waiter(it->second.m_claim)) {
      m_pending.erase(it);
      continue;
    }
    it->second.m_stage = Stage::kAppending;
    record->m_claims.push_back(it->second.m_claim);
  }
}

void ClaimLog::OnAppended(const ClaimRecord& record,
                          const AppendResult& result) {
  m_appending = false;
  if (result.m_end == AppendEnd::kAppended) {
    m_retry_delay = kUnclearRetryDelay;
    ScheduleAppend();
    return;
  }
  m_next_append =
      std::max(m_next_append, m_options.m_clock.m_now() + kAppendRetryDelay);
  if (result.m_end == AppendEnd::kUnclear) {
    OnUnclear(record);
  } else {
    OnRejected(record);
  }
}

void ClaimLog::OnUnclear(const ClaimRecord& record) {
  for (const Claim& claim : record.m_claims) {
    const auto it = m_pending.find(claim.m_key);
    if (it != m_pending.end() && it->second.m_claim == claim) {
      it->second.m_stage = Stage::kUnclear;
      it->second.m_may_be_logged = true;
    }
  }
  // A duplicate end has no effect.
  m_ends.insert(m_ends.begin(), record.m_ends.begin(), record.m_ends.end());
  ScheduleRetry();
  ScheduleAppend();
}

void ClaimLog::OnRejected(const ClaimRecord& record) {
  m_ends.insert(m_ends.begin(), record.m_ends.begin(), record.m_ends.end());
  for (const Claim& claim : record.m_claims) {
    const auto it = m_pending.find(claim.m_key);
    if (it == m_pending.end() || it->second.m_claim != claim) {
      continue;
    }
    if (it->second.m_may_be_logged) {
      it->second.m_stage = Stage::kUnclear;
      ScheduleRetry();
    } else {
      m_pending.erase(it);
    }
  }
  ScheduleAppend();
  m_hooks.m_on_rejected(record.m_claims);
}

void ClaimLog::ScheduleRetry() {
  if (m_retry_timer != nullptr) {
    return;
  }
  m_retry_timer =
      m_options.m_clock.m_call_after(m_retry_delay, [this] { RetryUnclear(); });
  m_retry_delay = std::min(m_retry_delay * 2, kMaxUnclearRetryDelay);
}

void ClaimLog::RetryUnclear() {
  m_retry_timer.reset();
  for (auto& [key, pending] : m_pending) {
    if (pending.m_stage == Stage::kUnclear) {
      pending.m_stage = Stage::kQueued;
      m_queue.push_back(key);
    }
  }
  ScheduleAppend();
}

void ClaimLog::DropPending() {
  m_pending.clear();
  m_queue.clear();
  m_ends.clear();
}

}  // namespace guavacross::ledger
