#include "policy/target_choice.h"

#include <algorithm>

namespace guavacross::policy {

namespace {

// Prefers the less loaded of two cold targets.
constexpr double kOccupancyCost = 0.25;

// A hop to another availability zone takes about this fraction of a short
// request. A target in this zone loses its advantage when its occupancy is
// higher by about half of its slots.
constexpr double kZoneCost = 0.12;

// Penalty for targets on which this instance already uses its share: what it
// has sent itself is known, what others have sent meanwhile isn't.
constexpr double kBorrowCost = 0.5;

// Above this fraction of its slots in use, a target is this many times slower
// on all its requests.
constexpr double kNearlyFullOccupancy = 0.8;
constexpr double kNearlyFullSlowness = 1.5;

// Share of the slots in use from which on a further request is likely to make a
// target nearly full.
constexpr double kCrowdedUtilization = 0.6;

// Prefers the less loaded of two targets with free slots.
constexpr double kMeasuredOccupancyCost = 0.15;

// Slowness up to this is ignored, because service times vary.
constexpr double kIgnoredSlowness = 3;

// The expected service time as a multiple of the usual one: the target's
// reported slowdown times its observed slowness.
double ServiceTimeFactor(const Candidate& candidate) {
  const double observed =
      candidate.m_slowness > kIgnoredSlowness ? candidate.m_slowness : 1;
  return candidate.m_slowdown * observed;
}

}  // namespace

bool IsCrowded(double utilization) {
  return utilization >= kCrowdedUtilization;
}

double HighestCost(Requirement requirement,
                   double average_slowdown,
                   bool is_crowded) {
  switch (requirement) {
    case Requirement::kGood:
      return kGoodCost;
    case Requirement::kMeasured:
      return is_crowded ? kGoodCost : kWaitCost;
    case Requirement::kAny:
    case Requirement::kAnyIgnoringProbes:
      break;
  }
  return is_crowded ? kGoodCost * average_slowdown
                    : std::max(kWaitCost, kLastSlotCost * average_slowdown);
}

double Cost(const Candidate& candidate) {
  const double slots = std::max(1.0, candidate.m_slots);
  const double occupancy = (candidate.m_load + 1) / slots;
  const double queueing = std::max(1.0, occupancy);
  const double zone = candidate.m_other_zone ? kZoneCost : 0;
  const double borrowing = candidate.m_exceeds_share ? kBorrowCost : 0;
  return ServiceTimeFactor(candidate) * queueing +
         kOccupancyCost * std::min(1.0, occupancy) + zone + borrowing;
}

double MeasuredCost(const Candidate& candidate) {
  const double slots = std::max(1.0, candidate.m_slots);
  const double occupancy = (candidate.m_load + 1) / slots;
  const double load_factor =
      occupancy <= kNearlyFullOccupancy
          ? 1
          : kNearlyFullSlowness * std::max(1.0, occupancy);
  return ServiceTimeFactor(candidate) * load_factor +
         kMeasuredOccupancyCost * std::min(1.0, occupancy) +
         (candidate.m_other_zone ? candidate.m_leaving_cost : 0);
}

}  // namespace guavacross::policy
