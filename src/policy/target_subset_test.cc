#include "policy/target_subset.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "util/hash.h"
#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using util::Section;

constexpr int kZones = 6;

std::vector<SubsetInstance> Instances(int count, int zones) {
  std::vector<SubsetInstance> instances;
  for (int i = 0; i < count; ++i) {
    instances.push_back({.m_hash = util::Hash("entry-" + std::to_string(i)),
                         .m_zone = std::to_string(i % zones)});
  }
  return instances;
}

std::vector<SubsetTarget> Targets(int count, int zones) {
  std::vector<SubsetTarget> targets;
  for (int i = 0; i < count; ++i) {
    targets.push_back({.m_hash = util::Hash("target-" + std::to_string(i)),
                       .m_zone = std::to_string(i % zones),
                       .m_slots = 4});
  }
  return targets;
}

using Ranks = std::vector<std::vector<SubsetTier>>;

Ranks RankAll(const std::vector<SubsetInstance>& instances,
              const std::vector<SubsetTarget>& targets) {
  Ranks ranks;
  for (const SubsetInstance& instance : instances) {
    ranks.push_back(RankTargets(instance, instances, targets));
  }
  return ranks;
}

// How many instances have each target in `tier`.
std::vector<int> CountByTarget(const Ranks& ranks, SubsetTier tier) {
  std::vector<int> counts(ranks.front().size());
  for (const auto& tiers : ranks) {
    for (std::size_t i = 0; i < tiers.size(); ++i) {
      counts[i] += tiers[i] == tier ? 1 : 0;
    }
  }
  return counts;
}

int CountDifferences(const std::vector<SubsetTier>& a,
                     const std::vector<SubsetTier>& b) {
  int differences = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    differences += a[i] != b[i] ? 1 : 0;
  }
  return differences;
}

}  // namespace

GUAVACROSS_TEST_CASE(SubsetsOfTargets) {
  const std::vector<SubsetInstance> instances = Instances(123, kZones);
  const std::vector<SubsetTarget> targets = Targets(412, kZones);
  const Ranks ranks = RankAll(instances, targets);

  Section("targets of a zone are near for equally many instances", [&] {
    const std::vector<int> counts = CountByTarget(ranks, SubsetTier::kNear);
    std::map<std::string, std::pair<int, int>> extremes;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      auto& [least, most] =
          extremes.try_emplace(targets[i].m_zone, counts[i], counts[i])
              .first->second;
      least = std::min(least, counts[i]);
      most = std::max(most, counts[i]);
    }
    for (const auto& [zone, extreme] : extremes) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(zone, extreme.first, extreme.second);
      CPPUNIT_ASSERT(extreme.first > 0);
    }
  });
  Section("every instance has near and far targets to choose from", [&] {
    for (const auto& tiers : ranks) {
      CPPUNIT_ASSERT(
          std::count(tiers.begin(), tiers.end(), SubsetTier::kNear) >= 3);
      CPPUNIT_ASSERT(std::count(tiers.begin(), tiers.end(), SubsetTier::kFar) >=
                     1);
      CPPUNIT_ASSERT(
          std::count(tiers.begin(), tiers.end(), SubsetTier::kOutside) > 350);
    }
  });
  Section("an instance less changes few pairs of the others", [&] {
    const std::vector<SubsetInstance> fewer(instances.begin(),
                                            instances.end() - 1);
    const Ranks after = RankAll(fewer, targets);
    int differences = 0;
    for (std::size_t i = 0; i < fewer.size(); ++i) {
      differences += CountDifferences(ranks[i], after[i]);
    }
    // Its own pairs go to others; rounding of the shares moves some more.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(differences), differences <= 160);
  });
  Section(
      "a target more changes one pair of an instance at most, but for "
      "rounding",
      [&] {
        const std::vector<SubsetTarget> more = Targets(413, kZones);
        int differences = 0;
        for (std::size_t i = 0; i < instances.size(); ++i) {
          std::vector<SubsetTier> after =
              RankTargets(instances[i], instances, more);
          after.pop_back();
          differences += CountDifferences(ranks[i], after);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(differences), differences <= 160);
      });
  Section("the order of the instances makes no difference", [&] {
    std::vector<SubsetInstance> reversed(instances.rbegin(), instances.rend());
    CPPUNIT_ASSERT(RankTargets(instances[5], reversed, targets) == ranks[5]);
  });
  Section("a target with more slots is assigned to more instances", [&] {
    std::vector<SubsetTarget> uneven = targets;
    uneven[0].m_slots = 16;
    const std::vector<int> counts =
        CountByTarget(RankAll(instances, uneven), SubsetTier::kNear);
    CPPUNIT_ASSERT(counts[0] >= 3 * counts[kZones]);
  });
  Section("few instances share all targets", [&] {
    const std::vector<SubsetInstance> few = Instances(7, 4);
    for (const auto& tiers : RankAll(few, Targets(18, 4))) {
      CPPUNIT_ASSERT(
          std::count(tiers.begin(), tiers.end(), SubsetTier::kNear) >= 4);
    }
  });
  Section("an instance that knows no other has all targets near or far", [&] {
    const std::vector<SubsetInstance> alone = Instances(1, 1);
    const auto tiers = RankTargets(alone[0], alone, targets);
    CPPUNIT_ASSERT(
        std::count(tiers.begin(), tiers.end(), SubsetTier::kOutside) == 0);
  });
  Section("without targets there is nothing to rank", [&] {
    CPPUNIT_ASSERT(RankTargets(instances[0], instances, {}).empty());
  });
}

}  // namespace guavacross::policy
