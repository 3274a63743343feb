#ifndef GUAVACROSS_POLICY_ANSWERED_REQUESTS_H_
#define GUAVACROSS_POLICY_ANSWERED_REQUESTS_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "guavacross/time.h"

namespace guavacross::policy {

/// Fingerprints of requests that recently got a complete answer.
///
/// Keeps popular requests out of quarantine. A popular read is in flight on
/// many targets at any time, so whenever several targets fail at once it was on
/// two of them. Unlike a request that crashes its backend servers, it is also
/// being answered.
///
/// A hash table of fixed size in which a later fingerprint may overwrite an
/// earlier one: there are false negatives but no false positives. Thread safe,
/// without locks.
class AnsweredRequests {
 public:
  /// How long an answer counts as recent.
  static constexpr Duration kRetention = std::chrono::seconds(30);

  void Record(std::uint64_t fingerprint, TimePoint now);

  /// Whether the fingerprint recently got a complete answer.
  bool Contains(std::uint64_t fingerprint, TimePoint now) const;

 private:
  static constexpr std::size_t kTableSize = 4096;

  struct Entry {
    std::atomic<std::uint64_t> m_fingerprint{0};
    std::atomic<std::int64_t> m_answered_at_ns{0};
  };

  std::array<Entry, kTableSize> m_entries;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_ANSWERED_REQUESTS_H_
