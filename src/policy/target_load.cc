#include "policy/target_load.h"

#include <algorithm>
#include <cmath>

namespace guavacross::policy {

namespace {

// How long a report of the peers is valid; they send several a second.
constexpr Duration kPeerReportLifetime = std::chrono::seconds(2);

// Peers that have reported no use of a target for this long are assumed to go
// on not using it.
constexpr Duration kMinUnusedTime = std::chrono::milliseconds(300);

// Time constant of the decay of a reported slowdown: other load on the target's
// machine changes within this time.
constexpr Duration kSlowdownDecayTime = std::chrono::milliseconds(150);

// Weight of a new latency in the moving average.
constexpr double kSlownessGain = 0.3;
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 20;

// A failure weighs more than one slow answer.
constexpr double kFailureGain = 0.5;

}  // namespace

void TargetLoad::Sent() {
  ++m_own;
  ++m_attempts_since_report;
}

void TargetLoad::Ended() {
  m_own = std::max(0, m_own - 1);
}

void TargetLoad::Report(int in_flight, TimePoint at) {
  if (at < m_reported_at) {
    return;
  }
  m_peer_attempts = std::max(0, in_flight - m_own);
  m_reported_at = at;
  m_attempts_since_report = 0;
}

void TargetLoad::ReportSlowdown(double slowdown, TimePoint at) {
  if (at >= m_slowdown_at) {
    m_slowdown = std::max(1.0, slowdown);
    m_slowdown_at = at;
  }
}

double TargetLoad::Slowdown(double usual, TimePoint now) const {
  if (m_slowdown_at == TimePoint::min()) {
    return usual;
  }
  const double time_constants =
      Seconds(now - m_slowdown_at) / Seconds(kSlowdownDecayTime);
  return usual +
         (m_slowdown - usual) * std::exp(-std::max(0.0, time_constants));
}

void TargetLoad::PeersReport(int in_flight, TimePoint at) {
  m_peers_in_flight = std::max(0, in_flight);
  m_peers_reported_at = at;
  m_unused_since =
      m_peers_in_flight > 0 ? TimePoint::max() : std::min(m_unused_since, at);
}

void TargetLoad::RecordSlowness(double ratio,
                                const LoadAging& aging,
                                TimePoint now) {
  UpdateSlowness(std::clamp(ratio, kMinRatio, kMaxRatio), kSlownessGain, aging,
                 now);
}

void TargetLoad::RecordFailure(const LoadAging& aging, TimePoint now) {
  UpdateSlowness(kFailureSlowness, kFailureGain, aging, now);
}

void TargetLoad::UpdateSlowness(double ratio,
                                double gain,
                                const LoadAging& aging,
                                TimePoint now) {
  const double decayed = LogSlowness(aging, now);
  m_log_slowness = decayed + gain * (std::log(ratio) - decayed);
  m_slowness_at = now;
}

bool TargetLoad::IsFresh(const LoadAging& aging, TimePoint now) const {
  return ReportAge(now) < aging.m_max_evidence_age &&
         m_attempts_since_report < aging.m_max_uses_per_report;
}

Duration TargetLoad::ReportAge(TimePoint now) const {
  return m_reported_at == TimePoint::min() ? Duration::max()
                                           : now - m_reported_at;
}

bool TargetLoad::IsUnusedByPeers(const LoadAging& aging, TimePoint now) const {
  if (m_peer_attempts > 0 || ReportAge(now) >= aging.m_report_lifetime) {
    return false;
  }
  return m_peers_reported_at != TimePoint::min() &&
         now - m_peers_reported_at < kPeerReportLifetime &&
         m_unused_since <= now - kMinUnusedTime;
}

double TargetLoad::PeerAttempts(const LoadAging& aging,
                                double usual,
                                TimePoint now) const {
  const bool peers_known = m_peers_reported_at != TimePoint::min() &&
                           now - m_peers_reported_at < kPeerReportLifetime;
  const double fallback = peers_known ? m_peers_in_flight : usual;
  const Duration age = ReportAge(now);
  if (age >= aging.m_report_lifetime) {
    return fallback;
  }
  const double age_weight = 1 - Seconds(age) / Seconds(aging.m_report_lifetime);
  const double use_weight =
      m_attempts_since_report >= aging.m_max_uses_per_report ? 0.5 : 1;
  const double weight = std::clamp(age_weight * use_weight, 0.0, 1.0);
  return weight * m_peer_attempts + (1 - weight) * fallback;
}

double TargetLoad::Slowness(const LoadAging& aging, TimePoint now) const {
  return std::max(1.0, std::exp(LogSlowness(aging, now)));
}

double TargetLoad::LogSlowness(const LoadAging& aging, TimePoint now) const {
  if (m_slowness_at == TimePoint::min()) {
    return 0;
  }
  const double half_lives =
      Seconds(now - m_slowness_at) / Seconds(aging.m_slowness_half_life);
  return m_log_slowness * std::exp2(-std::max(0.0, half_lives));
}

}  // namespace guavacross::policy
