#include "routing/target_pool.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "policy/slot_shares.h"

namespace guavacross::routing {

namespace {

// The part of a new reading in the average over targets.
constexpr double kUsualGain = 0.05;

// Slow start begins at this part of a target's slots.
constexpr double kColdestShare = 0.1;

// Above this part of cold targets slow start is overlooked: there are no warm
// ones to carry the load meanwhile.
constexpr double kMaxColdShare = 0.5;

// A target that has told its load and speed within this time is known: its
// neighbours stay for some 150 ms, and its other requests for longer.
constexpr Duration kMeasuredFor = std::chrono::milliseconds(20);

// A target that gave no answer to a probe is probed again after this.
constexpr Duration kSilentProbeInterval = std::chrono::milliseconds(250);

// A target is full for measured choices with this many requests beyond its
// slots.
constexpr int kMeasuredOverflow = 2;

// How much a late answer counts against a target while it is still awaited.
constexpr double kLateSlowness = 2;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

TargetPool::TargetPool(const RouterOptions& options, std::uint64_t seed)
    : m_options(options), m_random(seed) {}

void TargetPool::Configure(std::shared_ptr<const ServiceConfig> config,
                           TimePoint now) {
  const bool is_first = m_targets.empty();
  m_config = std::move(config);
  m_parameters = policy::ParametersOf(m_config->m_profile);
  m_total_slots = 0;
  for (const auto& target : m_targets) {
    target->m_removed = true;
  }
  for (const TargetConfig& wanted : m_config->m_targets) {
    Target* target = Find(wanted.m_name);
    if (target == nullptr || target->m_config.m_address != wanted.m_address ||
        target->m_config.m_incarnation != wanted.m_incarnation) {
      // Another address under the same name is another server. The old one
      // keeps its attempts, without its name, until they have ended.
      m_targets.push_back(std::make_unique<Target>());
      target = m_targets.back().get();
      const bool told_cold = wanted.m_warm_up_left > Duration::zero();
      const bool told_warm = wanted.m_incarnation != 0 && !told_cold;
      const bool is_warm = told_warm || (is_first && !told_cold);
      target->m_cold_since = is_warm ? TimePoint::min() : now;
      target->m_cold_for = wanted.m_warm_up_left;
      m_cold_until = is_warm ? m_cold_until : TimePoint::max();
      m_by_name[wanted.m_name] = target;
    }
    target->m_config = wanted;
    target->m_removed = false;
    target->m_other_zone =
        !m_options.m_zone.empty() && wanted.m_zone != m_options.m_zone;
    m_total_slots += wanted.m_slots;
  }
  std::erase_if(m_targets, [this](const std::unique_ptr<Target>& target) {
    const bool is_gone = target->m_removed && target->m_attempts.empty();
    const auto named = m_by_name.find(target->m_config.m_name);
    if (is_gone && named != m_by_name.end() && named->second == target.get()) {
      m_by_name.erase(named);
    }
    return is_gone;
  });
}

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
  Offer best;
  bool any_eligible = false;
  const std::size_t start =
      m_targets.empty() ? 0 : m_random.Below(m_targets.size());
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    Target* const target = m_targets[(start + i) % m_targets.size()].get();
    if (!IsEligible(*target, now) || Contains(avoid, target->m_config.m_name)) {
      continue;
    }
    any_eligible = true;
    if (demand != Demand::kAny && !IsMeasured(*target, now)) {
      continue;
    }
    const double cost = MeasuredCostOf(*target, now);
    if (best.m_target == nullptr || cost < best.m_cost) {
      best = {.m_target = target, .m_cost = cost};
    }
  }
  const double limit =
      demand == Demand::kGood ? policy::kGoodCost : policy::kWaitCost;
  if (best.m_target != nullptr && best.m_cost <= limit) {
    return {.m_target = best.m_target};
  }
  if (!any_eligible && !avoid.empty() && demand == Demand::kAny) {
    return ChooseMeasured({}, demand, now);
  }
  return {.m_worth_waiting = any_eligible || !avoid.empty()};
}

std::vector<Target*> TargetPool::ToMeasure(std::size_t count, TimePoint now) {
  std::vector<Offer> offers;
  for (const auto& target : m_targets) {
    if (target->m_removed || target->m_replaced || target->m_probe_in_flight ||
        target->m_draining.is_draining() || IsMeasured(*target, now) ||
        (target->m_silent &&
         now - target->m_probed_at < kSilentProbeInterval)) {
      continue;
    }
    // A random part, so that the instances don't all ask the same ones.
    offers.push_back({.m_target = target.get(),
                      .m_cost = MeasuredCostOf(*target, now) *
                                (1 + 0.1 * m_random.Uniform())});
  }
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

bool TargetPool::IsMeasured(const Target& target, TimePoint now) const {
  return target.m_load.ReadingAge(now) <= kMeasuredFor;
}

double TargetPool::MeasuredCostOf(const Target& target, TimePoint now) const {
  const policy::TargetLoad& load = target.m_load;
  const double in_flight =
      load.own() + load.Others(m_parameters.m_aging, m_usual_others, now);
  const double full = target.m_config.m_slots + kMeasuredOverflow;
  // A target that hasn't answered its probe yet may be dark.
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

void TargetPool::ReportSlowdown(Target* target, double slowdown, TimePoint at) {
  target->m_load.ReportSlowdown(slowdown, at);
  m_usual_slowdown += kUsualGain * (slowdown - m_usual_slowdown);
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
  // A random start, so that equal costs don't favour the first target.
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

void TargetPool::Sent(Target* target, Attempt attempt) {
  target->m_attempts.push_back(attempt);
  target->m_load.Sent();
  ++m_own_in_flight;
}

std::optional<Attempt> TargetPool::Ended(Target* target,
                                         std::uint64_t attempt_id) {
  const auto found = std::find_if(
      target->m_attempts.begin(), target->m_attempts.end(),
      [&](const Attempt& attempt) { return attempt.m_id == attempt_id; });
  if (found == target->m_attempts.end()) {
    return std::nullopt;
  }
  const Attempt ended = *found;
  target->m_attempts.erase(found);
  target->m_load.Ended();
  --m_own_in_flight;
  return ended;
}

int TargetPool::CountSentAfter(TimePoint time) const {
  int count = 0;
  for (const auto& target : m_targets) {
    for (const Attempt& attempt : target->m_attempts) {
      count += attempt.m_sent_at > time ? 1 : 0;
    }
  }
  return count;
}

void TargetPool::ReportInFlight(Target* target, int in_flight, TimePoint at) {
  target->m_reported_in_flight = in_flight;
  if (IsEnabled(Mechanism::kReadings)) {
    target->m_load.Report(in_flight, at);
    m_usual_others +=
        kUsualGain * (target->m_load.reported_others() - m_usual_others);
  }
}

bool TargetPool::LearnRun(Target* target,
                          const LoadReport& load,
                          TimePoint now) {
  const policy::Draining::Change change =
      target->m_draining.LearnFromTarget(load.m_draining, load.m_incarnation);
  if (change.m_restarted) {
    target->m_ejection.Reset();
    target->m_cold_since = now;
    m_cold_until = TimePoint::max();
  }
  return change.m_started_draining;
}

void TargetPool::PeersReport(Target* target, int in_flight, TimePoint now) {
  if (IsEnabled(Mechanism::kReadings)) {
    target->m_load.PeersReport(in_flight, now);
  }
}

void TargetPool::Judge(Target* target, policy::Verdict verdict, TimePoint now) {
  if (target->m_ejection.Record(verdict, m_config->m_ejection, now)) {
    m_ejections_until = std::max(m_ejections_until, target->m_ejection.until());
  }
}

Target* TargetPool::Find(const std::string& name) {
  const auto found = m_by_name.find(name);
  return found == m_by_name.end() ? nullptr : found->second;
}

Target* TargetPool::FindByAttempt(const std::string& name,
                                  std::uint64_t attempt_id) {
  const auto carries = [attempt_id](const Target& target) {
    return std::any_of(target.m_attempts.begin(), target.m_attempts.end(),
                       [attempt_id](const Attempt& attempt) {
                         return attempt.m_id == attempt_id;
                       });
  };
  Target* const named = Find(name);
  if (named != nullptr && carries(*named)) {
    return named;
  }
  for (const auto& target : m_targets) {
    if (target->m_removed && carries(*target)) {
      return target.get();
    }
  }
  return nullptr;
}

bool TargetPool::IsPanic(TimePoint now) const {
  int ejected = 0;
  int present = 0;
  for (const auto& target : m_targets) {
    if (!target->m_removed && !target->m_draining.is_draining()) {
      ++present;
      ejected += target->m_ejection.IsEjected(now) ? 1 : 0;
    }
  }
  return policy::IsPanic(ejected, present, m_config->m_ejection);
}

double TargetPool::Utilization() const {
  const double others = m_usual_others * static_cast<double>(m_targets.size());
  return (m_own_in_flight + others) / std::max(1, m_total_slots);
}

bool TargetPool::IsSlowStart(const Target& target, TimePoint now) const {
  return target.m_cold_since != TimePoint::min() &&
         now < target.m_cold_since + ColdTime(target);
}

Duration TargetPool::ColdTime(const Target& target) const {
  return target.m_cold_for > Duration::zero() ? target.m_cold_for
                                              : m_config->m_slow_start.m_window;
}

bool TargetPool::IsEnabled(Mechanism mechanism) const {
  return !m_options.m_disabled.contains(mechanism);
}

void TargetPool::RefreshExceptions(TimePoint now) {
  m_panic = now < m_ejections_until && IsPanic(now);
  m_all_silent = std::all_of(
      m_targets.begin(), m_targets.end(),
      [](const auto& target) { return target->m_silent || target->m_removed; });
  if (now >= m_cold_until) {
    m_all_cold = false;
    return;
  }
  int cold = 0;
  m_cold_until = TimePoint::min();
  for (const auto& target : m_targets) {
    if (IsSlowStart(*target, now)) {
      ++cold;
      m_cold_until =
          std::max(m_cold_until, target->m_cold_since + ColdTime(*target));
    }
  }
  m_all_cold = cold > kMaxColdShare * static_cast<double>(m_targets.size());
}

bool TargetPool::IsEligible(const Target& target, TimePoint now) const {
  if (target.m_removed || target.m_replaced ||
      target.m_draining.is_draining()) {
    return false;
  }
  if (target.m_silent && !m_all_silent) {
    return false;
  }
  return m_panic || now >= m_ejections_until ||
         !IsEnabled(Mechanism::kEjection) || !target.m_ejection.IsEjected(now);
}

double TargetPool::Warmth(const Target& target, TimePoint now) const {
  if (m_all_cold || now >= m_cold_until || !IsSlowStart(target, now) ||
      !IsEnabled(Mechanism::kSlowStart)) {
    return 1;
  }
  const double passed =
      Seconds(now - target.m_cold_since) / Seconds(ColdTime(target));
  return kColdestShare + (1 - kColdestShare) * passed;
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
