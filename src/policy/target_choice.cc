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

// Of measured targets, the nearer one is preferred unless it is slower: the hop
// between zones takes a hundredth of a request's time, but its traffic is
// charged for.
constexpr double kMeasuredZoneCost = 0.2;

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
         (candidate.m_other_zone ? kMeasuredZoneCost : 0);
}

}  // namespace guavacross::policy
