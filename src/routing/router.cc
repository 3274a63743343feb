#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <unordered_map>
#include <utility>

#include "guavacross/routing.h"
#include "policy/answered_requests.h"
#include "policy/quarantine.h"
#include "routing/due_times.h"
#include "routing/effects.h"
#include "routing/instance_views.h"
#include "routing/relay_router.h"
#include "routing/service_router.h"

namespace guavacross {

using routing::Effects;
using routing::ServiceRouter;

/// Lock order: the table of services, or `m_in_use_mutex`, before a service's
/// lock. No other lock is taken while one of the remaining locks is held.
/// Callbacks and hooks are called with no lock held.
class Router::Impl {
 public:
  Impl(RouterOptions options, RouterHooks hooks)
      : m_options(std::move(options)),
        m_hooks(std::move(hooks)),
        m_instances(m_options.m_name),
        m_relays(m_options, m_hooks.m_on_reach) {}

  TimePoint Now() const { return m_options.m_clock.m_now(); }

  std::shared_ptr<ServiceRouter> Find(const std::string& name) const {
    const std::shared_lock lock(m_services_mutex);
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
  }

  std::vector<std::shared_ptr<ServiceRouter>> AllServices() const {
    const std::shared_lock lock(m_services_mutex);
    std::vector<std::shared_ptr<ServiceRouter>> services;
    services.reserve(m_services.size());
    for (const auto& [name, service] : m_services) {
      services.push_back(service);
    }
    return services;
  }

  /// Runs the callbacks and hooks of `effects` and schedules its wake-ups.
  /// Takes no service lock.
  void ApplyEffects(const std::shared_ptr<ServiceRouter>& service,
                    Effects effects) {
    if (effects.m_expire_at) {
      m_expiries.Add(*effects.m_expire_at, service);
    }
    if (effects.m_probe_at) {
      m_probe_times.Add(*effects.m_probe_at, service);
    }
    if (!effects.m_decisions.empty()) {
      AddInUse(service);
    }
    routing::RunCallbacks(std::move(effects.m_decisions));
    if (!effects.m_probes.empty() && m_hooks.m_on_probes) {
      m_hooks.m_on_probes(std::move(effects.m_probes));
    }
    if (!effects.m_path_events.empty()) {
      m_relays.Record(service, effects.m_path_events, Now());
    }
    for (const DrainNotice& notice : effects.m_drains) {
      AddServiceWithNotices(notice.m_service);
      if (m_hooks.m_on_drain) {
        m_hooks.m_on_drain(notice);
      }
    }
    for (const LimitNotice& notice : effects.m_limits) {
      AddServiceWithNotices(notice.m_service);
      if (m_hooks.m_on_limit) {
        m_hooks.m_on_limit(notice);
      }
    }
    for (const SuspectNotice& notice : effects.m_suspects) {
      NotifySuspect(notice);
    }
  }

  void NotifySuspect(const SuspectNotice& suspect) {
    if (m_answered.Contains(suspect.m_fingerprint, Now())) {
      return;
    }
    if (m_hooks.m_on_suspect) {
      m_hooks.m_on_suspect(suspect);
    }
    const std::optional<QuarantineNotice> quarantine = AddSuspect(suspect);
    if (quarantine && m_hooks.m_on_quarantine) {
      m_hooks.m_on_quarantine(*quarantine);
    }
  }

  std::optional<QuarantineNotice> AddSuspect(const SuspectNotice& suspect) {
    const TimePoint now = Now();
    if (m_answered.Contains(suspect.m_fingerprint, now)) {
      return std::nullopt;
    }
    const std::lock_guard lock(m_quarantine_mutex);
    m_any_quarantine = true;
    return m_quarantine.AddSuspect(suspect, now);
  }

  void LearnQuarantine(const QuarantineNotice& notice) {
    const TimePoint now = Now();
    if (m_answered.Contains(notice.m_fingerprint, now)) {
      return;
    }
    const std::lock_guard lock(m_quarantine_mutex);
    m_any_quarantine = true;
    m_quarantine.AddFromPeer(notice, now);
  }

  void RecordAnswered(std::uint64_t fingerprint) {
    const TimePoint now = Now();
    m_answered.Record(fingerprint, now);
    if (!m_any_quarantine) {
      return;
    }
    const std::lock_guard lock(m_quarantine_mutex);
    m_quarantine.RecordAnswer(fingerprint, now);
  }

  /// Adds a service that has granted attempts to the list of services in use.
  /// Costs one atomic exchange if it is listed already. Call it after the
  /// attempts have been counted in the service, so that `CountInFlight` misses
  /// none.
  void AddInUse(const std::shared_ptr<ServiceRouter>& service) {
    if (service != nullptr && !service->ExchangeListed(true)) {
      const std::lock_guard lock(m_in_use_mutex);
      m_in_use.insert(service);
    }
  }

  /// Counts the attempts in flight of the services in use, and removes services
  /// without any from the list.
  InFlightCounts CountInFlight() {
    InFlightCounts counts;
    const std::lock_guard lock(m_in_use_mutex);
    for (auto each = m_in_use.begin(); each != m_in_use.end();) {
      const std::shared_ptr<ServiceRouter>& service = *each;
      service->ExchangeListed(false);
      auto own = service->InFlight();
      if (own.empty()) {
        each = m_in_use.erase(each);
        continue;
      }
      service->ExchangeListed(true);
      counts.emplace_back(service->config()->m_name, std::move(own));
      ++each;
    }
    return counts;
  }

  void AddServiceWithNotices(const std::string& service) {
    const std::lock_guard lock(m_notices_mutex);
    m_services_with_notices.insert(service);
  }

  /// The services that have ever had a target that drains or names a limit;
  /// these are few.
  std::set<std::string> ServicesWithNotices() const {
    const std::lock_guard lock(m_notices_mutex);
    return m_services_with_notices;
  }

  bool IsSuspect(std::uint64_t fingerprint) const {
    if (!m_any_quarantine) {
      return false;
    }
    const TimePoint now = Now();
    const std::lock_guard lock(m_quarantine_mutex);
    return m_quarantine.IsSuspect(fingerprint, now);
  }

  bool IsQuarantined(std::uint64_t fingerprint) {
    if (!m_any_quarantine) {
      return false;
    }
    const TimePoint now = Now();
    const std::lock_guard lock(m_quarantine_mutex);
    return m_quarantine.IsQuarantined(fingerprint, now);
  }

  const RouterOptions m_options;
  const RouterHooks m_hooks;
  mutable std::shared_mutex m_services_mutex;
  std::unordered_map<std::string, std::shared_ptr<ServiceRouter>> m_services;
  routing::DueTimes<ServiceRouter> m_expiries;
  routing::DueTimes<ServiceRouter> m_probe_times;
  // Acquired before a service's lock, never while one is held.
  std::mutex m_in_use_mutex;
  std::set<std::shared_ptr<ServiceRouter>> m_in_use;
  // No other lock is taken while it is held.
  mutable std::mutex m_notices_mutex;
  std::set<std::string> m_services_with_notices;
  routing::InstanceViews m_instances;
  routing::RelayRouter m_relays;
  mutable std::mutex m_quarantine_mutex;
  policy::Quarantine m_quarantine;
  policy::AnsweredRequests m_answered;
  // Whether any fingerprint has ever been suspected or quarantined. Until then,
  // requests skip the lock.
  std::atomic<bool> m_any_quarantine{false};
  std::atomic<std::uint64_t> m_next_ticket{1};
};

Router::Router(RouterOptions options, RouterHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

Router::~Router() = default;

void Router::Configure(const ServiceConfig& config) {
  auto shared = std::make_shared<const ServiceConfig>(config);
  m_impl->m_relays.SetTargets(config);
  Effects effects;
  std::shared_ptr<ServiceRouter> service = m_impl->Find(config.m_name);
  if (service == nullptr) {
    service = std::make_shared<ServiceRouter>(shared, m_impl->m_options);
    service->SetView(m_impl->m_instances.view(), m_impl->Now());
    const std::unique_lock lock(m_impl->m_services_mutex);
    m_impl->m_services[config.m_name] = service;
  } else {
    service->Configure(std::move(shared), m_impl->Now(), &effects);
  }
  m_impl->ApplyEffects(service, std::move(effects));
}

void Router::Remove(const std::string& service) {
  const std::shared_ptr<ServiceRouter> removed = m_impl->Find(service);
  if (removed == nullptr) {
    return;
  }
  m_impl->m_relays.RemoveService(service);
  {
    const std::unique_lock lock(m_impl->m_services_mutex);
    m_impl->m_services.erase(service);
  }
  Effects effects;
  removed->Close(&effects);
  m_impl->ApplyEffects(removed, std::move(effects));
}

std::shared_ptr<const ServiceConfig> Router::FindService(
    const std::string& service) const {
  const std::shared_ptr<ServiceRouter> found = m_impl->Find(service);
  return found == nullptr ? nullptr : found->config();
}

std::uint64_t Router::Acquire(const RequestTraits& traits,
                              const std::vector<std::string>& targets_to_avoid,
                              GrantCallback on_grant) {
  const std::uint64_t ticket = m_impl->m_next_ticket++;
  Effects effects;
  const std::shared_ptr<ServiceRouter> service = m_impl->Find(traits.m_service);
  if (m_impl->IsQuarantined(traits.m_fingerprint)) {
    effects.m_decisions.push_back(
        {std::move(on_grant),
         routing::Refuse(ErrorKind::kQuarantined,
                         "backend servers were lost while they ran it")});
  } else if (service == nullptr) {
    effects.m_decisions.push_back(
        {std::move(on_grant),
         routing::Refuse(ErrorKind::kUnknownService,
                         "no service " + traits.m_service)});
  } else if (auto elsewhere = m_impl->m_relays.Decide(
                 service, traits, ticket, targets_to_avoid, m_impl->Now(),
                 &effects)) {
    effects.m_decisions.push_back({std::move(on_grant), std::move(*elsewhere)});
  } else {
    service->Acquire(traits, targets_to_avoid, ticket, std::move(on_grant),
                     m_impl->m_instances.largest_count(), m_impl->Now(),
                     &effects);
  }
  m_impl->ApplyEffects(service, std::move(effects));
  return ticket;
}

void Router::CancelWait(const std::string& service, std::uint64_t ticket) {
  if (const auto found = m_impl->Find(service)) {
    found->CancelWait(ticket);
  }
}

void Router::Release(const Grant& grant,
                     const RequestTraits& traits,
                     const AttemptReport& report) {
  if (report.m_end == AttemptEnd::kAnswered) {
    m_impl->RecordAnswered(traits.m_fingerprint);
  }
  if (!grant.m_peer.empty()) {
    m_impl->m_relays.Ended(grant, report.m_end, m_impl->Now());
    return;
  }
  if (const auto service = m_impl->Find(grant.m_service)) {
    Effects effects;
    service->Release(grant, traits, report, m_impl->Now(), &effects);
    m_impl->ApplyEffects(service, std::move(effects));
  }
}

void Router::ReportLoad(const Grant& grant,
                        const LoadReport& load,
                        Duration time_to_first_byte) {
  if (const auto service = m_impl->Find(grant.m_service)) {
    Effects effects;
    service->ReportLoad(grant, load, time_to_first_byte, m_impl->Now(),
                        &effects);
    m_impl->ApplyEffects(service, std::move(effects));
  }
}

bool Router::TryChargeRetry(const RequestTraits& traits,
                            int attempts_so_far,
                            AttemptEnd last_end) {
  const auto service = m_impl->Find(traits.m_service);
  return service != nullptr && service->TryChargeRetry(traits, attempts_so_far,
                                                       last_end, m_impl->Now());
}

Duration Router::RetryAfterRefusal(const std::string& service) {
  const auto found = m_impl->Find(service);
  return found == nullptr ? Duration::zero() : found->RetryAfterRefusal();
}

bool Router::IsPastObjective(const RequestTraits& traits) const {
  const auto service = m_impl->Find(traits.m_service);
  return service != nullptr &&
         service->IsPastObjective(traits, m_impl->m_options.m_clock.m_now());
}

std::optional<Duration> Router::HedgeDelay(const RequestTraits& traits) const {
  const auto service = m_impl->Find(traits.m_service);
  return service == nullptr ? std::nullopt : service->HedgeDelay(traits);
}

bool Router::TryChargeHedge(const RequestTraits& traits, int attempts_so_far) {
  const auto service = m_impl->Find(traits.m_service);
  return service != nullptr && service->TryChargeHedge(traits, attempts_so_far);
}

void Router::ExpireWaiters() {
  const TimePoint now = m_impl->Now();
  for (const auto& service : m_impl->m_expiries.TakeDue(now)) {
    Effects effects;
    m_impl->m_relays.DivertWaiting(service, now, &effects);
    service->ExpireWaiters(now, &effects);
    m_impl->ApplyEffects(service, std::move(effects));
  }
}

std::vector<ProbeOrder> Router::TakeDueProbes() {
  const TimePoint now = m_impl->Now();
  m_impl->m_instances.Refresh(now);
  std::vector<ProbeOrder> orders;
  for (const auto& service : m_impl->m_probe_times.TakeDue(now)) {
    Effects effects;
    service->TakeProbes(now, m_impl->m_instances.largest_count(), &orders,
                        &effects);
    m_impl->ApplyEffects(service, std::move(effects));
  }
  return orders;
}

std::optional<TimePoint> Router::NextDue() const {
  const auto expiry = m_impl->m_expiries.Next();
  const auto probe = m_impl->m_probe_times.Next();
  if (!expiry.has_value() || !probe.has_value()) {
    return expiry.has_value() ? expiry : probe;
  }
  return std::min(*expiry, *probe);
}

void Router::ReportProbe(const ProbeReport& report) {
  if (const auto service = m_impl->Find(report.m_service)) {
    Effects effects;
    service->ReportProbe(report, m_impl->Now(), &effects);
    m_impl->ApplyEffects(service, std::move(effects));
  }
}

void Router::SetInstanceCount(int live_instances) {
  m_impl->m_instances.RecordCount(live_instances, m_impl->Now());
}

void Router::SetInstances(const std::vector<InstancePlace>& instances) {
  const TimePoint now = m_impl->Now();
  if (!m_impl->m_instances.SetInstances(instances, now)) {
    return;
  }
  for (const auto& service : m_impl->AllServices()) {
    service->SetView(m_impl->m_instances.view(), now);
  }
}

void Router::SetRelayPeers(std::vector<RelayPeer> peers) {
  m_impl->m_relays.SetPeers(std::move(peers));
}

void Router::LearnReach(const std::string& peer, const ReachState& reach) {
  m_impl->m_relays.LearnReach(peer, reach, m_impl->Now());
}

ReachState Router::Reach() const {
  return m_impl->m_relays.State(m_impl->Now());
}

void Router::SetPeerInFlight(
    const std::string& peer,
    const std::string& service,
    const std::vector<std::pair<std::string, int>>& counts) {
  if (const auto found = m_impl->Find(service)) {
    Effects effects;
    found->SetPeerInFlight(peer, counts, m_impl->Now(), &effects);
    m_impl->ApplyEffects(found, std::move(effects));
  }
}

bool Router::LearnDrain(const DrainNotice& notice) {
  const auto service = m_impl->Find(notice.m_service);
  if (service == nullptr) {
    return false;
  }
  const bool is_new = service->LearnDrain(notice);
  m_impl->AddServiceWithNotices(notice.m_service);
  return is_new;
}

bool Router::LearnLimit(const LimitNotice& notice) {
  const auto service = m_impl->Find(notice.m_service);
  if (service == nullptr) {
    return false;
  }
  const bool is_new = service->LearnLimit(notice, m_impl->Now());
  m_impl->AddServiceWithNotices(notice.m_service);
  return is_new;
}

void Router::LearnQuarantine(const QuarantineNotice& notice) {
  m_impl->LearnQuarantine(notice);
}

void Router::LearnSuspect(const SuspectNotice& notice) {
  m_impl->AddSuspect(notice);
}

std::vector<DrainNotice> Router::Drains() const {
  std::vector<DrainNotice> drains;
  // Called for every heartbeat, so it visits only services with notices.
  for (const std::string& name : m_impl->ServicesWithNotices()) {
    if (const auto service = m_impl->Find(name)) {
      const std::vector<DrainNotice> own = service->Drains();
      drains.insert(drains.end(), own.begin(), own.end());
    }
  }
  return drains;
}

std::vector<LimitNotice> Router::Limits() const {
  const TimePoint now = m_impl->Now();
  std::vector<LimitNotice> limits;
  for (const std::string& name : m_impl->ServicesWithNotices()) {
    if (const auto service = m_impl->Find(name)) {
      const std::vector<LimitNotice> own = service->Limits(now);
      limits.insert(limits.end(), own.begin(), own.end());
    }
  }
  return limits;
}

bool Router::IsSuspect(const RequestTraits& traits) const {
  return m_impl->IsSuspect(traits.m_fingerprint);
}

std::vector<QuarantineNotice> Router::Quarantines() const {
  const TimePoint now = m_impl->Now();
  const std::lock_guard lock(m_impl->m_quarantine_mutex);
  return m_impl->m_quarantine.Notices(now);
}

InFlightCounts Router::InFlight() const {
  return m_impl->CountInFlight();
}

std::vector<ServiceStatus> Router::Status() const {
  std::vector<ServiceStatus> statuses;
  for (const auto& service : m_impl->AllServices()) {
    statuses.push_back(service->Status(m_impl->Now()));
  }
  return statuses;
}

}  // namespace guavacross
