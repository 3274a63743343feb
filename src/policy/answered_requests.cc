#include "policy/answered_requests.h"

namespace guavacross::policy {

void AnsweredRequests::Record(std::uint64_t fingerprint, TimePoint now) {
  Entry& entry = m_entries[fingerprint % kTableSize];
  // The time is written first and read last: a reader that sees the new
  // fingerprint also sees a time that is no older than its answer.
  entry.m_fingerprint.store(0, std::memory_order_relaxed);
  entry.m_answered_at_ns.store(now.time_since_epoch().count());
  entry.m_fingerprint.store(fingerprint);
}

bool AnsweredRequests::Contains(std::uint64_t fingerprint,
                                TimePoint now) const {
  const Entry& entry = m_entries[fingerprint % kTableSize];
  if (fingerprint == 0 || entry.m_fingerprint.load() != fingerprint) {
    return false;
  }
  const Duration answered_at{entry.m_answered_at_ns.load()};
  return now.time_since_epoch() - answered_at < kRetention;
}

}  // namespace guavacross::policy
