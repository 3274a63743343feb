#include "routing/service_router.h"

#include <algorithm>
#include <utility>

#include "util/hash.h"

namespace guavacross::routing {

namespace {

// Above this utilization hedges delay other requests, so only the slowest
// requests are hedged: those beyond this percentile of the latency.
constexpr double kBusyUtilization = 0.8;
constexpr double kBusyHedgePercentile = 99;

// Refused callers come back for this long after one has done so.
constexpr Duration kReturnedRecently = std::chrono::seconds(1);

}  // namespace

ServiceRouter::ServiceRouter(std::shared_ptr<const ServiceConfig> config,
                             const RouterOptions& options)
    : m_options(options),
      m_pool(options, util::Hash(config->m_name, options.m_seed)),
      m_random(util::Hash(config->m_name, options.m_seed + 1)) {
  Effects none;
  Configure(std::move(config), options.m_clock.m_now(), &none);
}

void ServiceRouter::Configure(std::shared_ptr<const ServiceConfig> config,
                              TimePoint now,
                              Effects* effects) {
  const std::lock_guard lock(m_mutex);
  m_config = std::move(config);
  m_pool.Configure(m_config, now);
  m_path.SetTargets(m_config->m_targets.size(), ZonesOf(*m_config).size());
  LimitSavedRetries();
  double bulk_weight = 0;
  double all_weights = 0;
  for (const ClassConfig& wanted : m_config->m_classes) {
    FindOrAddClass(wanted.m_name)->m_config = wanted;
    all_weights += wanted.m_weight;
    bulk_weight += wanted.m_bulk ? wanted.m_weight : 0;
  }
  m_bulk_weight_share = all_weights > 0 ? bulk_weight / all_weights : 1;
  m_tenant_weights.clear();
  for (const TenantConfig& tenant : m_config->m_tenants) {
    m_tenant_weights[tenant.m_name] = tenant.m_weight;
  }
  ServeWaiters(now, effects);
}

void ServiceRouter::SetView(std::shared_ptr<const policy::InstanceView> view,
                            TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_pool.SetView(std::move(view), now);
}

std::shared_ptr<const ServiceConfig> ServiceRouter::config() const {
  const std::lock_guard lock(m_mutex);
  return m_config;
}

void ServiceRouter::Close(Effects* effects) {
  const std::lock_guard lock(m_mutex);
  for (auto& [ticket, waiter] : m_waiters) {
    effects->m_decisions.push_back(
        {std::move(waiter.m_on_grant),
         Refuse(ErrorKind::kUnknownService, "the service has been removed")});
  }
  m_waiters.clear();
  m_queue = policy::FairQueue();
}

void ServiceRouter::Acquire(const RequestTraits& traits,
                            const std::vector<std::string>& targets_to_avoid,
                            std::uint64_t ticket,
                            GrantCallback on_grant,
                            int instances,
                            TimePoint now,
                            Effects* effects) {
  const std::lock_guard lock(m_mutex);
  m_instances = instances;
  m_pool.SetInstances(instances);
  LimitSavedRetries();
  m_last_request = now;
  // Only retries and hedges have targets to avoid; this is a new request.
  if (targets_to_avoid.empty() && traits.m_attempts_before == 0) {
    ++m_requests;
    m_retry_budget.Deposit(m_config->m_retry.m_budget_share);
  }
  if (!m_probes_scheduled) {
    m_probes_scheduled = true;
    effects->m_probe_at = now;
  }
  if (traits.m_deadline <= now) {
    effects->m_decisions.push_back(
        {std::move(on_grant),
         Refuse(ErrorKind::kDeadlineExpired, "the deadline has passed")});
    return;
  }
  ClassState* const state = FindOrAddClass(traits.m_class_name);
  state->m_last_request = now;
  if (traits.m_caller_timeout > Duration::zero()) {
    state->m_longest_asked_wait.Record(traits.m_caller_timeout, now);
  }
  if (targets_to_avoid.empty() && HasReturned(traits)) {
    m_last_returned = now;
  }
  const policy::WaitBounds bounds = WaitBoundsOf(*state, traits, now);
  Waiter waiter{.m_class = state,
                .m_flow = FlowOf(traits, bounds),
                .m_deadline = traits.m_deadline,
                .m_avoid = targets_to_avoid,
                .m_on_grant = std::move(on_grant),
                .m_arrived = now,
                .m_bounds = bounds,
                .m_zone_terms = ZoneTermsOf(*state, traits),
                .m_relayed = traits.m_relayed};
  if (!TryGrantAtOnce(ticket, &waiter, now, effects)) {
    Enqueue(ticket, std::move(waiter), now, effects);
  }
}

bool ServiceRouter::TryChargeRetry(const RequestTraits& traits,
                                   int attempts_so_far,
                                   AttemptEnd last_end,
                                   TimePoint now) {
  const std::lock_guard lock(m_mutex);
  if (attempts_so_far + traits.m_attempts_before >= MaxAttempts(traits)) {
    return false;
  }
  const bool not_run = last_end == AttemptEnd::kConnectFailed ||
                       last_end == AttemptEnd::kRefusedNotRun ||
                       last_end == AttemptEnd::kWrongTarget;
  const bool callers_return = m_last_returned != TimePoint::min() &&
                              now - m_last_returned < kReturnedRecently;
  const double reserve = callers_return && !HasReturned(traits)
                             ? m_retry_budget.ReserveForReturned()
                             : 0;
  const bool allowed =
      m_retry_budget.TryWithdraw(not_run ? policy::AttemptProgress::kNotRun
                                         : policy::AttemptProgress::kMayHaveRun,
                                 traits.m_hops, reserve);
  m_retries += allowed ? 1 : 0;
  return allowed;
}

bool ServiceRouter::HasReturned(const RequestTraits& traits) const {
  const ClassState* const state = FindClassState(traits.m_class_name);
  return state != nullptr &&
         policy::HasReturned(traits.m_caller_timeout,
                             state->m_longest_asked_wait.value());
}

bool ServiceRouter::IsPastObjective(const RequestTraits& traits,
                                    TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  const ClassState* const state = FindClassState(traits.m_class_name);
  return state != nullptr &&
         policy::IsPastObjective(WaitBoundsOf(*state, traits, now));
}

Duration ServiceRouter::RetryAfterRefusal() {
  const std::lock_guard lock(m_mutex);
  return policy::HasRoom(m_pool.Utilization(), m_queue.size())
             ? policy::RetryAfterWithRoom(&m_random)
             : policy::RetryAfter(Duration::zero(), &m_random);
}

std::optional<Duration> ServiceRouter::HedgeDelay(
    const RequestTraits& traits) const {
  const std::lock_guard lock(m_mutex);
  const ClassState* const state = FindClassState(traits.m_class_name);
  if (state == nullptr || !state->m_config.m_hedge ||
      !state->m_config.m_repeatable || !state->m_latency.is_ready() ||
      m_options.m_policy != ChoicePolicy::kGuavacross ||
      !IsEnabled(Mechanism::kHedging)) {
    return std::nullopt;
  }
  double percentile = std::max(m_config->m_hedge.m_percentile,
                               m_pool.parameters().m_min_hedge_percentile);
  if (m_pool.Utilization() > kBusyUtilization) {
    percentile = std::max(percentile, kBusyHedgePercentile);
  }
  return std::max(m_config->m_hedge.m_min_delay,
                  state->m_latency.Percentile(percentile));
}

bool ServiceRouter::TryChargeHedge(const RequestTraits& traits,
                                   int attempts_so_far) {
  const std::lock_guard lock(m_mutex);
  // While requests wait, free slots go to them rather than to hedges.
  const bool allowed =
      attempts_so_far + traits.m_attempts_before < MaxAttempts(traits) &&
      m_queue.size() == 0 &&
      m_retry_budget.TryWithdraw(policy::AttemptProgress::kMayHaveRun,
                                 traits.m_hops);
  m_hedges += allowed ? 1 : 0;
  return allowed;
}

int ServiceRouter::MaxAttempts(const RequestTraits& traits) const {
  const ClassState* const state = FindClassState(traits.m_class_name);
  const int own = state == nullptr ? 0 : state->m_config.m_max_attempts;
  return own > 0 ? own : m_config->m_retry.m_max_attempts;
}

// Divides the shared limit on saved retry tokens evenly among the instances:
// an instance doesn't know how many tokens the others have spent.
void ServiceRouter::LimitSavedRetries() {
  const double shared = m_config->m_retry.m_shared_max_balance;
  if (shared > 0) {
    m_retry_budget.SetMaxBalance(shared / std::max(1, m_instances));
  }
}

ServiceStatus ServiceRouter::Status(TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  ServiceStatus status{.m_name = m_config->m_name,
                       .m_queued = m_queue.size(),
                       .m_requests = m_requests,
                       .m_retries = m_retries,
                       .m_hedges = m_hedges,
                       .m_probes_sent = m_probes_sent,
                       .m_left_zone = m_left_zone,
                       .m_left_empty_zone = m_left_empty_zone,
                       .m_probes_allowed = m_probe_budget.TotalAllowed(now),
                       .m_panic = m_pool.IsPanic(now),
                       .m_crowded = m_pool.IsCrowded(now)};
  for (const auto& target : m_pool.targets()) {
    if (target->m_removed) {
      continue;
    }
    status.m_targets.push_back(
        {.m_name = target->m_config.m_name,
         .m_zone = target->m_config.m_zone,
         .m_address = target->m_config.m_address,
         .m_slots = target->m_config.m_slots,
         .m_in_flight = target->m_load.own(),
         .m_reported_in_flight = target->m_reported_in_flight,
         .m_ejected = target->m_ejection.IsEjected(now),
         .m_draining = target->m_draining.is_draining(),
         .m_slow_start = m_pool.IsSlowStart(*target, now),
         .m_pause_left = target->m_pause.IsActive(now)
                             ? target->m_pause.until() - now
                             : Duration::zero(),
         .m_request_limit = target->m_limit.limit(),
         .m_request_share = target->m_limit.is_active()
                                ? target->m_request_share.Share(now)
                                : 0,
         .m_cold_left = target->m_cold.IsCold(now)
                            ? target->m_cold.until() - now
                            : Duration::zero(),
         .m_cold_share =
             target->m_cold.IsCold(now) ? target->m_cold_share.Share(now) : 0});
  }
  return status;
}

bool ServiceRouter::IsEnabled(Mechanism mechanism) const {
  return !m_options.m_disabled.contains(mechanism);
}

ClassState* ServiceRouter::FindOrAddClass(const std::string& name) {
  for (const auto& state : m_classes) {
    if (state->m_config.m_name == name) {
      return state.get();
    }
  }
  m_classes.push_back(std::make_unique<ClassState>());
  m_classes.back()->m_config.m_name = name;
  return m_classes.back().get();
}

const ClassState* ServiceRouter::FindClassState(const std::string& name) const {
  for (const auto& state : m_classes) {
    if (state->m_config.m_name == name) {
      return state.get();
    }
  }
  return nullptr;
}

Grant ServiceRouter::MakeGrant(Target* target,
                               ClassState* state,
                               std::uint64_t ticket,
                               TimePoint now) {
  Attempt attempt{.m_id = ticket, .m_class = state, .m_sent_at = now};
  if (state->m_latency.is_ready()) {
    attempt.m_slow_at = now + state->m_latency.p99();
  }
  attempt.m_slowdown = m_pool.SlowdownOf(*target, now);
  m_bulk_in_flight += state->m_config.m_bulk ? 1 : 0;
  attempt.m_counted_as_bulk = state->m_config.m_bulk;
  m_pool.Sent(target, attempt);
  if (target->m_other_zone) {
    ++m_left_zone;
    m_left_empty_zone += m_pool.HasLocalTarget(now) ? 0 : 1;
  }
  return {.m_id = ticket,
          .m_service = m_config->m_name,
          .m_target = target->m_config.m_name,
          .m_zone = target->m_config.m_zone,
          .m_address = target->m_config.m_address,
          .m_granted_at = now};
}

}  // namespace guavacross::routing
