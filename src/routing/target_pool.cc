#include "routing/target_pool.h"

#include <algorithm>
#include <utility>

#include "util/hash.h"

namespace guavacross::routing {

namespace {

// Weight of a new report in the moving averages over the targets.
constexpr double kTargetAverageGain = 0.05;

// Weight of a target at the beginning of slow start; a warm target has 1.
constexpr double kSlowStartMinWeight = 0.1;

// Slow start is ignored if more than this share of the targets is in it: too
// few warm targets are left to carry the load meanwhile.
constexpr double kMaxSlowStartShare = 0.5;

// A probe without an answer is late after this time, which is many round trips
// between availability zones.
constexpr Duration kLateProbeAfter = std::chrono::milliseconds(50);

// The utilization is unknown this long after the last report of a target.
constexpr Duration kMaxUtilizationAge = std::chrono::milliseconds(500);

// Most runs of a service's targets that are remembered as draining. Runs end
// within seconds of the drain, so that the oldest are of no use any more.
constexpr std::size_t kMaxDrainedRuns = 1024;

}  // namespace

TargetPool::TargetPool(const RouterOptions& options, std::uint64_t seed)
    : m_options(options),
      m_zones{{options.m_zone, policy::RecentMinimum()}},
      m_started_at(options.m_clock.m_now()),
      m_random(seed) {}

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
    bool is_new = false;
    if (target == nullptr || target->m_config.m_address != wanted.m_address ||
        target->m_config.m_incarnation != wanted.m_incarnation) {
      // A target with the same name but another address or incarnation is
      // another server. The old one stays, without its entry in `m_by_name`,
      // until its attempts have ended.
      m_targets.push_back(std::make_unique<Target>());
      target = m_targets.back().get();
      is_new = true;
      const bool is_warming_up = wanted.m_warm_up_left > Duration::zero();
      const bool is_warmed_up = wanted.m_incarnation != 0 && !is_warming_up;
      const bool is_warm = is_warmed_up || (is_first && !is_warming_up);
      target->m_slow_start_since = is_warm ? TimePoint::min() : now;
      target->m_slow_start_duration = wanted.m_warm_up_left;
      m_slow_start_until = is_warm ? m_slow_start_until : TimePoint::max();
      m_by_name[wanted.m_name] = target;
      if (std::find(m_drained_runs.begin(), m_drained_runs.end(),
                    std::pair(wanted.m_name, RunOf(wanted))) !=
          m_drained_runs.end()) {
        target->m_draining.UpdateFromPeer(RunOf(wanted));
      }
    }
    UpdateColdSpellFromEntry(target, std::exchange(target->m_config, wanted),
                             is_new && !is_first, now);
    target->m_removed = false;
    target->m_zone = ZoneIndex(wanted.m_zone);
    target->m_other_zone =
        !m_options.m_zone.empty() && wanted.m_zone != m_options.m_zone;
    m_total_slots += wanted.m_slots;
  }
  std::erase_if(m_targets, [this](const std::unique_ptr<Target>& target) {
    const bool is_finished = target->m_removed && target->m_attempts.empty();
    if (is_finished) {
      std::erase(m_recently_measured, target.get());
    }
    const auto named = m_by_name.find(target->m_config.m_name);
    if (is_finished && named != m_by_name.end() &&
        named->second == target.get()) {
      m_by_name.erase(named);
    }
    return is_finished;
  });
  UpdateSubset();
  UpdateLimitShares(now);
}

void TargetPool::SetView(std::shared_ptr<const policy::InstanceView> view,
                         TimePoint now) {
  const bool same_instances = m_view != nullptr && view != nullptr &&
                              m_view->m_instances == view->m_instances;
  m_view = std::move(view);
  if (!same_instances) {
    UpdateSubset();
  }
  UpdateLimitShares(now);
}

void TargetPool::UpdateSubset() {
  m_subset.clear();
  if (m_view == nullptr || !IsEnabled(Mechanism::kSubsets)) {
    return;
  }
  std::vector<policy::SubsetTarget> places;
  places.reserve(m_targets.size());
  for (const auto& target : m_targets) {
    places.push_back({.m_hash = util::Hash(target->m_config.m_name),
                      .m_zone = target->m_config.m_zone,
                      .m_slots = target->m_config.m_slots});
  }
  const policy::SubsetInstance self{.m_hash = util::Hash(m_options.m_name),
                                    .m_zone = m_options.m_zone};
  const std::vector<policy::SubsetTier> tiers =
      policy::RankTargets(self, m_view->m_instances, places);
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    m_targets[i]->m_tier = tiers[i];
    if (tiers[i] != policy::SubsetTier::kOutside) {
      m_subset.push_back(m_targets[i].get());
    }
  }
}

void TargetPool::ReportSlowdown(Target* target, double slowdown, TimePoint at) {
  target->m_load.ReportSlowdown(slowdown, at);
  m_average_slowdown += kTargetAverageGain * (slowdown - m_average_slowdown);
}

void TargetPool::Sent(Target* target, Attempt attempt) {
  target->m_attempts.push_back(attempt);
  target->m_load.Sent();
  if (target->m_limit.is_active()) {
    target->m_request_share.Take(attempt.m_sent_at);
  }
  if (target->m_cold.IsCold(attempt.m_sent_at)) {
    target->m_cold_share.Take(attempt.m_sent_at);
  }
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
    m_reported_at = std::max(m_reported_at, at);
    std::erase_if(m_recently_measured, [&](const Target* each) {
      return each == target || !IsMeasured(*each, at);
    });
    m_recently_measured.push_back(target);
    m_average_others +=
        kTargetAverageGain *
        (target->m_load.reported_peer_attempts() - m_average_others);
  }
}

bool TargetPool::UpdateRunState(Target* target,
                                const LoadReport& load,
                                TimePoint now) {
  const std::string incarnation =
      load.m_incarnation.empty() ? RunOf(target->m_config) : load.m_incarnation;
  const policy::Draining::Change change =
      target->m_draining.UpdateFromTarget(load.m_draining, incarnation);
  if (change.m_started_draining) {
    RememberDrain(target->m_config.m_name, incarnation);
  }
  if (change.m_restarted) {
    target->m_ejection.Reset();
    target->m_slow_start_since = now;
    m_slow_start_until = TimePoint::max();
    if (LimitsColdTargets() && !target->m_cold.IsCold(now)) {
      target->m_cold.Assume(m_config->m_slow_start.m_window, now);
      StartColdShare(target, now);
    }
  }
  return change.m_started_draining;
}

bool TargetPool::LearnDrain(const std::string& name,
                            const std::string& incarnation) {
  RememberDrain(name, incarnation);
  Target* const target = Find(name);
  if (target == nullptr) {
    return false;
  }
  const std::string current = RunOf(target->m_config);
  const bool is_other_run =
      !current.empty() && !incarnation.empty() && current != incarnation;
  return !is_other_run &&
         target->m_draining.UpdateFromPeer(incarnation).m_started_draining;
}

void TargetPool::RememberDrain(const std::string& name,
                               const std::string& incarnation) {
  const std::pair run(name, incarnation);
  if (incarnation.empty() ||
      std::find(m_drained_runs.begin(), m_drained_runs.end(), run) !=
          m_drained_runs.end()) {
    return;
  }
  m_drained_runs.push_back(run);
  if (m_drained_runs.size() > kMaxDrainedRuns) {
    m_drained_runs.pop_front();
  }
}

void TargetPool::PeersReport(Target* target, int in_flight, TimePoint now) {
  if (IsEnabled(Mechanism::kReadings)) {
    target->m_load.PeersReport(in_flight, now);
  }
}

void TargetPool::RecordVerdict(Target* target,
                               policy::Verdict verdict,
                               TimePoint now) {
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
  const auto has_attempt = [attempt_id](const Target& target) {
    return std::any_of(target.m_attempts.begin(), target.m_attempts.end(),
                       [attempt_id](const Attempt& attempt) {
                         return attempt.m_id == attempt_id;
                       });
  };
  Target* const named = Find(name);
  if (named != nullptr && has_attempt(*named)) {
    return named;
  }
  for (const auto& target : m_targets) {
    if (target->m_removed && has_attempt(*target)) {
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
  const double others =
      m_average_others * static_cast<double>(m_targets.size());
  return (m_own_in_flight + others) / std::max(1, m_total_slots);
}

bool TargetPool::IsCrowded(TimePoint now) const {
  return m_reported_at != TimePoint::min() &&
         now - m_reported_at <= kMaxUtilizationAge &&
         policy::IsCrowded(Utilization());
}

bool TargetPool::IsSlowStart(const Target& target, TimePoint now) const {
  return target.m_slow_start_since != TimePoint::min() &&
         now < target.m_slow_start_since + SlowStartDuration(target);
}

Duration TargetPool::SlowStartDuration(const Target& target) const {
  return target.m_slow_start_duration > Duration::zero()
             ? target.m_slow_start_duration
             : m_config->m_slow_start.m_window;
}

bool TargetPool::IsEnabled(Mechanism mechanism) const {
  return !m_options.m_disabled.contains(mechanism);
}

void TargetPool::UpdateExclusionOverrides(TimePoint now) {
  m_panic = now < m_ejections_until && IsPanic(now);
  m_all_unresponsive = std::all_of(
      m_targets.begin(), m_targets.end(), [this, now](const auto& target) {
        const bool is_late = target->m_probe_in_flight &&
                             now - target->m_probed_at >= kLateProbeAfter;
        return target->m_unresponsive || is_late || IsRetired(*target) ||
               IsEjected(*target, now) || !HasRoom(target.get(), now);
      });
  if (now >= m_slow_start_until) {
    m_ignore_slow_start = false;
    return;
  }
  int slow_starting = 0;
  m_slow_start_until = TimePoint::min();
  for (const auto& target : m_targets) {
    if (IsSlowStart(*target, now)) {
      ++slow_starting;
      m_slow_start_until =
          std::max(m_slow_start_until,
                   target->m_slow_start_since + SlowStartDuration(*target));
    }
  }
  m_ignore_slow_start =
      slow_starting >
      kMaxSlowStartShare * static_cast<double>(m_targets.size());
}

bool TargetPool::AreMostUnresponsive() const {
  std::size_t in_use = 0;
  std::size_t unresponsive = 0;
  for (const auto& target : m_targets) {
    in_use += IsRetired(*target) ? 0 : 1;
    unresponsive += !IsRetired(*target) && target->m_unresponsive ? 1 : 0;
  }
  return unresponsive > 0 && 2 * unresponsive >= in_use;
}

bool TargetPool::IsEligible(Target* target, TimePoint now) const {
  const bool is_unresponsive = target->m_unresponsive && !m_all_unresponsive;
  return !is_unresponsive && !IsRetired(*target) && !IsEjected(*target, now) &&
         HasRoom(target, now);
}

bool TargetPool::IsRetired(const Target& target) {
  return target.m_removed || target.m_replaced ||
         target.m_draining.is_draining();
}

bool TargetPool::IsEjected(const Target& target, TimePoint now) const {
  return !m_panic && now < m_ejections_until &&
         IsEnabled(Mechanism::kEjection) && target.m_ejection.IsEjected(now);
}

double TargetPool::SlowStartWeight(const Target& target, TimePoint now) const {
  if (m_ignore_slow_start || now >= m_slow_start_until ||
      !IsSlowStart(target, now) || !IsEnabled(Mechanism::kSlowStart)) {
    return 1;
  }
  const double passed = Seconds(now - target.m_slow_start_since) /
                        Seconds(SlowStartDuration(target));
  return kSlowStartMinWeight + (1 - kSlowStartMinWeight) * passed;
}

}  // namespace guavacross::routing
