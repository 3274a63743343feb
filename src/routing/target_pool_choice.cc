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
constexpr Duration kMaxMeasurementAge = std::chrono::milliseconds(20);

// A target that hasn't answered a probe is probed again after this time.
constexpr Duration kUnresponsiveProbeInterval = std::chrono::milliseconds(250);

// How long a failed connection to a target casts doubt on new ones. Instances
// may be cut off from new connections for many seconds.
constexpr Duration kConnectionDoubtTime = std::chrono::seconds(10);

// With this many requests in flight beyond its slots, a target is full for
// choices by load reports.
constexpr int kMeasuredSlotOverflow = 2;

// Weight of an attempt's lateness in the target's slowness while the first byte
// is still outstanding.
constexpr double kPendingLatenessWeight = 2;

// Limit on the targets compared to find those to probe. The time per request
// grows in proportion, and more targets would hardly give better ones: with
// four availability zones a quarter of these are in the instance's own zone.
constexpr std::size_t kMaxCompared = 256;

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
  UpdateExclusionOverrides(now);
  const RankedTarget limited = CheapestLimited(avoid, {}, now);
  if (limited.m_target != nullptr && limited.m_cost <= policy::kGoodCost) {
    return {.m_target = limited.m_target};
  }
  const RankedTarget sampled = BestOfSample(avoid, now);
  if (sampled.m_target != nullptr && sampled.m_cost <= policy::kGoodCost) {
    return {.m_target = sampled.m_target};
  }
  return BestOfAll(avoid, now);
}

Choice TargetPool::ChooseMeasured(const std::vector<std::string>& avoid,
                                  policy::Requirement requirement,
                                  const policy::ZoneTerms& terms,
                                  TimePoint now) {
  UpdateExclusionOverrides(now);
  const bool ignore_probes =
      requirement == policy::Requirement::kAnyIgnoringProbes;
  m_all_unresponsive = m_all_unresponsive || ignore_probes;
  const bool accepts_any =
      requirement == policy::Requirement::kAny || ignore_probes;
  const double limit =
      policy::HighestCost(requirement, m_average_slowdown, IsCrowded(now));
  const RankedTarget limited = CheapestLimited(avoid, terms, now);
  if (limited.m_target != nullptr && limited.m_cost <= limit) {
    return {.m_target = limited.m_target};
  }
  const RankedTarget best = accepts_any ? CheapestOfAll(avoid, terms, now)
                                        : CheapestMeasured(avoid, terms, now);
  if (best.m_target != nullptr && best.m_cost <= limit) {
    return {.m_target = best.m_target};
  }
  const bool any_eligible = AnyEligible(avoid, now);
  if (!any_eligible && !avoid.empty() && accepts_any) {
    return ChooseMeasured({}, requirement, terms, now);
  }
  if (any_eligible || !avoid.empty()) {
    return {.m_worth_waiting = true};
  }
  return {.m_room_at = RoomAt(0, now)};
}

// A target with a limit isn't probed before it is used, since probes count
// against the limit. It takes few requests, so that it is used whenever it may
// be sent one and isn't known to be slow.
TargetPool::RankedTarget TargetPool::CheapestLimited(
    const std::vector<std::string>& avoid,
    const policy::ZoneTerms& terms,
    TimePoint now) {
  RankedTarget best;
  for (Target* const target : m_limited) {
    if (IsSelectable(target, avoid, now)) {
      ReplaceIfCheaper(target, terms, now, &best);
    }
  }
  return best;
}

TargetPool::RankedTarget TargetPool::CheapestOfAll(
    const std::vector<std::string>& avoid,
    const policy::ZoneTerms& terms,
    TimePoint now) {
  RankedTarget best;
  VisitFromRandomStart(m_targets.size(), [&](Target* target) {
    if (IsSelectable(target, avoid, now)) {
      ReplaceIfCheaper(target, terms, now, &best);
    }
    return true;
  });
  return best;
}

TargetPool::RankedTarget TargetPool::CheapestMeasured(
    const std::vector<std::string>& avoid,
    const policy::ZoneTerms& terms,
    TimePoint now) {
  RankedTarget best;
  // Start at a random target, so that equal costs don't favour the first.
  const std::size_t start = m_recently_measured.empty()
                                ? 0
                                : m_random.Below(m_recently_measured.size());
  for (std::size_t i = 0; i < m_recently_measured.size(); ++i) {
    Target* const target =
        m_recently_measured[(start + i) % m_recently_measured.size()];
    if (IsMeasured(*target, now) && IsSelectable(target, avoid, now)) {
      ReplaceIfCheaper(target, terms, now, &best);
    }
  }
  return best;
}

void TargetPool::ReplaceIfCheaper(Target* target,
                                  const policy::ZoneTerms& terms,
                                  TimePoint now,
                                  RankedTarget* best) const {
  const double cost = MeasuredCostOf(*target, terms, now);
  if (best->m_target == nullptr || cost < best->m_cost) {
    *best = {.m_target = target, .m_cost = cost};
  }
}

bool TargetPool::IsSelectable(Target* target,
                              const std::vector<std::string>& avoid,
                              TimePoint now) const {
  return IsEligible(target, now) && !Contains(avoid, target->m_config.m_name);
}

bool TargetPool::AnyEligible(const std::vector<std::string>& avoid,
                             TimePoint now) {
  bool any = false;
  VisitFromRandomStart(m_targets.size(), [&](Target* target) {
    any = IsSelectable(target, avoid, now);
    return !any;
  });
  return any;
}

std::vector<Target*> TargetPool::TargetsToProbe(std::size_t count,
                                                const policy::ZoneTerms& terms,
                                                TimePoint now) {
  std::vector<RankedTarget> ranked_targets;
  const auto rank = [&](Target* target) {
    if (CanBeProbed(target, now)) {
      // Random noise of up to 10 %, so that the instances don't all probe the
      // same targets.
      ranked_targets.push_back(
          {.m_target = target,
           .m_cost = MeasuredCostOf(*target, terms, now) *
                     policy::TierCostFactor(target->m_tier) *
                     (1 + 0.1 * m_random.Uniform())});
    }
  };
  std::for_each(m_subset.begin(), m_subset.end(), rank);
  const auto good_count = static_cast<std::size_t>(
      std::count_if(ranked_targets.begin(), ranked_targets.end(),
                    [limit = CheapestOutsideCost()](const RankedTarget& each) {
                      return each.m_cost <= limit;
                    }));
  if (good_count < count) {
    VisitFromRandomStart(kMaxCompared, [&](Target* target) {
      if (target->m_tier == policy::SubsetTier::kOutside) {
        rank(target);
      }
      return true;
    });
  }
  const std::size_t kept = std::min(count, ranked_targets.size());
  std::partial_sort(ranked_targets.begin(),
                    ranked_targets.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked_targets.end(),
                    [](const RankedTarget& a, const RankedTarget& b) {
                      return a.m_cost < b.m_cost;
                    });
  std::vector<Target*> targets;
  for (std::size_t i = 0; i < kept; ++i) {
    targets.push_back(ranked_targets[i].m_target);
  }
  return targets;
}

bool TargetPool::CanBeProbed(Target* target, TimePoint now) const {
  const bool recently_unanswered =
      target->m_unresponsive &&
      now < target->m_probed_at + kUnresponsiveProbeInterval;
  // A probe counts as one of the requests that a limit allows, so that a target
  // is then probed only if it isn't used otherwise.
  const bool is_spared = target->m_limit.is_active() && !target->m_unresponsive;
  // Only a probe shows whether a target is cold that may be.
  const bool is_asked =
      target->m_cold.IsCold(now) && target->m_cold.is_assumed();
  return !IsRetired(*target) && (HasRoom(target, now) || is_asked) &&
         !is_spared && !recently_unanswered && !target->m_probe_in_flight &&
         !IsMeasured(*target, now);
}

double TargetPool::CheapestOutsideCost() const {
  return policy::TierCostFactor(policy::SubsetTier::kOutside) *
         policy::MeasuredCost({.m_slots = static_cast<double>(m_total_slots) /
                                          static_cast<double>(m_targets.size()),
                               .m_slowdown = m_average_slowdown});
}

void TargetPool::VisitFromRandomStart(
    std::size_t max_targets,
    const std::function<bool(Target*)>& visit) {
  const std::size_t count = std::min(max_targets, m_targets.size());
  const std::size_t start = count == 0 ? 0 : m_random.Below(m_targets.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (!visit(m_targets[(start + i) % m_targets.size()].get())) {
      return;
    }
  }
}

// A report shows that the connection on which it came works, on which one
// request is then sent. Whether a new connection would is in doubt for a time
// after one has failed.
bool TargetPool::IsMeasured(const Target& target, TimePoint now) const {
  const bool doubts_connections =
      target.m_connection_failed_at != TimePoint::min() &&
      now - target.m_connection_failed_at < kConnectionDoubtTime;
  const bool is_used_up =
      doubts_connections && target.m_load.attempts_since_report() > 0;
  return target.m_load.ReportAge(now) <= kMaxMeasurementAge && !is_used_up;
}

double TargetPool::MeasuredCostOf(const Target& target,
                                  const policy::ZoneTerms& terms,
                                  TimePoint now) const {
  const policy::TargetLoad& load = target.m_load;
  const double in_flight =
      load.own() +
      load.PeerAttempts(m_parameters.m_aging, m_average_others, now);
  const double full = target.m_config.m_slots + kMeasuredSlotOverflow;
  // A target with an outstanding probe may be unresponsive.
  const bool unanswered = target.m_probe_in_flight && !m_all_unresponsive;
  if (in_flight >= full || unanswered) {
    return std::numeric_limits<double>::max();
  }
  return policy::MeasuredCost(
      {.m_load = in_flight,
       .m_slots = static_cast<double>(target.m_config.m_slots),
       .m_slowness = SlownessOf(target, now),
       .m_slowdown = SlowdownOf(target, now) / SlowStartWeight(target, now),
       .m_other_zone = target.m_other_zone,
       .m_leaving_cost = target.m_other_zone
                             ? policy::LeavingCost(terms, ExtraTime(target))
                             : 0});
}

Duration TargetPool::ExtraTime(const Target& target) const {
  const Duration own = m_zones.front().second.value();
  const Duration there = m_zones[target.m_zone].second.value();
  const bool are_known = own > Duration::zero() && there > Duration::zero();
  return are_known ? there - own : Duration::zero();
}

void TargetPool::RecordProbeTime(const Target& target,
                                 Duration time,
                                 TimePoint now) {
  m_zones[target.m_zone].second.Record(time, now);
}

bool TargetPool::HasLocalTarget(TimePoint now) const {
  return std::any_of(m_targets.begin(), m_targets.end(),
                     [this, now](const std::unique_ptr<Target>& target) {
                       return !target->m_other_zone &&
                              IsEligible(target.get(), now);
                     });
}

std::size_t TargetPool::ZoneIndex(const std::string& zone) {
  const auto found =
      std::find_if(m_zones.begin(), m_zones.end(),
                   [&zone](const auto& each) { return each.first == zone; });
  if (found != m_zones.end()) {
    return static_cast<std::size_t>(found - m_zones.begin());
  }
  m_zones.emplace_back(zone, policy::RecentMinimum());
  return m_zones.size() - 1;
}

double TargetPool::SlowdownOf(const Target& target, TimePoint now) const {
  return target.m_load.Slowdown(m_average_slowdown, now);
}

TargetPool::RankedTarget TargetPool::BestOfSample(
    const std::vector<std::string>& avoid,
    TimePoint now) {
  RankedTarget best;
  for (int i = 0; i < m_parameters.m_samples; ++i) {
    Target* const target = m_targets[m_random.Below(m_targets.size())].get();
    if (target == best.m_target || !IsEligible(target, now) ||
        Contains(avoid, target->m_config.m_name) ||
        m_random.Uniform() >= SlowStartWeight(*target, now)) {
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
  RankedTarget best;
  RankedTarget best_avoided;
  bool any_eligible = false;
  // Start at a random target, so that equal costs don't favour the first.
  const std::size_t start = m_random.Below(m_targets.size());
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    Target* const target = m_targets[(start + i) % m_targets.size()].get();
    if (!IsEligible(target, now)) {
      continue;
    }
    const bool is_avoided = Contains(avoid, target->m_config.m_name);
    any_eligible = any_eligible || !is_avoided;
    const std::optional<double> cost = CostOf(*target, now);
    RankedTarget& current_best = is_avoided ? best_avoided : best;
    if (cost &&
        (current_best.m_target == nullptr || *cost < current_best.m_cost)) {
      current_best = {.m_target = target, .m_cost = *cost};
    }
  }
  if (!any_eligible) {
    best = best_avoided;
  }
  const bool wait_instead =
      best.m_cost > policy::kWaitCost && m_own_in_flight > 0;
  if (best.m_target == nullptr || wait_instead) {
    if (any_eligible || best.m_target != nullptr) {
      return {.m_worth_waiting = true};
    }
    return {.m_room_at = RoomAt(0, now)};
  }
  return {.m_target = best.m_target};
}

Choice TargetPool::ChooseBaseline() {
  if (m_options.m_policy == ChoicePolicy::kRoundRobin) {
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
      Target* const target =
          m_targets[m_next_round_robin++ % m_targets.size()].get();
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
      slowness = std::max(slowness, 1 + kPendingLatenessWeight * lateness);
    }
  }
  return slowness;
}

std::optional<double> TargetPool::CostOf(const Target& target,
                                         TimePoint now) const {
  const policy::TargetLoad& load = target.m_load;
  const policy::LoadAging& aging = m_parameters.m_aging;
  const double others = load.PeerAttempts(aging, m_average_others, now);
  const policy::SlotView view{
      .m_slots = target.m_config.m_slots,
      .m_instances = IsEnabled(Mechanism::kSlotShares) ? m_instances : 1,
      .m_own = load.own(),
      .m_peer_attempts = load.reported_peer_attempts(),
      .m_fresh = load.IsFresh(aging, now),
      .m_attempts_since_report = load.attempts_since_report(),
      .m_unused_by_peers = load.IsUnusedByPeers(aging, now)};
  const policy::SlotSource claim = policy::FindSlot(view);
  if (claim == policy::SlotSource::kNone) {
    return std::nullopt;
  }
  return policy::Cost(
      {.m_load = load.own() + others,
       .m_slots = static_cast<double>(target.m_config.m_slots),
       .m_slowness = SlownessOf(target, now),
       .m_slowdown = SlowdownOf(target, now),
       .m_other_zone =
           target.m_other_zone && IsEnabled(Mechanism::kZonePreference),
       .m_exceeds_share = claim == policy::SlotSource::kBorrowed});
}

}  // namespace guavacross::routing
