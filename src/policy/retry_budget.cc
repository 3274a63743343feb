#include "policy/retry_budget.h"

#include <algorithm>

namespace guavacross::policy {

namespace {

// Tolerance for rounding: ten additions of 0.1 are a little less than 1.
constexpr double kRoundingTolerance = 1e-9;

constexpr double kReservedShare = 0.5;

}  // namespace

void RetryBudget::SetMaxBalance(double max_balance) {
  m_max_balance = max_balance;
  m_balance = std::min(m_balance, max_balance);
}

void RetryBudget::Deposit(double share) {
  m_balance = std::min(m_max_balance, m_balance + share);
}

bool RetryBudget::TryWithdraw(AttemptProgress progress,
                              int hops,
                              double reserve) {
  const double depth = 1.0 + std::max(0, hops);
  const double cost = progress == AttemptProgress::kNotRun ? 1 : depth * depth;
  if (m_balance + kRoundingTolerance < cost + reserve) {
    return false;
  }
  m_balance -= cost;
  return true;
}

double RetryBudget::ReserveForReturned() const {
  return kReservedShare * m_max_balance;
}

}  // namespace guavacross::policy
