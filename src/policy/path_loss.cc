#include "policy/path_loss.h"

#include <algorithm>

namespace guavacross::policy {

namespace {

// Requests that wait for a target are checked every few milliseconds. A longer
// gap between two calls means that this process wasn't running.
constexpr Duration kMaxActiveStep = std::chrono::milliseconds(10);

// The share of direct requests after a recovery, by steps.
constexpr Duration kRecoveryStep = std::chrono::milliseconds(250);
constexpr int kRecoverySteps = 4;

}  // namespace

void PathLoss::SetTargets(std::size_t targets, std::size_t zones) {
  m_targets = targets;
  m_zones = zones;
}

void PathLoss::Advance(TimePoint now) {
  if (m_advanced_at != TimePoint::min() && now > m_advanced_at) {
    m_active += std::min(now - m_advanced_at, kMaxActiveStep);
  }
  m_advanced_at = std::max(m_advanced_at, now);
  if (!m_silent.empty() && now - m_last_asked_at > kRetention) {
    m_silent.clear();
  }
}

void PathLoss::Record(const PathEvent& event, TimePoint now) {
  switch (event.m_kind) {
    case PathEvent::Kind::kAsked:
      RecordAsked(event.m_target, event.m_zone, now);
      break;
    case PathEvent::Kind::kAnswered:
      RecordAnswer(now);
      break;
    case PathEvent::Kind::kFailed:
      RecordFailure(event.m_target, event.m_zone, event.m_asked_at, now);
      break;
    case PathEvent::Kind::kTrialAnswered:
      RecordTrialAnswer(now);
      break;
  }
}

void PathLoss::RecordAsked(const std::string& target,
                           const std::string& zone,
                           TimePoint now) {
  Advance(now);
  m_last_asked_at = now;
  m_silent.try_emplace(
      target,
      Silence{.m_zone = zone, .m_asked_at = now, .m_active_at = m_active});
}

void PathLoss::RecordFailure(const std::string& target,
                             const std::string& zone,
                             TimePoint asked_at,
                             TimePoint now) {
  if (m_answered_at.has_value() && *m_answered_at >= asked_at) {
    return;
  }
  RecordAsked(target, zone, now);
  m_silent[target].m_failed = true;
}

void PathLoss::RecordAnswer(TimePoint now) {
  Advance(now);
  m_silent.clear();
  m_answered_at = now;
  if (IsTrialTrusted(now)) {
    m_trial_trusted_until = now + kTrialTrust;
  }
}

void PathLoss::RecordTrialAnswer(TimePoint now) {
  m_trial_trusted_until = now + kTrialTrust;
  RecordAnswer(now);
}

bool PathLoss::IsLost(TimePoint now) {
  if (m_targets == 0 || !IsSilent(now)) {
    return false;
  }
  std::size_t silent = 0;
  std::set<std::string> zones;
  for (const auto& [target, silence] : m_silent) {
    if (silence.m_failed || IsOverdue(silence)) {
      ++silent;
      zones.insert(silence.m_zone);
    }
  }
  return silent >= std::min(kMinSilentTargets, m_targets) &&
         zones.size() >= std::min<std::size_t>(2, m_zones);
}

bool PathLoss::IsOverdue(const Silence& silence) const {
  return (silence.m_failed || !IsTrialTrusted(m_advanced_at)) &&
         m_active - silence.m_active_at >= kAnswerTime;
}

bool PathLoss::IsSilent(TimePoint now) {
  Advance(now);
  return std::any_of(
      m_silent.begin(), m_silent.end(),
      [this](const auto& each) { return IsOverdue(each.second); });
}

std::size_t PathLoss::UnansweredProbes(TimePoint now) {
  Advance(now);
  return static_cast<std::size_t>(
      std::count_if(m_silent.begin(), m_silent.end(), [this](const auto& each) {
        return IsOverdue(each.second) && !each.second.m_failed;
      }));
}

std::optional<TimePoint> PathLoss::silent_since() const {
  std::optional<TimePoint> since;
  for (const auto& [target, silence] : m_silent) {
    since = std::min(since.value_or(silence.m_asked_at), silence.m_asked_at);
  }
  return since;
}

double DirectShare(Duration since_recovery) {
  const auto steps = static_cast<int>(since_recovery / kRecoveryStep) + 1;
  return std::min(1.0, static_cast<double>(steps) / (kRecoverySteps + 1));
}

}  // namespace guavacross::policy
