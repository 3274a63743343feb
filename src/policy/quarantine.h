#ifndef GUAVACROSS_POLICY_QUARANTINE_H_
#define GUAVACROSS_POLICY_QUARANTINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "guavacross/routing.h"
#include "guavacross/time.h"

namespace guavacross::policy {

/// Whether a target resets connections repeatedly.
///
/// A target that crashes resets its connections once and is then down for a
/// while. One that resets at several separate moments within a short time is
/// itself faulty, and its resets say nothing about the requests. Not thread
/// safe.
class ResetHistory {
 public:
  void RecordReset(TimePoint now);

  /// Whether resets are attributed to the target alone and not to its requests.
  bool IsUnreliable(TimePoint now) const;

 private:
  // Resets closer together than this count as one failure of the target.
  static constexpr Duration kSameFailureInterval =
      std::chrono::milliseconds(200);
  static constexpr Duration kResetWindow = std::chrono::seconds(30);
  static constexpr std::size_t kUnreliableFailureCount = 3;

  // Oldest first, at most `kUnreliableFailureCount`.
  std::vector<TimePoint> m_failures;
};

/// The requests that are refused because they have crashed backend servers.
///
/// A fingerprint that was in flight on a target when the target failed is a
/// suspect. After the failure of two distinct targets, no matter which
/// instances saw them, it is quarantined: no instance sends it for a while. A
/// complete answer clears a suspect, since a request that crashes its backend
/// server gets none; see `AnsweredRequests` for earlier answers. Not thread
/// safe.
class Quarantine {
 public:
  /// How long a fingerprint is refused.
  static constexpr Duration kQuarantineTime = std::chrono::minutes(5);
  /// How long a fingerprint stays a suspect after a target failed.
  static constexpr Duration kSuspectTime = std::chrono::minutes(10);
  /// How long suspect notices, such as late ones of peers, are ignored after a
  /// complete answer.
  static constexpr Duration kClearedTime = std::chrono::seconds(10);
  static constexpr std::size_t kTargetsToQuarantine = 2;
  /// Maximum number of suspects; beyond it the oldest ones are dropped.
  static constexpr std::size_t kMaxSuspects = 4096;

  /// Records that a target failed with the fingerprint in flight, on this
  /// instance or a peer.
  /// @return the resulting quarantine, if there is one.
  std::optional<QuarantineNotice> AddSuspect(const SuspectNotice& suspect,
                                             TimePoint now);

  /// Records that the fingerprint got a complete answer.
  void RecordAnswer(std::uint64_t fingerprint, TimePoint now);

  /// Applies a quarantine announced by a peer.
  void AddFromPeer(const QuarantineNotice& notice, TimePoint now);

  bool IsQuarantined(std::uint64_t fingerprint, TimePoint now) const;

  /// Whether a target failed with the fingerprint in flight, and no answer has
  /// cleared it since.
  bool IsSuspect(std::uint64_t fingerprint, TimePoint now) const;

  /// The active quarantines.
  std::vector<QuarantineNotice> Notices(TimePoint now) const;

 private:
  struct Suspect {
    std::vector<std::string> m_failed_targets;
    TimePoint m_last_failure;
    TimePoint m_cleared_until = TimePoint::min();
  };

  void EraseExpired(TimePoint now);

  std::unordered_map<std::uint64_t, Suspect> m_suspects;
  std::unordered_map<std::uint64_t, TimePoint> m_quarantined_until;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_QUARANTINE_H_
