// Updates of a service's state from ended attempts, probes and peers.

#include <algorithm>
#include <utility>

#include "routing/service_router.h"
#include "util/log.h"

namespace guavacross::routing {

namespace {

// A service that has had no request for this long isn't probed.
constexpr Duration kProbeIdleAfter = std::chrono::seconds(10);

// In-flight counts received from a peer expire after this time.
constexpr Duration kPeerCountsMaxAge = std::chrono::seconds(2);

// A probe without a reported result counts as lost after this many timeouts.
constexpr int kProbeTimeoutsUntilLost = 4;

// Probes sent per waiting request, and the limit on probes in flight. Among
// three targets one nearly always has a free slot and normal speed.
constexpr int kProbesPerWaiter = 3;
constexpr int kMaxPlacementProbesInFlight = 16;

// The probe budget's burst size, given as the time in which it accumulates.
// With many instances and few targets it is less than what one request needs,
// which may then be saved up.
constexpr Duration kProbeBurstTime = std::chrono::milliseconds(250);

// Weight of a new sample in the moving averages of slot times.
constexpr double kSlotTimeGain = 0.05;

// Weight of a new answer in the moving average of their size.
constexpr double kAnswerBytesGain = 0.1;

policy::Verdict VerdictOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
    case AttemptEnd::kCancelled:
      return policy::Verdict::kGood;
    case AttemptEnd::kRefusedNotRun:
    case AttemptEnd::kPeerRefused:
      return policy::Verdict::kRefused;
    case AttemptEnd::kWrongTarget:
    case AttemptEnd::kServerError:
    case AttemptEnd::kConnectFailed:
    case AttemptEnd::kReset:
    case AttemptEnd::kBadAnswer:
    case AttemptEnd::kTimeout:
      break;
  }
  return policy::Verdict::kBad;
}

void UpdateAverage(Duration* average, Duration value) {
  *average =
      *average == Duration::zero()
          ? value
          : *average + FromSeconds(kSlotTimeGain * Seconds(value - *average));
}

}  // namespace

void ServiceRouter::Release(const Grant& grant,
                            const RequestTraits& traits,
                            const AttemptReport& report,
                            TimePoint now,
                            Effects* effects) {
  const std::lock_guard lock(m_mutex);
  Target* const target = m_pool.FindByAttempt(grant.m_target, grant.m_id);
  if (target == nullptr) {
    return;
  }
  RecordPathOfAttempt(*target, report, grant, now, effects);
  // The target made the report when it began its answer, so its in-flight count
  // includes this attempt.
  const TimePoint reported_at =
      std::min(now, grant.m_granted_at + report.m_latency);
  ApplyLoadReport(target, report.m_load, grant.m_granted_at, reported_at, now,
                  effects);
  const Attempt attempt = *m_pool.Ended(target, grant.m_id);
  m_bulk_in_flight -= attempt.m_counted_as_bulk ? 1 : 0;
  if (report.m_end == AttemptEnd::kAnswered) {
    UpdateAverage(&m_slot_time, now - attempt.m_sent_at);
    UpdateAverage(&attempt.m_class->m_slot_time, now - attempt.m_sent_at);
    if (report.m_answer_bytes.has_value()) {
      const auto bytes = static_cast<double>(*report.m_answer_bytes);
      attempt.m_class->m_answer_bytes +=
          kAnswerBytesGain * (bytes - attempt.m_class->m_answer_bytes);
    }
    if (!attempt.m_first_byte_seen) {
      RecordFirstByte(target, attempt, report.m_latency, now);
    }
    m_pool.RecordVerdict(target, policy::Verdict::kGood, now);
  } else if (report.m_end == AttemptEnd::kCancelled) {
    RecordCancelled(target, attempt, now);
  } else {
    RecordFailure(target, report, traits, now, effects);
  }
  ServeWaiters(now, effects);
}

void ServiceRouter::ReportLoad(const Grant& grant,
                               const LoadReport& load,
                               Duration time_to_first_byte,
                               TimePoint now,
                               Effects* effects) {
  const std::lock_guard lock(m_mutex);
  Target* const target = m_pool.FindByAttempt(grant.m_target, grant.m_id);
  if (target == nullptr) {
    return;
  }
  for (Attempt& attempt : target->m_attempts) {
    if (attempt.m_id == grant.m_id && !attempt.m_first_byte_seen) {
      attempt.m_first_byte_seen = true;
      attempt.m_slow_at = TimePoint::max();
      RecordFirstByte(target, attempt, time_to_first_byte, now);
    }
  }
  RecordPath(AnswerEventOf(grant), *target, grant.m_granted_at, now, effects);
  ApplyLoadReport(target, load, grant.m_granted_at, now, now, effects);
  ServeWaiters(now, effects);
}

bool ServiceRouter::IsIdle(TimePoint now) const {
  return m_last_request + kProbeIdleAfter < now;
}

void ServiceRouter::TakeProbes(TimePoint now,
                               int instances,
                               std::vector<ProbeOrder>* orders,
                               Effects* effects) {
  const std::lock_guard lock(m_mutex);
  if (!IsIdle(now) && ProbeSilentPath(now, effects)) {
    return;
  }
  if (IsIdle(now) || m_pool.targets().empty() ||
      !IsEnabled(Mechanism::kProbes) || m_config->m_probe.m_per_request ||
      m_options.m_policy != ChoicePolicy::kGuavacross) {
    m_probes_scheduled = false;
    return;
  }
  const double rate =
      policy::AllowedProbeRate(m_config->m_probe, m_pool.total_slots());
  m_probe_budget.SetRate(rate / instances, now);
  TimePoint next_stale = TimePoint::max();
  Target* const target = NextToProbe(now, &next_stale);
  if (target != nullptr && m_probe_budget.Take(now)) {
    orders->push_back(OrderProbe(target, now, effects));
  }
  const TimePoint affordable = m_probe_budget.NextProbeTime(now);
  const TimePoint next =
      target == nullptr ? std::max(affordable, next_stale) : affordable;
  // Run again in time to detect an idle service, even if no probe is due.
  effects->m_probe_at = std::min(next, now + kProbeIdleAfter);
}

void ServiceRouter::ReportProbe(const ProbeReport& report,
                                TimePoint now,
                                Effects* effects) {
  const std::lock_guard lock(m_mutex);
  m_placement_probes_in_flight = std::max(0, m_placement_probes_in_flight - 1);
  Target* const target = m_pool.Find(report.m_target);
  if (target == nullptr) {
    return;
  }
  target->m_probe_in_flight = false;
  RecordPath(report.m_answered ? policy::PathEvent::Kind::kAnswered
                               : policy::PathEvent::Kind::kFailed,
             *target, target->m_probed_at, now, effects);
  if (!report.m_answered) {
    ScheduleSilentCheck(now, effects);
  }
  // A lost probe is evidence only with probing before placement; periodic
  // probes are too rare for that.
  target->m_unresponsive = !report.m_answered && ProbesBeforePlacing();
  if (report.m_answered) {
    m_pool.RecordProbeTime(*target, report.m_latency, now);
  }
  if (report.m_load.has_value()) {
    ApplyLoadReport(target, *report.m_load, target->m_probed_at, now, now,
                    effects);
    m_pool.UpdateColdSpell(target, report.m_load->m_warm_up_left, now);
  }
  if (report.m_load.has_value() || ProbesBeforePlacing()) {
    ServeWaiters(now, effects);
  }
}

void ServiceRouter::SetPeerInFlight(
    const std::string& peer,
    const std::vector<std::pair<std::string, int>>& counts,
    TimePoint now,
    Effects* effects) {
  const std::lock_guard lock(m_mutex);
  m_peers[peer] = {.m_counts = counts, .m_received_at = now};
  std::erase_if(m_peers, [now](const auto& entry) {
    return entry.second.m_received_at + kPeerCountsMaxAge < now;
  });
  UpdatePeerTotals(now);
  ServeWaiters(now, effects);
}

bool ServiceRouter::LearnDrain(const DrainNotice& notice) {
  const std::lock_guard lock(m_mutex);
  return m_pool.LearnDrain(notice.m_target, notice.m_incarnation);
}

std::vector<DrainNotice> ServiceRouter::Drains() const {
  const std::lock_guard lock(m_mutex);
  std::vector<DrainNotice> drains;
  for (const auto& target : m_pool.targets()) {
    if (target->m_draining.is_draining() && !target->m_removed) {
      drains.push_back({.m_service = m_config->m_name,
                        .m_target = target->m_config.m_name,
                        .m_incarnation = target->m_draining.incarnation()});
    }
  }
  return drains;
}

bool ServiceRouter::LearnLimit(const LimitNotice& notice, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  return m_pool.LearnLimit(notice, now);
}

std::vector<LimitNotice> ServiceRouter::Limits(TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  return m_pool.Limits(now);
}

std::vector<std::pair<std::string, int>> ServiceRouter::InFlight() const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::pair<std::string, int>> counts;
  if (m_pool.own_in_flight() == 0) {
    return counts;
  }
  for (const auto& target : m_pool.targets()) {
    if (target->m_load.own() > 0) {
      counts.emplace_back(target->m_config.m_name, target->m_load.own());
    }
  }
  return counts;
}

void ServiceRouter::ApplyLoadReport(Target* target,
                                    const LoadReport& load,
                                    TimePoint asked_at,
                                    TimePoint reported_at,
                                    TimePoint now,
                                    Effects* effects) {
  if (load.m_in_flight.has_value()) {
    m_pool.ReportInFlight(target, *load.m_in_flight, reported_at);
  }
  if (load.m_slowdown.has_value()) {
    m_pool.ReportSlowdown(target, *load.m_slowdown, reported_at);
  }
  if (load.m_pause > Duration::zero()) {
    target->m_pause.Request(load.m_pause, now);
  }
  if (!load.m_unreadable_limit.empty() &&
      !std::exchange(target->m_unreadable_limit_logged, true)) {
    util::LogWarning("targets", "a limit can't be read and is ignored",
                     {{"target", target->m_config.m_name},
                      {"service", m_config->m_name},
                      {"limit", load.m_unreadable_limit}});
  }
  if (load.m_request_limit.has_value() &&
      m_pool.UpdateLimit(target, *load.m_request_limit, asked_at, now)) {
    effects->m_limits.push_back({.m_service = m_config->m_name,
                                 .m_target = target->m_config.m_name,
                                 .m_incarnation = RunOf(target->m_config),
                                 .m_limit = target->m_limit.limit()});
  }
  const bool has_run_state = load.m_in_flight.has_value() || load.m_draining ||
                             !load.m_incarnation.empty();
  if (has_run_state && m_pool.UpdateRunState(target, load, now)) {
    effects->m_drains.push_back(
        {.m_service = m_config->m_name,
         .m_target = target->m_config.m_name,
         .m_incarnation = target->m_draining.incarnation()});
  }
}

void ServiceRouter::OrderProbes(int waiting, TimePoint now, Effects* effects) {
  const double rate =
      policy::AllowedProbeRate(m_config->m_probe, m_pool.total_slots()) /
      std::max(1, m_instances);
  m_probe_budget.SetBurst(
      std::max<double>(kProbesPerWaiter, rate * Seconds(kProbeBurstTime)));
  m_probe_budget.SetRate(rate, now);
  // Silent targets are replaced by others at once, which show whether the path
  // to all of them is lost.
  const int silent = static_cast<int>(m_path.UnansweredProbes(now));
  const int wanted =
      std::min(kProbesPerWaiter * waiting, kMaxPlacementProbesInFlight) -
      std::max(0, m_placement_probes_in_flight - silent);
  if (wanted > 0) {
    OrderProbesOf(static_cast<std::size_t>(wanted), now, effects);
  }
}

void ServiceRouter::OrderProbesOf(std::size_t count,
                                  TimePoint now,
                                  Effects* effects) {
  for (Target* const target :
       m_pool.TargetsToProbe(count, m_waiting_terms, now)) {
    if (!m_probe_budget.Take(now)) {
      break;
    }
    effects->m_probes.push_back(OrderProbe(target, now, effects));
    ++m_placement_probes_in_flight;
  }
}

ProbeOrder ServiceRouter::OrderProbe(Target* target,
                                     TimePoint now,
                                     Effects* effects) {
  RecordPath(policy::PathEvent::Kind::kAsked, *target, now, now, effects);
  target->m_probed_at = now;
  target->m_probe_in_flight = true;
  if (target->m_limit.is_active()) {
    target->m_request_share.Take(now);
  }
  ++m_probes_sent;
  return {.m_service = m_config->m_name,
          .m_target = target->m_config.m_name,
          .m_address = target->m_config.m_address,
          .m_timeout = m_config->m_probe.m_timeout,
          .m_path = m_config->m_probe.m_path};
}

void ServiceRouter::RecordFirstByte(Target* target,
                                    const Attempt& attempt,
                                    Duration latency,
                                    TimePoint now) {
  ClassState* const state = attempt.m_class;
  target->m_unresponsive = false;
  if (state->m_latency.is_ready()) {
    // Compare with the latency expected at the target's load; otherwise a full
    // target would also be rated as slow.
    const double load =
        target->m_load.own() + target->m_load.reported_peer_attempts();
    const double load_factor =
        std::max(1.0, load / std::max(1, target->m_config.m_slots));
    // The slowdown that the target reported was already taken into account when
    // it was chosen.
    const double expected_s = Seconds(state->m_latency.median()) * load_factor *
                              std::max(1.0, attempt.m_slowdown);
    target->m_load.RecordSlowness(Seconds(latency) / expected_s,
                                  m_pool.parameters().m_aging, now);
  }
  state->m_latency.Record(latency);
}

void ServiceRouter::RecordFailure(Target* target,
                                  const AttemptReport& report,
                                  const RequestTraits& traits,
                                  TimePoint now,
                                  Effects* effects) {
  m_pool.RecordVerdict(target, VerdictOf(report.m_end), now);
  target->m_load.RecordFailure(m_pool.parameters().m_aging, now);
  if (report.m_end == AttemptEnd::kConnectFailed) {
    target->m_draining.ConnectFailed();
  }
  if (report.m_end == AttemptEnd::kConnectFailed ||
      (report.m_end == AttemptEnd::kReset && !report.m_answer_begun)) {
    target->m_connection_failed_at = now;
  }
  if (report.m_end == AttemptEnd::kWrongTarget) {
    target->m_replaced = true;
  }
  if (report.m_end == AttemptEnd::kReset ||
      report.m_end == AttemptEnd::kBadAnswer) {
    // A request didn't crash a backend server that had begun to answer it.
    const bool may_have_crashed_target =
        !report.m_answer_begun && traits.m_fingerprint != 0;
    if (may_have_crashed_target && !target->m_resets.IsUnreliable(now)) {
      effects->m_suspects.push_back({.m_fingerprint = traits.m_fingerprint,
                                     .m_service = m_config->m_name,
                                     .m_target = target->m_config.m_name});
    }
    target->m_resets.RecordReset(now);
  }
}

void ServiceRouter::RecordCancelled(Target* target,
                                    const Attempt& attempt,
                                    TimePoint now) {
  // The latency is unknown, but it is at least the time since the attempt was
  // sent. Attempts cancelled before they were late say nothing.
  if (attempt.m_first_byte_seen || now < attempt.m_slow_at) {
    return;
  }
  const double expected_s = Seconds(attempt.m_class->m_latency.median());
  target->m_load.RecordSlowness(Seconds(now - attempt.m_sent_at) / expected_s,
                                m_pool.parameters().m_aging, now);
}

Target* ServiceRouter::NextToProbe(TimePoint now, TimePoint* next_at) {
  const Duration lost_after =
      kProbeTimeoutsUntilLost * m_config->m_probe.m_timeout;
  const Duration stale_after = m_pool.parameters().m_probe_after;
  Target* stalest = nullptr;
  TimePoint oldest = TimePoint::max();
  for (const auto& target : m_pool.targets()) {
    const bool is_probed =
        target->m_probe_in_flight && now < target->m_probed_at + lost_after;
    if (target->m_removed || is_probed || target->m_pause.IsActive(now) ||
        target->m_limit.is_active()) {
      continue;
    }
    const TimePoint known_at =
        std::max(target->m_load.reported_at(), target->m_probed_at);
    if (known_at < oldest) {
      oldest = known_at;
      stalest = target.get();
    }
  }
  const bool is_stale = stalest != nullptr && (oldest == TimePoint::min() ||
                                               now - oldest >= stale_after);
  *next_at =
      is_stale || stalest == nullptr ? now + stale_after : oldest + stale_after;
  return is_stale ? stalest : nullptr;
}

void ServiceRouter::UpdatePeerTotals(TimePoint now) {
  std::unordered_map<std::string, int> sums;
  for (const auto& [peer, peer_counts] : m_peers) {
    for (const auto& [target, count] : peer_counts.m_counts) {
      sums[target] += count;
    }
  }
  for (const auto& target : m_pool.targets()) {
    const auto found = sums.find(target->m_config.m_name);
    m_pool.PeersReport(target.get(), found == sums.end() ? 0 : found->second,
                       now);
  }
}

}  // namespace guavacross::routing
