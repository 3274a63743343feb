#include "policy/probe_budget.h"

#include <algorithm>
#include <utility>

namespace guavacross::policy {

double AllowedProbeRate(const ProbeConfig& config, int total_slots) {
  const double cost_s = Seconds(config.m_probe_cost);
  if (cost_s <= 0) {
    return config.m_probes_per_second;
  }
  const double by_time = config.m_time_share * total_slots / cost_s;
  return std::min(config.m_probes_per_second, by_time);
}

void InstanceCountWindow::Record(int live_instances, TimePoint now) {
  // The previous count held until now.
  if (!m_counts.empty()) {
    m_counts.back().second = now;
  }
  while (!m_counts.empty() && m_counts.back().first <= live_instances) {
    m_counts.pop_back();
  }
  while (!m_counts.empty() && m_counts.front().second + kWindow < now) {
    m_counts.erase(m_counts.begin());
  }
  m_counts.emplace_back(live_instances, now);
}

int InstanceCountWindow::Largest(TimePoint now) const {
  for (const auto& [count, last_held] : m_counts) {
    const bool is_current = &count == &m_counts.back().first;
    if (is_current || last_held + kWindow >= now) {
      return std::max(1, count);
    }
  }
  return 1;
}

void ProbeBudget::SetBurst(double probes) {
  m_burst = probes;
  if (!std::exchange(m_initial_burst_granted, true)) {
    m_tokens = probes;
  }
}

void ProbeBudget::SetRate(double probes_per_second, TimePoint now) {
  Refill(now);
  m_rate = probes_per_second;
}

bool ProbeBudget::Take(TimePoint now) {
  Refill(now);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

TimePoint ProbeBudget::NextProbeTime(TimePoint now) const {
  if (m_rate <= 0) {
    return TimePoint::max();
  }
  const double missing = 1 - m_tokens;
  // One nanosecond more than exact, so that in spite of rounding the bucket
  // holds a whole probe at that time.
  const TimePoint at = m_refilled_at + FromSeconds(missing / m_rate) +
                       std::chrono::nanoseconds(1);
  return std::max(at, now);
}

double ProbeBudget::TotalAllowed(TimePoint now) const {
  return m_allowed + m_rate * std::max(0.0, Seconds(now - m_refilled_at));
}

void ProbeBudget::Refill(TimePoint now) {
  if (m_refilled_at == TimePoint{}) {
    m_refilled_at = now;
  }
  if (now <= m_refilled_at) {
    return;
  }
  const double earned = m_rate * Seconds(now - m_refilled_at);
  m_allowed += earned;
  m_tokens = std::min(m_burst, m_tokens + earned);
  m_refilled_at = now;
}

}  // namespace guavacross::policy
