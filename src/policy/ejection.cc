#include "policy/ejection.h"

#include <algorithm>
#include <cmath>

namespace guavacross::policy {

namespace {

// A refusal counts as this fraction of an error.
constexpr double kRefusalWeight = 0.25;

constexpr double kRateGain = 0.1;
constexpr double kRateLimit = 0.5;
constexpr int kRateSamples = 10;

// Good answers in a row after which earlier ejections are forgotten.
constexpr int kProvedGood = 20;

constexpr int kMaxDoublings = 16;

}  // namespace

bool Ejection::Record(Verdict verdict,
                      const EjectionConfig& config,
                      TimePoint now) {
  // Attempts sent before the ejection add no information.
  if (IsEjected(now)) {
    return false;
  }
  const double badness = verdict == Verdict::kBad       ? 1
                         : verdict == Verdict::kRefused ? kRefusalWeight
                                                        : 0;
  m_error_rate += kRateGain * (badness - m_error_rate);
  ++m_samples;
  if (verdict == Verdict::kGood) {
    m_consecutive = 0;
    m_times = ++m_good_since >= kProvedGood ? 0 : m_times;
    return false;
  }
  m_consecutive += badness;
  m_good_since = 0;
  const bool on_trial = m_times > 0 && verdict == Verdict::kBad;
  const bool by_rate = m_samples >= kRateSamples && m_error_rate > kRateLimit;
  if (!on_trial && !by_rate && m_consecutive < config.m_consecutive_errors) {
    return false;
  }
  Eject(config, now);
  return true;
}

void Ejection::Eject(const EjectionConfig& config, TimePoint now) {
  const double factor = std::exp2(std::min(m_times, kMaxDoublings));
  const double wanted_s = Seconds(config.m_base_time) * factor;
  m_until = now + FromSeconds(std::min(wanted_s, Seconds(config.m_max_time)));
  ++m_times;
  m_consecutive = 0;
  m_error_rate = 0;
  m_samples = 0;
}

bool IsPanic(int ejected, int targets, const EjectionConfig& config) {
  return ejected > 0 && ejected > config.m_max_share * targets;
}

}  // namespace guavacross::policy
