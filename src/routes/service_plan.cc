#include "routes/service_plan.h"

#include <algorithm>
#include <utility>

namespace guavacross::routes {

namespace {

// Fraction of a shared budget that the instances use: a sliding window may
// overlap two of the spans in which they account for their own use.
constexpr double kPlannedBudgetShare = 0.85;

// The same for retries. Each is paid for by earlier requests, and what may be
// saved is the part of the budget that doesn't depend on the requests, so that
// no window holds more; the rest is for instances that don't know of each
// other.
constexpr double kPlannedRetryShare = 0.95;

// Each step of priority halves a class's weight under contention.
constexpr int kMaxWeight = 64;
constexpr int kMaxPrioritySteps = 6;

// A step of a tenant's priority counts for as much as two of a route's.
constexpr int kTenantPriorityBits = 2;
constexpr int kMaxTenantWeight = 1 << (kTenantPriorityBits * kMaxPrioritySteps);

// Requests that may wait on one instance for one route; the time that they wait
// is limited by the callers' deadlines.
constexpr int kQueueLimit = 256;

// A live target answers a probe at once, whatever its load.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);

bool SendsTo(const Route& route, const std::string& service) {
  return std::any_of(route.m_shares.begin(), route.m_shares.end(),
                     [&service](const ServiceShare& share) {
                       return share.m_service == service;
                     });
}

ClassConfig PlanClass(const Route& route, const RequestLimits& limits) {
  ClassConfig plan;
  plan.m_name = route.m_name;
  plan.m_path_prefix = route.m_path_prefix;
  plan.m_repeatable = route.m_kind == RouteKind::kRepeatable ||
                      route.m_kind == RouteKind::kDownload;
  plan.m_claims = false;
  plan.m_deadline = route.m_deadline;
  plan.m_limit_whole_answer = true;
  plan.m_latency_objective = route.m_latency_objective;
  plan.m_max_attempts = route.m_max_attempts;
  plan.m_queue_limit = kQueueLimit;
  plan.m_queue_wait = route.m_deadline;
  plan.m_weight =
      kMaxWeight >> std::clamp(route.m_priority, 0, kMaxPrioritySteps);
  plan.m_max_body_bytes = limits.m_max_body_bytes;
  return plan;
}

}  // namespace

ServiceConfig PlanService(const RouteTable& table,
                          const RoutedService& service,
                          const std::vector<RegisteredTarget>& targets,
                          const SharedBudgets& budgets) {
  ServiceConfig plan;
  plan.m_name = service.m_name;
  plan.m_profile = Profile::kTailFirst;
  for (const RegisteredTarget& target : targets) {
    if (target.m_service == service.m_name && !target.m_draining) {
      plan.m_targets.push_back({.m_name = target.m_id,
                                .m_address = target.m_address,
                                .m_zone = target.m_zone,
                                .m_slots = target.m_slots,
                                .m_incarnation = target.m_incarnation,
                                .m_warm_up_left = target.m_warm_up_left});
    }
  }
  plan.m_retry.m_max_attempts = 1;
  for (const Route& route : table.m_routes) {
    if (SendsTo(route, service.m_name)) {
      plan.m_classes.push_back(PlanClass(route, table.m_limits));
      plan.m_retry.m_max_attempts =
          std::max(plan.m_retry.m_max_attempts, route.m_max_attempts);
    }
  }
  for (const Tenant& tenant : table.m_tenants) {
    plan.m_tenants.push_back(
        {.m_name = tenant.m_name,
         .m_weight = kMaxTenantWeight >>
                     (kTenantPriorityBits *
                      std::clamp(tenant.m_priority, 0, kMaxPrioritySteps))});
  }
  plan.m_retry.m_budget_share = budgets.m_retry_share * kPlannedRetryShare;
  plan.m_retry.m_shared_max_balance =
      budgets.m_retry_extra * kPlannedRetryShare;
  plan.m_slow_start.m_max_rate = service.m_cold_rate;
  if (service.m_cold_time > Duration::zero()) {
    plan.m_slow_start.m_window = service.m_cold_time;
  }
  plan.m_probe.m_path = service.m_health_path;
  plan.m_probe.m_probes_per_second = budgets.m_probes_per_target_second *
                                     kPlannedBudgetShare *
                                     static_cast<double>(plan.m_targets.size());
  // Probes take no slot on a target.
  plan.m_probe.m_probe_cost = Duration::zero();
  plan.m_probe.m_timeout = kProbeTimeout;
  plan.m_probe.m_per_request = true;
  return plan;
}

}  // namespace guavacross::routes
