// Choice of the target for an attempt.

#include <algorithm>
#include <limits>
#include <utility>

#include "policy/slot_shares.h"
#include "routing/target_pool.h"

namespace guavacross::routing {

namespace {

// Load reports up to this age are taken as current: the load of neighbours on a
// target's machine lasts for about 150 ms, and its other requests last longer.
constexpr Duration kMeasuredFor = std::chrono::milliseconds(20);

// A target that hasn't answered a probe is probed again after this time.
constexpr Duration kSilentProbeInterval = std::chrono::milliseconds(250);

// With this many requests in flight beyond its slots, a target is full for
// choices by load reports.
constexpr int kMeasuredOverflow = 2;

// Weight of an attempt's lateness in the target's slowness while the first byte
// is still outstanding.
constexpr double kLateSlowness = 2;

// Limit on the targets compared to find those to probe. The time per request
// grows in proportion, and more targets would hardly give better ones: with
// four availability zones a quarter of these are in the instance's own zone.
constexpr std::size_t kMostCompared = 256;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

Choice TargetPool::Choose(const std::vector<std::string>& avoid,
                          TimePoint now) {
  if (m_targets.empty()) {
    return {};
  }
  if (m_options.m_policy != ChoicePolicy::kGuavacross) {
    return ChooseBaseline();
  }
  RefreshExceptions(now);
  const Offer sampled = BestOfSample(avoid, now);
  if (sampled.m_target != nullptr && sampled.m_cost <= policy::kGoodCost) {
    return {.m_target = sampled.m_target};
  }
  return BestOfAll(avoid, now);
}

Choice TargetPool::ChooseMeasured(const std::vector<std::string>& avoid,
                                  Demand demand,
                                  TimePoint now) {
  RefreshExceptions(now);
  const Offer best = demand == Demand::kAny ? CheapestOfAll(avoid, now)
                                            : CheapestMeasured(avoid, now);
  const double limit =
      demand == Demand::kGood ? policy::kGoodCost : policy::kWaitCost;
  if (best.m_target != nullptr && best.m_cost <= limit) {
    return {.m_target = best.m_target};
  }
  const bool any_eligible = AnyEligible(avoid, now);
  if (!any_eligible && !avoid.empty() && demand == Demand::kAny) {
    return ChooseMeasured({}, demand, now);
  }
  return {.m_worth_waiting = any_eligible || !avoid.empty()};
}

TargetPool::Offer TargetPool::CheapestOfAll(
    const std::vector<std::string>& avoid,
    TimePoint now) {
  Offer best;
  ForEachFromRandom(m_targets.size(), [&](Target* target) {
    if (MayTake(*target, avoid, now)) {
      Improve(target, now, &best);
    }
    return true;
  });
  return best;
}

TargetPool::Offer TargetPool::CheapestMeasured(
    const std::vector<std::string>& avoid,
    TimePoint now) {
  Offer best;
  // Start at a random target, so that equal costs don't favour the first.
  const std::size_t start =
      m_measured.empty() ? 0 : m_random.Below(m_measured.size());
  for (std::size_t i = 0; i < m_measured.size(); ++i) {
    Target* const target = m_measured[(start + i) % m_measured.size()];
    if (IsMeasured(*target, now) && MayTake(*target, avoid, now)) {
      Improve(target, now, &best);
    }
  }
  return best;
}

void TargetPool::Improve(Target* target, TimePoint now, Offer* best) const {
  const double cost = MeasuredCostOf(*target, now);
  if (best->m_target == nullptr || cost < best->m_cost) {
    *best = {.m_target = target, .m_cost = cost};
  }
}

bool TargetPool::MayTake(const Target& target,
                         const std::vector<std::string>& avoid,
                         TimePoint now) const {
  return IsEligible(target, now) && !Contains(avoid, target.m_config.m_name);
}

bool TargetPool::AnyEligible(const std::vector<std::string>& avoid,
                             TimePoint now) {
  bool any = false;
  ForEachFromRandom(m_targets.size(), [&](Target* target) {
    any = MayTake(*target, avoid, now);
    return !any;
  });
  return any;
}

std::vector<Target*> TargetPool::ToMeasure(std::size_t count, TimePoint now) {
  std::vector<Offer> offers;
  ForEachFromRandom(kMostCompared, [&](Target* target) {
    const bool asked_in_vain =
        target->m_silent && now - target->m_probed_at < kSilentProbeInterval;
    if (!IsGone(*target) && !asked_in_vain && !target->m_probe_in_flight &&
        !IsMeasured(*target, now)) {
      // Random noise of up to 10 %, so that the instances don't all probe the
      // same targets.
      offers.push_back({.m_target = target,
                        .m_cost = MeasuredCostOf(*target, now) *
                                  (1 + 0.1 * m_random.Uniform())});
    }
    return true;
  });
  const std::size_t kept = std::min(count, offers.size());
  std::partial_sort(
      offers.begin(), offers.begin() + static_cast<std::ptrdiff_t>(kept),
      offers.end(),
      [](const Offer& a, const Offer& b) { return a.m_cost < b.m_cost; });
  std::vector<Target*> targets;
  for (std::size_t i = 0; i < kept; ++i) {
    targets.push_back(offers[i].m_target);
  }
  return targets;
}

void TargetPool::ForEachFromRandom(std::size_t most,
                                   const std::function<bool(Target*)>& visit) {
  const std::size_t count = std::min(most, m_targets.size());
  const std::size_t start = count == 0 ? 0 : m_random.Below(m_targets.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (!visit(m_targets[(start + i) % m_targets.size()].get())) {
      return;
    }
  }
}

bool TargetPool::IsMeasured(const Target& target, TimePoint now) const {
  return target.m_load.ReadingAge(now) <= kMeasuredFor;
}

double TargetPool::MeasuredCostOf(const Target& target, TimePoint now) const {
  const policy::TargetLoad& load = target.m_load;
  const double in_flight =
      load.own() + load.Others(m_parameters.m_aging, m_usual_others, now);
  const double full = target.m_config.m_slots + kMeasuredOverflow;
  // A target with an outstanding probe may be unresponsive.
  const bool unanswered = target.m_probe_in_flight && !m_all_silent;
  if (in_flight >= full || unanswered) {
    return std::numeric_limits<double>::max();
  }
  return policy::MeasuredCost(
      {.m_load = in_flight,
       .m_slots = static_cast<double>(target.m_config.m_slots),
       .m_slowness = SlownessOf(target, now),
       .m_slowdown = SlowdownOf(target, now) / Warmth(target, now),
       .m_other_zone = target.m_other_zone});
}

double TargetPool::SlowdownOf(const Target& target, TimePoint now) const {
  return target.m_load.Slowdown(m_usual_slowdown, now);
}

TargetPool::Offer TargetPool::BestOfSample(
    const std::vector<std::string>& avoid,
    TimePoint now) {
  Offer best;
  for (int i = 0; i < m_parameters.m_samples; ++i) {
    Target* const target = m_targets[m_random.Below(m_targets.size())].get();
    if (target == best.m_target || !IsEligible(*target, now) ||
        Contains(avoid, target->m_config.m_name) ||
        m_random.Uniform() >= Warmth(*target, now)) {
      continue;
    }
    const std::optional<double> cost = CostOf(*target, now);
    if (cost && (best.m_target == nullptr || *cost < best.m_cost)) {
      best = {.m_target = target, .m_cost = *cost};
    }
  }
  return best;
}

Choice TargetPool::BestOfAll(const std::vector<std::string>& avoid,
                             TimePoint now) {
  Offer best;
  Offer best_avoided;
  bool any_eligible = false;
  // Start at a random target, so that equal costs don't favour the first.
  const std::size_t start = m_random.Below(m_targets.size());
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    Target* const target = m_targets[(start + i) % m_targets.size()].get();
    if (!IsEligible(*target, now)) {
      continue;
    }
    const bool is_avoided = Contains(avoid, target->m_config.m_name);
    any_eligible = any_eligible || !is_avoided;
    const std::optional<double> cost = CostOf(*target, now);
    Offer& offer = is_avoided ? best_avoided : best;
    if (cost && (offer.m_target == nullptr || *cost < offer.m_cost)) {
      offer = {.m_target = target, .m_cost = *cost};
    }
  }
  if (!any_eligible) {
    best = best_avoided;
  }
  const bool wait_instead =
      best.m_cost > policy::kWaitCost && m_own_in_flight > 0;
  if (best.m_target == nullptr || wait_instead) {
    return {.m_worth_waiting = any_eligible || best.m_target != nullptr};
  }
  return {.m_target = best.m_target};
}

Choice TargetPool::ChooseBaseline() {
  if (m_options.m_policy == ChoicePolicy::kRoundRobin) {
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
      Target* const target =
          m_targets[m_next_in_turn++ % m_targets.size()].get();
      if (!target->m_removed) {
        return {.m_target = target};
      }
    }
    return {};
  }
  const bool by_load = m_options.m_policy == ChoicePolicy::kLeastInFlight;
  Target* best = nullptr;
  const std::size_t start = m_random.Below(m_targets.size());
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    Target* const target = m_targets[(start + i) % m_targets.size()].get();
    if (!target->m_removed &&
        (best == nullptr ||
         (by_load && target->m_load.own() < best->m_load.own()))) {
      best = target;
    }
  }
  return {.m_target = best};
}

double TargetPool::SlownessOf(const Target& target, TimePoint now) const {
  if (!IsEnabled(Mechanism::kSlowness)) {
    return 1;
  }
  double slowness = target.m_load.Slowness(m_parameters.m_aging, now);
  for (const Attempt& attempt : target.m_attempts) {
    if (now > attempt.m_slow_at) {
      const double lateness = Seconds(now - attempt.m_sent_at) /
                              Seconds(attempt.m_slow_at - attempt.m_sent_at);
      slowness = std::max(slowness, 1 + kLateSlowness * lateness);
    }
  }
  return slowness;
}

std::optional<double> TargetPool::CostOf(const Target& target,
                                         TimePoint now) const {
  const policy::TargetLoad& load = target.m_load;
  const policy::LoadAging& aging = m_parameters.m_aging;
  const double others = load.Others(aging, m_usual_others, now);
  const policy::SlotView view{
      .m_slots = target.m_config.m_slots,
      .m_instances = IsEnabled(Mechanism::kSlotShares) ? m_instances : 1,
      .m_own = load.own(),
      .m_others = load.reported_others(),
      .m_fresh = load.IsFresh(aging, now),
      .m_uses = load.uses(),
      .m_unused_by_peers = load.IsUnusedByPeers(aging, now)};
  const policy::SlotClaim claim = policy::ClaimSlot(view);
  if (claim == policy::SlotClaim::kNone) {
    return std::nullopt;
  }
  return policy::Cost({.m_load = load.own() + others,
                       .m_slots = static_cast<double>(target.m_config.m_slots),
                       .m_slowness = SlownessOf(target, now),
                       .m_slowdown = SlowdownOf(target, now),
                       .m_other_zone = target.m_other_zone &&
                                       IsEnabled(Mechanism::kZonePreference),
                       .m_borrows = claim == policy::SlotClaim::kBorrowed});
}

}  // namespace guavacross::routing
