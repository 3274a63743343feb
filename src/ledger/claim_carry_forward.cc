#include "ledger/claim_carry_forward.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "util/hash.h"

namespace guavacross::ledger {

namespace {

constexpr Duration kMaxCheckInterval = std::chrono::minutes(1);
constexpr Duration kMinCheckInterval = std::chrono::milliseconds(200);
// A shorter retention is taken for an effect of differing clocks.
constexpr Duration kMinRetention = std::chrono::seconds(10);
constexpr std::size_t kMaxCarriedPerRecord = 2000;
constexpr std::size_t kMaxOffsetTimes = 64;
// Number of checks for old claims within one carry interval.
constexpr int kChecksPerInterval = 8;
// How often claims are carried forward within the log's retention. A claim's
// age when it is carried plus the time between two coverages must stay below
// the retention.
constexpr int kCarriesPerRetention = 2;
constexpr int kCoveragesPerInterval = 4;
constexpr double kRandomRange = 18446744073709551616.0;

}  // namespace

ClaimCarryForward::ClaimCarryForward(const LedgerOptions* options,
                                     ClaimFold* fold,
                                     ClaimLog* log)
    : m_options(options),
      m_fold(fold),
      m_log(log),
      m_last_coverage_at(options->m_clock.m_now()),
      m_random_state(options->m_seed) {}

void ClaimCarryForward::Start() {
  Schedule();
}

void ClaimCarryForward::OnRecord(std::uint64_t offset,
                                 const ClaimRecord& record) {
  const TimePoint now = m_options->m_clock.m_now();
  if (record.m_coverage) {
    m_last_coverage_at = now;
  }
  // The time of writing, not of reading: a new instance reads all old records
  // within a short time.
  const Duration age = std::clamp<Duration>(
      m_options->m_clock.m_wall_now() -
          WallTime(std::chrono::milliseconds(record.m_wall_ms)),
      Duration::zero(), m_options->m_max_key_retention);
  const TimePoint written = now - age;
  if (!m_offset_times.empty() && written - m_offset_times.back().m_written_at <
                                     CarryInterval() / kChecksPerInterval) {
    return;
  }
  m_offset_times.push_back({.m_offset = offset, .m_written_at = written});
  if (m_offset_times.size() > kMaxOffsetTimes) {
    m_offset_times.pop_front();
  }
}

// The record just before the first kept one has expired, so the retention is at
// most that record's age. The first entry of `m_offset_times` from `first_kept`
// on is younger, which makes the estimate err on the short side.
void ClaimCarryForward::OnExpired(std::uint64_t first_kept) {
  if (first_kept <= m_first_kept) {
    return;
  }
  m_first_kept = first_kept;
  const TimePoint now = m_options->m_clock.m_now();
  for (const OffsetTime& offset_time : m_offset_times) {
    if (offset_time.m_offset >= first_kept) {
      m_retention =
          std::min(m_retention.value_or(m_options->m_max_key_retention),
                   std::max<Duration>(now - offset_time.m_written_at,
                                      kMinCheckInterval));
      Schedule();
      return;
    }
  }
}

Duration ClaimCarryForward::CarryInterval() const {
  const Duration retention =
      std::min<Duration>(m_options->m_log_retention,
                         m_retention.value_or(m_options->m_log_retention));
  return retention / kCarriesPerRetention;
}

void ClaimCarryForward::Schedule() {
  const Duration base =
      std::clamp<Duration>(CarryInterval() / kChecksPerInterval,
                           kMinCheckInterval, kMaxCheckInterval);
  const auto jitter = FromSeconds(Seconds(base) * Random());
  m_timer = m_options->m_clock.m_call_after(base + jitter,
                                            [this] { CheckForOldClaims(); });
}

void ClaimCarryForward::CheckForOldClaims() {
  // `Schedule` replaces the timer that runs this call, so it is kept until the
  // end.
  const std::unique_ptr<Timer> running = std::move(m_timer);
  const TimePoint now = m_options->m_clock.m_now();
  m_fold->Forget(now);
  if (m_log->caught_up() && m_fold->IsComplete(now)) {
    CarryForward(now);
  }
  Schedule();
}

void ClaimCarryForward::CarryForward(TimePoint now) {
  std::uint64_t before = 0;
  for (const OffsetTime& offset_time : m_offset_times) {
    if (now - offset_time.m_written_at >= CarryInterval()) {
      before = offset_time.m_offset;
    }
  }
  std::vector<CarriedClaim> carried =
      m_fold->ClaimsBefore(before, kMaxCarriedPerRecord, now);
  m_has_more = carried.size() == kMaxCarriedPerRecord;
  const bool coverage_is_old =
      now - m_last_coverage_at >= CarryInterval() / kCoveragesPerInterval;
  if (!carried.empty() || coverage_is_old) {
    m_last_coverage_at = now;
    m_log->AddCarried(std::move(carried), m_fold->CurrentCoverage(now));
  }
}

double ClaimCarryForward::Random() {
  m_random_state =
      util::Hash(std::to_string(m_random_state), m_options->m_seed);
  return static_cast<double>(m_random_state) / kRandomRange;
}

}  // namespace guavacross::ledger
