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

/// Whether a target resets connections as a matter of course.
///
/// A target that was lost resets once and is then gone for a while. One that
/// resets at several separate moments within a short time is itself at fault,
/// and its resets say nothing about the requests. Not thread safe.
class ResetHistory {
 public:
  void RecordReset(TimePoint now);

  /// Whether resets of this target are to be held against it alone.
  bool IsUnreliable(TimePoint now) const;

 private:
  // Resets closer together than this belong to one loss.
  static constexpr Duration kOneLoss = std::chrono::milliseconds(200);
  static constexpr Duration kMemory = std::chrono::seconds(30);
  static constexpr std::size_t kLosses = 3;

  // Oldest first, at most `kLosses`.
  std::vector<TimePoint> m_losses;
};

/// The requests that are refused because they have killed backend servers.
///
/// A fingerprint that was in flight on a target when the target was lost is a
/// suspect. At two distinct targets, whoever saw them, it is quarantined: no
/// instance sends it for a while. A complete answer clears a suspect, since a
/// request that kills its backend server gets none; see `AnsweredRequests` for
/// answers that came before. Not thread safe.
class Quarantine {
 public:
  /// How long a fingerprint is refused.
  static constexpr Duration kQuarantineTime = std::chrono::minutes(5);
  /// How long a loss is held against a fingerprint.
  static constexpr Duration kSuspectTime = std::chrono::minutes(10);
  /// How long a complete answer clears a fingerprint of what peers tell.
  static constexpr Duration kClearedTime = std::chrono::seconds(10);
  static constexpr std::size_t kTargetsToQuarantine = 2;
  /// Suspects kept; the oldest are forgotten beyond this.
  static constexpr std::size_t kMaxSuspects = 4096;

  /// A target was lost with the fingerprint in flight, here or at a peer.
  /// @return the quarantine that this causes, if it does.
  std::optional<QuarantineNotice> AddSuspect(const SuspectNotice& suspect,
                                             TimePoint now);

  /// The fingerprint got a complete answer.
  void Answered(std::uint64_t fingerprint, TimePoint now);

  /// A peer has quarantined the fingerprint.
  void Learn(const QuarantineNotice& notice, TimePoint now);

  bool IsQuarantined(std::uint64_t fingerprint, TimePoint now) const;

  /// Whether a target was lost with the fingerprint in flight, and no answer
  /// has cleared it since.
  bool IsSuspect(std::uint64_t fingerprint, TimePoint now) const;

  /// The quarantines in force.
  std::vector<QuarantineNotice> Notices(TimePoint now) const;

 private:
  struct Suspect {
    std::vector<std::string> m_lost_targets;
    TimePoint m_last_loss;
    TimePoint m_cleared_until = TimePoint::min();
  };

  void ForgetOld(TimePoint now);

  std::unordered_map<std::uint64_t, Suspect> m_suspects;
  std::unordered_map<std::uint64_t, TimePoint> m_quarantined_until;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_QUARANTINE_H_
