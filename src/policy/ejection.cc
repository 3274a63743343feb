#include "policy/ejection.h"

#include <algorithm>
#include <cmath>

namespace guavacross::policy {

namespace {

// A refusal counts as this fraction of an error.
constexpr double kRefusalWeight = 0.25;

constexpr double kErrorRateGain = 0.1;
constexpr double kMaxErrorRate = 0.5;
constexpr int kMinErrorRateSamples = 10;

// Good answers in a row after which earlier ejections are forgotten.
constexpr int kGoodAnswersToReset = 20;

constexpr int kMaxDoublings = 16;

}  // namespace

bool Ejection::Record(Verdict verdict,
                      const EjectionConfig& config,
                      TimePoint now) {
  // Attempts sent before the ejection add no information.
  if (IsEjected(now)) {
    return false;
  }
  const double error_weight = verdict == Verdict::kBad       ? 1
                              : verdict == Verdict::kRefused ? kRefusalWeight
                                                             : 0;
  m_error_rate += kErrorRateGain * (error_weight - m_error_rate);
  ++m_error_rate_samples;
  if (verdict == Verdict::kGood) {
    m_consecutive_error_weight = 0;
    m_ejections = ++m_consecutive_good >= kGoodAnswersToReset ? 0 : m_ejections;
    return false;
  }
  m_consecutive_error_weight += error_weight;
  m_consecutive_good = 0;
  const bool on_probation = m_ejections > 0 && verdict == Verdict::kBad;
  const bool by_rate = m_error_rate_samples >= kMinErrorRateSamples &&
                       m_error_rate > kMaxErrorRate;
  if (!on_probation && !by_rate &&
      m_consecutive_error_weight < config.m_consecutive_errors) {
    return false;
  }
  Eject(config, now);
  return true;
}

void Ejection::Eject(const EjectionConfig& config, TimePoint now) {
  const double factor = std::exp2(std::min(m_ejections, kMaxDoublings));
  const double unlimited_s = Seconds(config.m_base_time) * factor;
  m_ejected_until =
      now + FromSeconds(std::min(unlimited_s, Seconds(config.m_max_time)));
  ++m_ejections;
  m_consecutive_error_weight = 0;
  m_error_rate = 0;
  m_error_rate_samples = 0;
}

bool IsPanic(int ejected, int targets, const EjectionConfig& config) {
  return ejected > 0 && ejected > config.m_max_share * targets;
}

}  // namespace guavacross::policy
