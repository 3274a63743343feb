#ifndef GUAVACROSS_POLICY_ANSWERED_REQUESTS_H_
#define GUAVACROSS_POLICY_ANSWERED_REQUESTS_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "guavacross/time.h"

namespace guavacross::policy {

/// The fingerprints that were answered lately.
///
/// A popular read is in flight on many targets at any time, so whenever several
/// targets are lost at once it was on two of them. What tells it from a request
/// that kills its backend servers is that it is being answered.
///
/// A table of fixed size in which a later fingerprint may replace an earlier
/// one: it may forget an answer, and never makes one up. Thread safe, without
/// locks.
class AnsweredRequests {
 public:
  /// How long an answer speaks for a fingerprint.
  static constexpr Duration kMemory = std::chrono::seconds(30);

  void Record(std::uint64_t fingerprint, TimePoint now);

  /// Whether the fingerprint had a complete answer lately.
  bool Contains(std::uint64_t fingerprint, TimePoint now) const;

 private:
  static constexpr std::size_t kEntries = 4096;

  struct Entry {
    std::atomic<std::uint64_t> m_fingerprint{0};
    std::atomic<std::int64_t> m_answered_at_ns{0};
  };

  std::array<Entry, kEntries> m_entries;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_ANSWERED_REQUESTS_H_
