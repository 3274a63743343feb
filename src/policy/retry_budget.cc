#include "policy/retry_budget.h"

#include <algorithm>

namespace guavacross::policy {

namespace {

// Tolerance for rounding: ten additions of 0.1 are a little less than 1.
constexpr double kRounding = 1e-9;

}  // namespace

void RetryBudget::SetMaxSavings(double savings) {
  m_max_savings = savings;
  m_savings = std::min(m_savings, savings);
}

void RetryBudget::Earn(double share) {
  m_savings = std::min(m_max_savings, m_savings + share);
}

bool RetryBudget::Spend(AttemptReach reach, int hops) {
  const double depth = 1.0 + std::max(0, hops);
  const double cost = reach == AttemptReach::kNotRun ? 1 : depth * depth;
  if (m_savings + kRounding < cost) {
    return false;
  }
  m_savings -= cost;
  return true;
}

}  // namespace guavacross::policy
