#include "policy/target_subset.h"

#include <algorithm>
#include <cmath>

namespace guavacross::policy {

namespace {

// A target known to be slow or nearly full costs more than these, so that an
// unprobed target outside the subset is tried before it.
constexpr double kFarCostFactor = 1.4;
constexpr double kOutsideCostFactor = 1.55;

// The finalizer of SplitMix64: mixes the bits of a pair's hashes.
std::uint64_t PairHash(std::uint64_t instance, std::uint64_t target) {
  std::uint64_t mixed = instance ^ (target * 0x9e3779b97f4a7c15U);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31U);
}

// The number of instances that a target is assigned to, so that each of
// `instances` has `size` targets on average.
std::size_t InstancesOf(const SubsetTarget& target,
                        std::size_t instances,
                        int total_slots,
                        int size) {
  const double share = static_cast<double>(std::max(1, target.m_slots)) /
                       std::max(1, total_slots);
  return static_cast<std::size_t>(
      std::ceil(share * size * static_cast<double>(instances)));
}

}  // namespace

std::vector<SubsetTier> RankTargets(
    const SubsetInstance& self,
    const std::vector<SubsetInstance>& instances,
    const std::vector<SubsetTarget>& targets,
    const SubsetSize& size) {
  std::vector<SubsetInstance> same_zone;
  std::copy_if(instances.begin(), instances.end(),
               std::back_inserter(same_zone),
               [&self](const SubsetInstance& instance) {
                 return instance.m_zone == self.m_zone;
               });
  int near_slots = 0;
  int far_slots = 0;
  for (const SubsetTarget& target : targets) {
    (target.m_zone == self.m_zone ? near_slots : far_slots) +=
        std::max(1, target.m_slots);
  }
  std::vector<SubsetTier> tiers;
  tiers.reserve(targets.size());
  for (const SubsetTarget& target : targets) {
    const bool is_near = target.m_zone == self.m_zone;
    const std::vector<SubsetInstance>& takers = is_near ? same_zone : instances;
    const std::size_t count =
        InstancesOf(target, takers.size(), is_near ? near_slots : far_slots,
                    is_near ? size.m_near : size.m_far);
    const bool assigned = IsAssigned(self.m_hash, takers, target.m_hash, count);
    tiers.push_back(!assigned ? SubsetTier::kOutside
                    : is_near ? SubsetTier::kNear
                              : SubsetTier::kFar);
  }
  return tiers;
}

bool IsAssigned(std::uint64_t self,
                const std::vector<SubsetInstance>& instances,
                std::uint64_t target,
                std::size_t count) {
  if (count >= instances.size()) {
    return true;
  }
  const std::uint64_t own = PairHash(self, target);
  std::size_t greater = 0;
  for (const SubsetInstance& instance : instances) {
    greater += PairHash(instance.m_hash, target) > own ? 1 : 0;
    if (greater >= count) {
      return false;
    }
  }
  return true;
}

double TierCostFactor(SubsetTier tier) {
  switch (tier) {
    case SubsetTier::kNear:
      return 1;
    case SubsetTier::kFar:
      return kFarCostFactor;
    case SubsetTier::kOutside:
      break;
  }
  return kOutsideCostFactor;
}

}  // namespace guavacross::policy
