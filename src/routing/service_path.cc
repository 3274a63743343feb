// A service's path to its targets, and requests that are decided about
// elsewhere while it is lost.

#include <algorithm>
#include <utility>

#include "routing/service_router.h"

namespace guavacross::routing {

namespace {

// Probes that are sent together while requests don't wait for targets, and the
// interval between them.
constexpr std::size_t kPathProbes = 3;
constexpr Duration kPathProbeInterval = std::chrono::milliseconds(50);

// Interval of trial requests; each may wait until its deadline in vain.
constexpr Duration kTrialInterval = std::chrono::milliseconds(250);

// Interval of probes without requests.
constexpr Duration kSilentProbeInterval = std::chrono::milliseconds(250);

}  // namespace

std::set<std::string> ZonesOf(const ServiceConfig& config) {
  std::set<std::string> zones;
  for (const TargetConfig& target : config.m_targets) {
    zones.insert(target.m_zone);
  }
  return zones;
}

void ServiceRouter::RecordPath(policy::PathEvent::Kind kind,
                               const Target& target,
                               TimePoint asked_at,
                               TimePoint now,
                               Effects* effects) {
  if (!m_options.m_relays) {
    return;
  }
  effects->m_path_events.push_back({.m_kind = kind,
                                    .m_target = target.m_config.m_name,
                                    .m_zone = target.m_config.m_zone,
                                    .m_asked_at = asked_at});
  m_path.Record(effects->m_path_events.back(), now);
}

void ServiceRouter::RecordPathOfAttempt(const Target& target,
                                        const AttemptReport& report,
                                        const Grant& grant,
                                        TimePoint now,
                                        Effects* effects) {
  const TimePoint sent_at = grant.m_granted_at;
  switch (report.m_end) {
    case AttemptEnd::kAnswered:
    case AttemptEnd::kServerError:
    case AttemptEnd::kRefusedNotRun:
    case AttemptEnd::kWrongTarget:
    case AttemptEnd::kBadAnswer:
      RecordPath(AnswerEventOf(grant), target, sent_at, now, effects);
      break;
    case AttemptEnd::kConnectFailed:
    case AttemptEnd::kReset:
      RecordPath(report.m_answer_begun ? AnswerEventOf(grant)
                                       : policy::PathEvent::Kind::kFailed,
                 target, sent_at, now, effects);
      break;
    case AttemptEnd::kTimeout:
    case AttemptEnd::kCancelled:
    case AttemptEnd::kPeerRefused:
      break;
  }
}

policy::PathEvent::Kind ServiceRouter::AnswerEventOf(const Grant& grant) const {
  return grant.m_id == m_trial ? policy::PathEvent::Kind::kTrialAnswered
                               : policy::PathEvent::Kind::kAnswered;
}

ServiceRouter::PathState ServiceRouter::Path(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  PathState state;
  if (m_path.IsLost(now)) {
    state.m_lost_since = m_path.silent_since();
  }
  if (m_queue.size() == 0 && !m_impaired_since.has_value()) {
    return state;
  }
  // Without requests nothing shows whether the targets answer again.
  if (IsIdle(now) || !m_pool.AreMostUnresponsive()) {
    m_impaired_since.reset();
  } else if (!m_impaired_since.has_value()) {
    m_impaired_since = now;
  }
  state.m_impaired_since = m_impaired_since;
  return state;
}

std::optional<bool> ServiceRouter::TakePathChange(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  const bool lost = m_path.IsLost(now);
  return std::exchange(m_reported_lost, lost) != lost ? std::optional(lost)
                                                      : std::nullopt;
}

std::optional<ServiceRouter::WaitingRequest> ServiceRouter::LongestWaiting(
    Duration min_wait,
    RelayedRequests relayed,
    TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  const Waiter* longest = nullptr;
  std::uint64_t ticket = 0;
  for (const auto& [each, waiter] : m_waiters) {
    const bool is_considered =
        !waiter.m_relayed || relayed == RelayedRequests::kIncluded;
    if (is_considered && now - waiter.m_arrived >= min_wait &&
        (longest == nullptr || waiter.m_arrived < longest->m_arrived)) {
      longest = &waiter;
      ticket = each;
    }
  }
  if (longest == nullptr) {
    return std::nullopt;
  }
  return WaitingRequest{.m_ticket = ticket,
                        .m_avoid = longest->m_avoid,
                        .m_relayed = longest->m_relayed};
}

GrantCallback ServiceRouter::TakeWaiting(std::uint64_t ticket) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_waiters.find(ticket);
  if (found == m_waiters.end()) {
    return nullptr;
  }
  GrantCallback on_grant = std::move(found->second.m_on_grant);
  m_waiters.erase(found);
  m_queue.Remove(ticket);
  return on_grant;
}

bool ServiceRouter::IsTrialDue(TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  return m_trial_at == TimePoint::min() || now - m_trial_at >= kTrialInterval;
}

bool ServiceRouter::GrantTrial(std::uint64_t ticket,
                               TimePoint now,
                               Effects* effects) {
  if (!IsTrialDue(now)) {
    return false;
  }
  const std::lock_guard lock(m_mutex);
  const auto found = m_waiters.find(ticket);
  if (found == m_waiters.end()) {
    return false;
  }
  Waiter& waiter = found->second;
  const Choice choice = m_pool.ChooseMeasured(
      waiter.m_avoid, policy::Requirement::kAnyIgnoringProbes,
      waiter.m_zone_terms, now);
  if (choice.m_target == nullptr) {
    return false;
  }
  m_trial = ticket;
  m_trial_at = now;
  effects->m_decisions.push_back(
      {std::move(waiter.m_on_grant),
       {MakeGrant(choice.m_target, waiter.m_class, ticket, now)}});
  m_waiters.erase(found);
  m_queue.Remove(ticket);
  return true;
}

void ServiceRouter::ProbePath(TimePoint now, Effects* effects) {
  const std::lock_guard lock(m_mutex);
  if (m_path_probed_at != TimePoint::min() &&
      now - m_path_probed_at < kPathProbeInterval) {
    return;
  }
  m_path_probed_at = now;
  m_last_request = now;
  if (ProbesBeforePlacing()) {
    OrderProbesOf(kPathProbes, now, effects);
  }
}

// Goes on probing while targets don't answer: peers send this instance no
// requests meanwhile that would be a reason to probe.
bool ServiceRouter::ProbeSilentPath(TimePoint now, Effects* effects) {
  if (!ProbesBeforePlacing() ||
      (!m_path.silent_since().has_value() && !m_pool.AreMostUnresponsive())) {
    return false;
  }
  if (m_silent_check_at <= now) {
    OrderProbesOf(kPathProbes, now, effects);
    ScheduleSilentCheck(now, effects);
  }
  return true;
}

// Schedules `ProbeSilentPath`, unless it is already.
void ServiceRouter::ScheduleSilentCheck(TimePoint now, Effects* effects) {
  if (m_options.m_relays && m_silent_check_at <= now) {
    m_silent_check_at = now + kSilentProbeInterval;
    effects->m_probe_at = m_silent_check_at;
  }
}

}  // namespace guavacross::routing
