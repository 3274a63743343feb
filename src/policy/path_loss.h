#ifndef GUAVACROSS_POLICY_PATH_LOSS_H_
#define GUAVACROSS_POLICY_PATH_LOSS_H_

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "guavacross/time.h"

namespace guavacross::policy {

/// What a probe or an attempt shows about the path to a target.
struct PathEvent {
  enum class Kind { kAsked, kAnswered, kFailed, kTrialAnswered };
  Kind m_kind = Kind::kAsked;
  std::string m_target;
  std::string m_zone;
  /// When the probe or attempt was sent.
  TimePoint m_asked_at;

  bool operator==(const PathEvent&) const = default;
};

/// Detects that an instance gets no answers from a group of targets any more,
/// such as when it is partitioned from them.
///
/// Load pattern: while the instance is cut off, probes hang or fail on all
/// targets at once and callers go on sending requests. While targets are only
/// full, slow, or down in one availability zone, some still answer. The loss of
/// all targets at once looks the same from here, which is why only the answers
/// that other instances get tell whether there is another path; see
/// `ChooseRelay`.
///
/// Probes that hang are weak evidence: the targets' health checks may hang
/// while requests are answered. While no instance has a path, a request is
/// therefore sent as a trial now and then; once one is answered, only failed
/// connections count as silence for `kTrialTrust`.
///
/// The time for which a probe has been unanswered excludes times in which
/// nothing was recorded or asked here, so that a process that stood still
/// doesn't take answers that it hasn't read yet for missing ones. No I/O; not
/// thread safe.
class PathLoss {
 public:
  /// A live target answers a probe sooner, also from another region.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(50);
  /// How long targets that aren't asked again count as silent.
  static constexpr Duration kRetention = std::chrono::seconds(10);
  /// How long an answered trial request outweighs probes that hang.
  static constexpr Duration kTrialTrust = std::chrono::seconds(2);
  /// Targets that must be silent, or all if there are fewer.
  static constexpr std::size_t kMinSilentTargets = 4;

  /// Sets the number of targets in use and of their availability zones. With
  /// targets in more than one zone, those of a single one aren't enough.
  void SetTargets(std::size_t targets, std::size_t zones);

  /// Records an event, with one of the functions below.
  void Record(const PathEvent& event, TimePoint now);
  /// Records that a target was sent a probe.
  void RecordAsked(const std::string& target,
                   const std::string& zone,
                   TimePoint now);
  /// Records that a probe or request that was sent at `asked_at` failed: its
  /// connection was refused, was reset or timed out. It says nothing if a
  /// target has answered since it was sent.
  void RecordFailure(const std::string& target,
                     const std::string& zone,
                     TimePoint asked_at,
                     TimePoint now);
  /// Records an answer of any target, which ends the loss. While an answered
  /// trial is trusted, an answer extends that.
  void RecordAnswer(TimePoint now);
  /// Records the answer to a request that was sent although the path counted as
  /// lost.
  void RecordTrialAnswer(TimePoint now);

  /// Whether the path counts as lost.
  bool IsLost(TimePoint now);

  /// Whether no target has answered for longer than targets take, although some
  /// were asked. The path may be lost.
  bool IsSilent(TimePoint now);

  /// Whether probes that hang are ignored since a trial has been answered.
  bool IsTrialTrusted(TimePoint now) const {
    return now < m_trial_trusted_until;
  }

  /// The number of probes that have been unanswered for longer than targets
  /// take, and haven't failed.
  std::size_t UnansweredProbes(TimePoint now);

  /// When the first of the targets was asked that haven't answered; nothing if
  /// none is silent.
  std::optional<TimePoint> silent_since() const;
  /// When a target last answered; nothing if none has.
  std::optional<TimePoint> answered_at() const { return m_answered_at; }

 private:
  struct Silence {
    std::string m_zone;
    TimePoint m_asked_at;
    // On the clock that counts only active time.
    Duration m_active_at{};
    bool m_failed = false;
  };

  // Moves the clock of active time, and forgets what is too old.
  void Advance(TimePoint now);
  // Whether the target has had time to answer.
  bool IsOverdue(const Silence& silence) const;

  std::size_t m_targets = 0;
  std::size_t m_zones = 0;
  // Targets asked since the last answer.
  std::unordered_map<std::string, Silence> m_silent;
  std::optional<TimePoint> m_answered_at;
  TimePoint m_last_asked_at = TimePoint::min();
  TimePoint m_trial_trusted_until = TimePoint::min();
  Duration m_active{};
  TimePoint m_advanced_at = TimePoint::min();
};

/// The probability that an instance sends a request to a target itself rather
/// than through a peer, some time after its path to the targets has come back.
///
/// It rises in steps of time, so that a path that is lost again shortly
/// afterwards takes few requests with it, and so that the instance learns the
/// load of the targets before it sends its full share. Pure.
double DirectShare(Duration since_recovery);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_PATH_LOSS_H_
