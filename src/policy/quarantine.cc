#include "policy/quarantine.h"

#include <algorithm>

namespace guavacross::policy {

void ResetHistory::RecordReset(TimePoint now) {
  while (!m_failures.empty() && m_failures.front() + kResetWindow < now) {
    m_failures.erase(m_failures.begin());
  }
  if (!m_failures.empty() && now - m_failures.back() < kSameFailureInterval) {
    return;
  }
  m_failures.push_back(now);
  if (m_failures.size() > kUnreliableFailureCount) {
    m_failures.erase(m_failures.begin());
  }
}

bool ResetHistory::IsUnreliable(TimePoint now) const {
  return m_failures.size() >= kUnreliableFailureCount &&
         m_failures.front() + kResetWindow >= now;
}

std::optional<QuarantineNotice> Quarantine::AddSuspect(
    const SuspectNotice& suspect,
    TimePoint now) {
  EraseExpired(now);
  Suspect& known = m_suspects[suspect.m_fingerprint];
  if (now < known.m_cleared_until) {
    return std::nullopt;
  }
  const std::string target = suspect.m_service + "/" + suspect.m_target;
  if (std::find(known.m_failed_targets.begin(), known.m_failed_targets.end(),
                target) == known.m_failed_targets.end()) {
    known.m_failed_targets.push_back(target);
  }
  known.m_last_failure = now;
  if (known.m_failed_targets.size() < kTargetsToQuarantine ||
      IsQuarantined(suspect.m_fingerprint, now)) {
    return std::nullopt;
  }
  m_quarantined_until[suspect.m_fingerprint] = now + kQuarantineTime;
  m_suspects.erase(suspect.m_fingerprint);
  return QuarantineNotice{.m_fingerprint = suspect.m_fingerprint,
                          .m_remaining = kQuarantineTime};
}

void Quarantine::RecordAnswer(std::uint64_t fingerprint, TimePoint now) {
  const auto found = m_suspects.find(fingerprint);
  if (found != m_suspects.end()) {
    found->second.m_failed_targets.clear();
    found->second.m_cleared_until = now + kClearedTime;
  }
}

void Quarantine::AddFromPeer(const QuarantineNotice& notice, TimePoint now) {
  EraseExpired(now);
  const Duration remaining = std::min(notice.m_remaining, kQuarantineTime);
  TimePoint& until = m_quarantined_until[notice.m_fingerprint];
  until = std::max(until, now + remaining);
}

bool Quarantine::IsQuarantined(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = m_quarantined_until.find(fingerprint);
  return found != m_quarantined_until.end() && now < found->second;
}

bool Quarantine::IsSuspect(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = m_suspects.find(fingerprint);
  return found != m_suspects.end() && !found->second.m_failed_targets.empty() &&
         now <= found->second.m_last_failure + kSuspectTime;
}

std::vector<QuarantineNotice> Quarantine::Notices(TimePoint now) const {
  std::vector<QuarantineNotice> notices;
  for (const auto& [fingerprint, until] : m_quarantined_until) {
    if (now < until) {
      notices.push_back(
          {.m_fingerprint = fingerprint, .m_remaining = until - now});
    }
  }
  return notices;
}

void Quarantine::EraseExpired(TimePoint now) {
  std::erase_if(m_quarantined_until,
                [now](const auto& entry) { return entry.second <= now; });
  std::erase_if(m_suspects, [now](const auto& entry) {
    return entry.second.m_last_failure + kSuspectTime < now;
  });
  if (m_suspects.size() >= kMaxSuspects) {
    const auto oldest = std::min_element(
        m_suspects.begin(), m_suspects.end(), [](const auto& a, const auto& b) {
          return a.second.m_last_failure < b.second.m_last_failure;
        });
    m_suspects.erase(oldest);
  }
}

}  // namespace guavacross::policy
