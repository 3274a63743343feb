#ifndef GUAVACROSS_POLICY_TARGET_SUBSET_H_
#define GUAVACROSS_POLICY_TARGET_SUBSET_H_

#include <cstdint>
#include <string>
#include <vector>

/// The part of a service's targets that an instance uses first.
///
/// With hundreds of instances and targets, an instance that uses every target
/// meets each of them less often than targets close idle connections, so that
/// nearly every request opens a connection, and the slots of a target are
/// divided among more instances than it has slots. Each target is therefore
/// assigned to a few instances by rendezvous hashing (Thaler and Ravishankar,
/// 1998): it takes the instances with the greatest hashes of the pair. An
/// instance more or less changes only its own pairs, and so does a target.
///
/// The subset is a preference, not a limit: a target outside it is used as soon
/// as those inside are slower or full. Instances with different views of each
/// other therefore only differ in which targets they prefer.
namespace guavacross::policy {

/// How an instance ranks a target.
enum class SubsetTier : std::uint8_t {
  /// In the instance's availability zone, assigned to it.
  kNear,
  /// In another availability zone, assigned to it.
  kFar,
  /// Assigned to others.
  kOutside,
};

/// An instance or target, identified by the hash of its name.
struct SubsetInstance {
  std::uint64_t m_hash = 0;
  std::string m_zone;

  bool operator==(const SubsetInstance&) const = default;
};

/// The instances as one of them sees them.
struct InstanceView {
  std::uint64_t m_self = 0;
  /// The live instances; contains `m_self` unless that is leaving.
  std::vector<SubsetInstance> m_instances;
  /// The largest number of instances that were live at once lately.
  int m_largest_count = 1;

  bool operator==(const InstanceView&) const = default;
};

struct SubsetTarget {
  std::uint64_t m_hash = 0;
  std::string m_zone;
  int m_slots = 1;

  bool operator==(const SubsetTarget&) const = default;
};

/// Average number of targets in an instance's subset.
struct SubsetSize {
  int m_near = 12;
  int m_far = 6;

  bool operator==(const SubsetSize&) const = default;
};

/// The tier of each target for the instance `self`, in the targets' order.
///
/// A target is assigned to instances in proportion to its share of the slots:
/// targets with equal slots have equally many, and at least one of each kind if
/// there are any. `instances` contains `self` unless it is leaving. Pure; the
/// order of `instances` doesn't matter. With N instances the average time per
/// target is logarithmic in N, and at worst N.
std::vector<SubsetTier> RankTargets(
    const SubsetInstance& self,
    const std::vector<SubsetInstance>& instances,
    const std::vector<SubsetTarget>& targets,
    const SubsetSize& size = {});

/// Whether the instance `self` is among the `count` instances with the greatest
/// hashes of the pair of instance and target. Pure; in a set of instances
/// exactly `count` are.
bool IsAssigned(std::uint64_t self,
                const std::vector<SubsetInstance>& instances,
                std::uint64_t target,
                std::size_t count);

/// Factor on the cost of an unprobed target by its tier.
double TierCostFactor(SubsetTier tier);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_TARGET_SUBSET_H_
