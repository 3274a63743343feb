#include "routing/service_router.h"

#include <algorithm>
#include <utility>

#include "util/hash.h"

namespace guavacross::routing {

namespace {

constexpr Duration kIdleAfter = std::chrono::seconds(10);

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

const ClassConfig* FindClassByName(const ServiceConfig& config,
                                   const std::string& name) {
  for (const ClassConfig& candidate : config.m_classes) {
    if (candidate.m_name == name) {
      return &candidate;
    }
  }
  return nullptr;
}

int TotalSlots(const ServiceConfig& config) {
  int total = 0;
  for (const TargetConfig& target : config.m_targets) {
    total += target.m_slots;
  }
  return total;
}

}  // namespace

ServiceRouter::ServiceRouter(std::shared_ptr<const ServiceConfig> config,
                             const RouterOptions& options)
    : m_options(options), m_random(util::Hash(config->m_name, options.m_seed)) {
  Effects none;
  Configure(std::move(config), options.m_clock.m_now(), &none);
}

void ServiceRouter::Configure(std::shared_ptr<const ServiceConfig> config,
                              TimePoint now,
                              Effects* effects) {
  const std::lock_guard lock(m_mutex);
  m_config = std::move(config);
  for (const auto& target : m_targets) {
    target->m_removed = true;
  }
  for (const TargetConfig& wanted : m_config->m_targets) {
    Target* target = FindTarget(wanted.m_name);
    if (target == nullptr) {
      m_targets.push_back(std::make_unique<Target>());
      target = m_targets.back().get();
    }
    target->m_config = wanted;
    target->m_removed = false;
  }
  std::erase_if(m_targets, [](const std::unique_ptr<Target>& target) {
    return target->m_removed && target->m_in_flight == 0;
  });
  ServeWaiters(now, effects);
}

std::shared_ptr<const ServiceConfig> ServiceRouter::config() const {
  const std::lock_guard lock(m_mutex);
  return m_config;
}

void ServiceRouter::Close(Effects* effects) {
  const std::lock_guard lock(m_mutex);
  for (Waiter& waiter : m_waiters) {
    effects->m_decisions.push_back(
        {std::move(waiter.m_on_grant),
         Refuse(ErrorKind::kUnknownService, "the service has been removed")});
  }
  m_waiters.clear();
}

void ServiceRouter::Acquire(const RequestTraits& traits,
                            const std::vector<std::string>& targets_to_avoid,
                            std::uint64_t ticket,
                            GrantCallback on_grant,
                            TimePoint now,
                            Effects* effects) {
  const std::lock_guard lock(m_mutex);
  ++m_requests;
  m_last_request = now;
  if (!m_probes_scheduled) {
    m_probes_scheduled = true;
    effects->m_probe_at = now;
  }
  const ClassConfig* const request_class =
      FindClassByName(*m_config, traits.m_class_name);
  const ClassConfig fallback;
  const ClassConfig& limits =
      request_class == nullptr ? fallback : *request_class;
  Target* const target = m_waiters.empty() ? Choose(targets_to_avoid) : nullptr;
  if (target != nullptr) {
    effects->m_decisions.push_back(
        {std::move(on_grant), {MakeGrant(target, ticket, now)}});
    return;
  }
  if (static_cast<int>(m_waiters.size()) >= limits.m_queue_limit) {
    effects->m_decisions.push_back(
        {std::move(on_grant), Refuse(ErrorKind::kQueueFull, "queue is full")});
    return;
  }
  const TimePoint expires =
      std::min(now + limits.m_queue_wait, traits.m_deadline);
  m_waiters.push_back({ticket, expires, targets_to_avoid, std::move(on_grant)});
  effects->m_expire_at = expires;
}

void ServiceRouter::CancelWait(std::uint64_t ticket) {
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_waiters, [ticket](const Waiter& waiter) {
    return waiter.m_ticket == ticket;
  });
}

void ServiceRouter::Release(const Grant& grant,
                            const AttemptReport& report,
                            TimePoint now,
                            Effects* effects) {
  const std::lock_guard lock(m_mutex);
  Target* const target = FindTarget(grant.m_target);
  if (target == nullptr) {
    return;
  }
  --target->m_in_flight;
  Learn(target, report.m_load, effects);
  ServeWaiters(now, effects);
}

void ServiceRouter::ReportLoad(const Grant& grant,
                               const LoadReport& load,
                               TimePoint /*now*/) {
  Effects ignored;
  const std::lock_guard lock(m_mutex);
  if (Target* const target = FindTarget(grant.m_target)) {
    Learn(target, load, &ignored);
  }
}

bool ServiceRouter::MayRetry(const RequestTraits& /*traits*/,
                             int attempts_so_far) {
  const std::lock_guard lock(m_mutex);
  const RetryConfig& retry = m_config->m_retry;
  const bool allowed =
      attempts_so_far < retry.m_max_attempts &&
      static_cast<double>(m_retries + m_hedges + 1) <=
          1 + retry.m_budget_share * static_cast<double>(m_requests);
  m_retries += allowed ? 1 : 0;
  return allowed;
}

std::optional<Duration> ServiceRouter::HedgeDelay(
    const RequestTraits& /*traits*/) const {
  return std::nullopt;
}

bool ServiceRouter::MayHedge(const RequestTraits& /*traits*/,
                             int /*attempts_so_far*/) {
  return false;
}

void ServiceRouter::ExpireWaiters(TimePoint now, Effects* effects) {
  const std::lock_guard lock(m_mutex);
  std::deque<Waiter> kept;
  for (Waiter& waiter : m_waiters) {
    if (waiter.m_expires <= now) {
      effects->m_decisions.push_back(
          {std::move(waiter.m_on_grant),
           Refuse(ErrorKind::kQueueTimeout, "no slot became free in time")});
    } else {
      kept.push_back(std::move(waiter));
    }
  }
  m_waiters = std::move(kept);
}

void ServiceRouter::TakeProbes(TimePoint now,
                               int instances,
                               std::vector<ProbeOrder>* orders,
                               Effects* effects) {
  const std::lock_guard lock(m_mutex);
  if (m_last_request + kIdleAfter < now || m_targets.empty()) {
    m_probes_scheduled = false;
    return;
  }
  const double rate =
      policy::AllowedProbeRate(m_config->m_probe, TotalSlots(*m_config)) /
      instances;
  m_probe_budget.SetRate(rate, now);
  if (m_probe_budget.Take(now)) {
    const Target& target = *m_targets[m_next_probe++ % m_targets.size()];
    orders->push_back({m_config->m_name, target.m_config.m_name,
                       target.m_config.m_address, m_config->m_probe.m_timeout});
    ++m_probes_sent;
  }
  effects->m_probe_at = m_probe_budget.NextAt(now);
}

void ServiceRouter::ReportProbe(const ProbeReport& report,
                                TimePoint now,
                                Effects* effects) {
  const std::lock_guard lock(m_mutex);
  Target* const target = FindTarget(report.m_target);
  if (target != nullptr && report.m_load.has_value()) {
    Learn(target, *report.m_load, effects);
    ServeWaiters(now, effects);
  }
}

void ServiceRouter::LearnDrain(const DrainNotice& notice) {
  const std::lock_guard lock(m_mutex);
  Target* const target = FindTarget(notice.m_target);
  if (target != nullptr) {
    target->m_draining = true;
    target->m_incarnation = notice.m_incarnation;
  }
}

std::vector<DrainNotice> ServiceRouter::Drains() const {
  const std::lock_guard lock(m_mutex);
  std::vector<DrainNotice> drains;
  for (const auto& target : m_targets) {
    if (target->m_draining) {
      drains.push_back(
          {m_config->m_name, target->m_config.m_name, target->m_incarnation});
    }
  }
  return drains;
}

std::vector<std::pair<std::string, int>> ServiceRouter::InFlight() const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::pair<std::string, int>> counts;
  for (const auto& target : m_targets) {
    if (target->m_in_flight > 0) {
      counts.emplace_back(target->m_config.m_name, target->m_in_flight);
    }
  }
  return counts;
}

ServiceStatus ServiceRouter::Status(TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  ServiceStatus status;
  status.m_name = m_config->m_name;
  status.m_queued = static_cast<int>(m_waiters.size());
  status.m_requests = m_requests;
  status.m_retries = m_retries;
  status.m_hedges = m_hedges;
  status.m_probes_sent = m_probes_sent;
  status.m_probes_allowed = m_probe_budget.Allowed(now);
  for (const auto& target : m_targets) {
    status.m_targets.push_back(
        {.m_name = target->m_config.m_name,
         .m_zone = target->m_config.m_zone,
         .m_address = target->m_config.m_address,
         .m_slots = target->m_config.m_slots,
         .m_in_flight = target->m_in_flight,
         .m_reported_in_flight = target->m_reported_in_flight,
         .m_draining = target->m_draining});
  }
  return status;
}

ServiceRouter::Target* ServiceRouter::FindTarget(const std::string& name) {
  for (const auto& target : m_targets) {
    if (target->m_config.m_name == name) {
      return target.get();
    }
  }
  return nullptr;
}

ServiceRouter::Target* ServiceRouter::Choose(
    const std::vector<std::string>& avoid) {
  std::vector<Target*> free;
  for (const auto& target : m_targets) {
    if (!target->m_removed && !target->m_draining &&
        target->m_in_flight < target->m_config.m_slots &&
        !Contains(avoid, target->m_config.m_name)) {
      free.push_back(target.get());
    }
  }
  if (free.empty()) {
    return nullptr;
  }
  Target* const first = free[m_random.Below(free.size())];
  Target* const second = free[m_random.Below(free.size())];
  return first->m_in_flight <= second->m_in_flight ? first : second;
}

Grant ServiceRouter::MakeGrant(Target* target,
                               std::uint64_t ticket,
                               TimePoint now) {
  ++target->m_in_flight;
  return {.m_id = ticket,
          .m_service = m_config->m_name,
          .m_target = target->m_config.m_name,
          .m_address = target->m_config.m_address,
          .m_granted_at = now};
}

void ServiceRouter::Learn(Target* target,
                          const LoadReport& load,
                          Effects* effects) {
  if (load.m_in_flight.has_value()) {
    target->m_reported_in_flight = load.m_in_flight;
  }
  if (!load.m_incarnation.empty() &&
      load.m_incarnation != target->m_incarnation) {
    target->m_incarnation = load.m_incarnation;
    target->m_draining = false;
  }
  if (load.m_draining && !target->m_draining) {
    target->m_draining = true;
    effects->m_drains.push_back(
        {m_config->m_name, target->m_config.m_name, target->m_incarnation});
  }
}

void ServiceRouter::ServeWaiters(TimePoint now, Effects* effects) {
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    Target* const target = Choose(waiter->m_avoid);
    if (target == nullptr) {
      break;
    }
    effects->m_decisions.push_back(
        {std::move(waiter->m_on_grant),
         {MakeGrant(target, waiter->m_ticket, now)}});
    waiter = m_waiters.erase(waiter);
  }
}

}  // namespace guavacross::routing
