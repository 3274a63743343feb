#include "policy/relay_choice.h"

#include <limits>

#include "policy/path_loss.h"

namespace guavacross::policy {

namespace {

// Cost of a peer in another zone, as a multiple.
constexpr double kOtherZoneCost = 2;

// Requests at work to which a peer's full load compares.
constexpr double kRequestsAtFullLoad = 100;

// Random part of the cost: it divides equal peers evenly among the instances
// that choose at the same moment.
constexpr double kRandomCost = 0.5;

double CostOf(const RelayCandidate& candidate, Random* random) {
  const double busy = 1 + candidate.m_in_flight +
                      kRequestsAtFullLoad * candidate.m_load +
                      kRandomCost * random->Uniform();
  return candidate.m_same_zone ? busy : kOtherZoneCost * busy;
}

}  // namespace

std::optional<std::size_t> ChooseRelay(
    std::span<const RelayCandidate> candidates,
    TimePoint since,
    Random* random) {
  std::optional<std::size_t> best;
  bool best_is_proven = false;
  double best_cost = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const RelayCandidate& each = candidates[i];
    // Answers from before the loss may have been on their way when it began.
    const bool is_proven = each.m_answered_at.has_value() &&
                           *each.m_answered_at > since + PathLoss::kAnswerTime;
    const bool is_told = each.m_told_at.has_value() && *each.m_told_at > since;
    if (each.m_excluded || each.m_lost || (!is_proven && !is_told) ||
        (best_is_proven && !is_proven)) {
      continue;
    }
    const double cost = CostOf(each, random);
    if ((is_proven && !best_is_proven) || cost < best_cost) {
      best = i;
      best_is_proven = is_proven;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace guavacross::policy
