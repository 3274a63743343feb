#include "policy/target_choice.h"

#include <algorithm>

namespace guavacross::policy {

namespace {

// Prefers the emptier of two cold targets.
constexpr double kOccupancyCost = 0.25;

// A hop to another availability zone takes about this part of a short request.
// A target in this zone loses its advantage when it is half busier.
constexpr double kZoneCost = 0.12;

// Targets on which this instance has its share already come later: what others
// have sent meanwhile isn't known, what this instance has sent is.
constexpr double kBorrowCost = 0.5;

// Beyond this part of its slots a target works this many times more slowly on
// all its requests.
constexpr double kNearlyFull = 0.8;
constexpr double kNearlyFullSlowness = 1.5;

// Of measured targets the nearer one is taken unless it is slower: the way
// there takes a hundredth of a request's time, but its bytes are paid for.
constexpr double kMeasuredZoneCost = 0.2;

// Prefers the emptier of two targets with room.
constexpr double kMeasuredOccupancyCost = 0.15;

// Service times vary; a target is slow only beyond this.
constexpr double kUsualSlowness = 3;

// How many times longer work takes on a target, by its own word and by what was
// seen of it.
double WorkFactor(const Candidate& candidate) {
  const double seen =
      candidate.m_slowness > kUsualSlowness ? candidate.m_slowness : 1;
  return candidate.m_slowdown * seen;
}

}  // namespace

double Cost(const Candidate& candidate) {
  const double slots = std::max(1.0, candidate.m_slots);
  const double occupancy = (candidate.m_load + 1) / slots;
  const double queueing = std::max(1.0, occupancy);
  const double zone = candidate.m_other_zone ? kZoneCost : 0;
  const double borrowing = candidate.m_borrows ? kBorrowCost : 0;
  return WorkFactor(candidate) * queueing +
         kOccupancyCost * std::min(1.0, occupancy) + zone + borrowing;
}

double MeasuredCost(const Candidate& candidate) {
  const double slots = std::max(1.0, candidate.m_slots);
  const double occupancy = (candidate.m_load + 1) / slots;
  const double crowding = occupancy <= kNearlyFull
                              ? 1
                              : kNearlyFullSlowness * std::max(1.0, occupancy);
  return WorkFactor(candidate) * crowding +
         kMeasuredOccupancyCost * std::min(1.0, occupancy) +
         (candidate.m_other_zone ? kMeasuredZoneCost : 0);
}

}  // namespace guavacross::policy
