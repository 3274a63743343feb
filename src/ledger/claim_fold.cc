#include "ledger/claim_fold.h"

#include <algorithm>

namespace guavacross::ledger {

namespace {

// A record's age is the difference of two wall clocks, either of which may be
// far off. Longer ages are capped at this, so that no key is forgotten early.
constexpr Duration kMaxRecordAge = std::chrono::hours(12);

WallTime FromMilliseconds(std::uint64_t wall_ms) {
  return WallTime(std::chrono::milliseconds(wall_ms));
}

// When the record was written, on this instance's monotonic clock.
TimePoint RecordedAt(const ClaimRecord& record, const ApplyTime& time) {
  const Duration age =
      std::clamp<Duration>(time.m_wall_now - FromMilliseconds(record.m_wall_ms),
                           Duration::zero(), kMaxRecordAge);
  return time.m_now - age;
}

}  // namespace

ClaimFold::ClaimFold(FoldLimits limits) : m_limits(limits) {}

ClaimFold::Changes ClaimFold::Apply(std::uint64_t offset,
                                    const ClaimRecord& record,
                                    const ApplyTime& time) {
  if (!m_started) {
    m_started = true;
    m_epoch = time.m_now;
  }
  const TimePoint recorded = RecordedAt(record, time);
  if (m_has_gap) {
    // The record's time says nothing about the records missed before it, as its
    // append may have been delayed. Only a `Coverage` can extend the time for
    // which all claims are known.
    m_has_gap = false;
    m_first_offset = offset;
  }
  m_offset = offset;
  Changes changes;
  for (const NotRunEnd& end : record.m_ends) {
    ApplyEnd(end, record.m_claimant, &changes);
  }
  for (const Claim& claim : record.m_claims) {
    ApplyClaim(claim, record.m_claimant, recorded, &changes);
  }
  for (const CarriedClaim& carried : record.m_carried) {
    ApplyCarried(carried, recorded);
  }
  if (record.m_coverage) {
    ApplyCoverage(*record.m_coverage, recorded);
  }
  return changes;
}

bool ClaimFold::HandleExpired(std::uint64_t first_kept, TimePoint now) {
  if (m_has_gap || first_kept <= (m_started ? m_offset + 1 : 0)) {
    return false;
  }
  // The missed records may supersede what is known: an attempt known as ended
  // may have been followed by another one.
  m_has_gap = true;
  m_index = ClaimIndex();
  m_known_since = now;
  return true;
}

void ClaimFold::ApplyEnd(const NotRunEnd& end,
                         const InstanceId& claimant,
                         Changes* changes) {
  ClaimEntry* entry = m_index.Find(end.m_key);
  if (entry == nullptr || entry->m_attempt != end.m_attempt ||
      entry->m_ended_not_run || m_holders[entry->m_holder] != claimant) {
    return;
  }
  entry->m_ended_not_run = 1;
  changes->m_ended.push_back(end.m_key);
}

void ClaimFold::ApplyClaim(const Claim& claim,
                           const InstanceId& claimant,
                           TimePoint claimed_at,
                           Changes* changes) {
  ClaimEntry* entry = m_index.Find(claim.m_key);
  if (entry == nullptr) {
    if (claim.m_attempt != 1) {
      return;
    }
    m_index.Add({.m_key = claim.m_key,
                 .m_fingerprint = claim.m_fingerprint,
                 .m_claimed_at_s = ToSeconds(claimed_at),
                 .m_record_offset = ToStoredOffset(m_offset),
                 .m_holder = HolderIndex(claimant),
                 .m_attempt = 1});
  } else if (entry->m_ended_not_run &&
             claim.m_attempt == entry->m_attempt + 1U) {
    entry->m_fingerprint = claim.m_fingerprint;
    entry->m_claimed_at_s = ToSeconds(claimed_at);
    entry->m_holder = HolderIndex(claimant);
    entry->m_attempt = claim.m_attempt;
    entry->m_ended_not_run = 0;
  } else {
    return;
  }
  changes->m_granted.push_back(claim.m_key);
}

void ClaimFold::ApplyCarried(const CarriedClaim& carried, TimePoint recorded) {
  const Claim& claim = carried.m_claim;
  ClaimEntry* entry = m_index.Find(claim.m_key);
  const ClaimEntry fresh{.m_key = claim.m_key,
                         .m_fingerprint = claim.m_fingerprint,
                         .m_claimed_at_s = ToSeconds(
                             recorded - std::chrono::seconds(carried.m_age_s)),
                         .m_record_offset = ToStoredOffset(m_offset),
                         .m_holder = HolderIndex(carried.m_holder),
                         .m_attempt = claim.m_attempt,
                         .m_ended_not_run = carried.m_ended_not_run ? 1U : 0U};
  if (entry == nullptr) {
    m_index.Add(fresh);
  } else if (entry->m_attempt < fresh.m_attempt ||
             (entry->m_attempt == fresh.m_attempt &&
              entry->m_holder != fresh.m_holder)) {
    // Only possible if this fold missed the record of the key's first claim: it
    // took a late duplicate of a losing claim for the first one.
    *entry = fresh;
  } else if (entry->m_attempt == fresh.m_attempt &&
             entry->m_ended_not_run == fresh.m_ended_not_run) {
    entry->m_record_offset = fresh.m_record_offset;
  }
}

void ClaimFold::ApplyCoverage(const Coverage& coverage, TimePoint recorded) {
  if (coverage.m_from_offset < m_first_offset) {
    return;
  }
  if (coverage.m_known_s == 0) {
    m_known_since = TimePoint::min();
    return;
  }
  m_known_since = std::min(m_known_since,
                           recorded - std::chrono::seconds(coverage.m_known_s));
}

std::optional<ClaimView> ClaimFold::Find(const KeyHash& key) const {
  const ClaimEntry* entry = m_index.Find(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return ClaimView{.m_fingerprint = entry->m_fingerprint,
                   .m_holder = m_holders[entry->m_holder],
                   .m_attempt = entry->m_attempt,
                   .m_ended_not_run = entry->m_ended_not_run == 1};
}

void ClaimFold::Forget(TimePoint now) {
  while (!m_index.empty()) {
    const ClaimEntry oldest = m_index.front();
    const Duration age = AgeOf(oldest, now);
    const bool too_many = m_index.size() >= m_limits.m_max_keys &&
                          age >= m_limits.m_min_key_retention;
    if (age < m_limits.m_max_key_retention && !too_many) {
      return;
    }
    m_index.RemoveFront();
    m_known_since = std::max(m_known_since, now - age);
  }
}

std::vector<CarriedClaim> ClaimFold::ClaimsBefore(std::uint64_t before_offset,
                                                  std::size_t max,
                                                  TimePoint now) const {
  std::vector<CarriedClaim> carried;
  const std::uint32_t before = ToStoredOffset(before_offset);
  for (const ClaimEntry& entry : m_index.entries()) {
    if (carried.size() >= max) {
      break;
    }
    if (entry.m_record_offset >= before) {
      continue;
    }
    const auto age = std::chrono::duration_cast<std::chrono::seconds>(
        std::max(AgeOf(entry, now), Duration::zero()));
    carried.push_back({.m_claim = {.m_key = entry.m_key,
                                   .m_fingerprint = entry.m_fingerprint,
                                   .m_attempt = entry.m_attempt},
                       .m_holder = m_holders[entry.m_holder],
                       .m_ended_not_run = entry.m_ended_not_run == 1,
                       .m_age_s = static_cast<std::uint32_t>(age.count())});
  }
  return carried;
}

Coverage ClaimFold::CurrentCoverage(TimePoint now) const {
  std::uint64_t from = m_started ? m_offset + 1 : 0;
  for (const ClaimEntry& entry : m_index.entries()) {
    from = std::min<std::uint64_t>(from, entry.m_record_offset);
  }
  Coverage coverage{.m_from_offset = from};
  if (m_known_since != TimePoint::min()) {
    const auto known =
        std::chrono::duration_cast<std::chrono::seconds>(now - m_known_since);
    coverage.m_known_s =
        static_cast<std::uint64_t>(std::max<std::int64_t>(known.count(), 1));
  }
  return coverage;
}

std::uint32_t ClaimFold::HolderIndex(const InstanceId& holder) {
  const auto it = std::find(m_holders.rbegin(), m_holders.rend(), holder);
  if (it != m_holders.rend()) {
    return static_cast<std::uint32_t>(std::distance(it, m_holders.rend()) - 1);
  }
  m_holders.push_back(holder);
  return static_cast<std::uint32_t>(m_holders.size() - 1);
}

std::uint32_t ClaimFold::ToStoredOffset(std::uint64_t offset) const {
  return static_cast<std::uint32_t>(offset);
}

std::int32_t ClaimFold::ToSeconds(TimePoint time) const {
  return static_cast<std::int32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(time - m_epoch).count());
}

Duration ClaimFold::AgeOf(const ClaimEntry& entry, TimePoint now) const {
  return now - (m_epoch + std::chrono::seconds(entry.m_claimed_at_s));
}

}  // namespace guavacross::ledger
