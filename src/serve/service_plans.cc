#include "serve/service_plans.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "util/log.h"

namespace guavacross::serve {

ServicePlans::ServicePlans(routes::SharedBudgets budgets,
                           Clock clock,
                           ServicePlansHooks hooks)
    : m_budgets(budgets),
      m_clock(std::move(clock)),
      m_hooks(std::move(hooks)) {}

void ServicePlans::SetTable(std::shared_ptr<const RouteTable> table) {
  m_table = std::move(table);
  PlanAll();
}

void ServicePlans::SetBudgets(const routes::SharedBudgets& budgets) {
  m_budgets = budgets;
  PlanAll();
}

void ServicePlans::SetEvacuatedZones(std::set<std::string> zones) {
  for (const std::string& zone : zones) {
    if (!m_evacuated_zones.contains(zone)) {
      util::LogChange("targets", "zone evacuated", {{"zone", zone}});
    }
  }
  for (const std::string& zone : m_evacuated_zones) {
    if (!zones.contains(zone)) {
      util::LogChange("targets", "evacuation ended", {{"zone", zone}});
    }
  }
  m_evacuated_zones = std::move(zones);
  PlanAll();
}

std::vector<RegisteredTarget> ServicePlans::UsableTargets() const {
  std::vector<RegisteredTarget> targets = m_registry.Targets();
  std::erase_if(targets, [this](const RegisteredTarget& target) {
    return m_evacuated_zones.contains(target.m_zone);
  });
  return targets;
}

void ServicePlans::Put(const RegisteredTarget& target,
                       const EntrySource& source) {
  const Change change = m_registry.Put(target);
  if (change == Change::kNone) {
    return;
  }
  EntryInfo& info = m_entries[target.m_id];
  if (info.m_service != target.m_service) {
    // The target may have moved here from another service.
    m_changed.insert(std::exchange(info.m_service, target.m_service));
  }
  const TimePoint before = std::exchange(info.m_updated_at, m_clock.m_now());
  const bool is_new = change == Change::kAdded || change == Change::kReplaced;
  NoteChange(change, target,
             is_new ? Duration::zero() : info.m_updated_at - before, &source);
}

void ServicePlans::Remove(const std::string& id, const EntrySource& source) {
  const auto before = m_registry.Find(id);
  const Change change = m_registry.Remove(id, m_clock.m_now());
  if (before.has_value()) {
    NoteChange(change, *before, m_clock.m_now() - m_entries[id].m_updated_at,
               &source);
  }
  if (change != Change::kLapsed) {
    m_entries.erase(id);
  }
}

void ServicePlans::Apply() {
  if (!std::exchange(m_listed, true)) {
    util::LogChange("targets", "targets listed",
                    {{"targets", std::to_string(m_entries.size())}});
  }
  PlanChanged();
  ScheduleExpiry();
}

void ServicePlans::SetOutageEnd(std::optional<TimePoint> ended_at) {
  m_registry.SetOutageEnd(ended_at);
  ScheduleExpiry();
}

std::map<std::string, Duration> ServicePlans::EntryAges() const {
  std::map<std::string, Duration> ages;
  for (const auto& [id, info] : m_entries) {
    ages[id] = m_clock.m_now() - info.m_updated_at;
  }
  return ages;
}

void ServicePlans::NoteChange(Change change,
                              const RegisteredTarget& target,
                              Duration known_for,
                              const EntrySource* source) {
  if (change == Change::kNone || change == Change::kHeartbeat) {
    return;
  }
  m_changed.insert(target.m_service);
  if (!m_listed) {
    // The initial targets are logged as one line, so that a start doesn't crowd
    // out other log lines.
    return;
  }
  std::vector<util::LogField> fields = {
      {"target", target.m_id},
      {"change", std::string(routes::RegistryChangeName(change))},
      {"service", target.m_service},
      {"incarnation", std::to_string(target.m_incarnation)},
      {"heartbeat", std::to_string(target.m_heartbeat)},
      {"address", ToString(target.m_address)},
      {"known_ms",
       std::to_string(static_cast<std::int64_t>(Milliseconds(known_for)))}};
  if (source != nullptr) {
    fields.emplace_back("source",
                        source->m_peer.empty() ? "store" : source->m_peer);
    fields.emplace_back("era", std::to_string(source->m_era));
    fields.emplace_back("offset", std::to_string(source->m_offset));
  }
  util::LogFields("targets", "target changed", fields);
}

void ServicePlans::PlanAll() {
  m_changed.clear();
  if (m_table == nullptr) {
    return;
  }
  std::map<std::string, std::vector<RegisteredTarget>> by_service;
  for (RegisteredTarget& target : UsableTargets()) {
    by_service[target.m_service].push_back(std::move(target));
  }
  std::set<std::string> present;
  for (const RoutedService& service : m_table->m_services) {
    present.insert(service.m_name);
    Plan(service, by_service[service.m_name]);
  }
  std::erase_if(m_plans, [&](const auto& entry) {
    const bool removed = !present.contains(entry.first);
    if (removed) {
      m_hooks.m_on_remove(entry.first);
    }
    return removed;
  });
}

void ServicePlans::PlanChanged() {
  if (m_table == nullptr || m_changed.empty()) {
    return;
  }
  const std::set<std::string> changed = std::exchange(m_changed, {});
  const std::vector<RegisteredTarget> targets = UsableTargets();
  for (const RoutedService& service : m_table->m_services) {
    if (changed.contains(service.m_name)) {
      Plan(service, targets);
    }
  }
}

void ServicePlans::Plan(const RoutedService& service,
                        const std::vector<RegisteredTarget>& targets) {
  ServiceConfig plan =
      routes::PlanService(*m_table, service, targets, m_budgets);
  const auto known = m_plans.find(service.m_name);
  if (known != m_plans.end() && known->second == plan) {
    return;
  }
  m_hooks.m_on_plan(plan);
  m_plans[service.m_name] = std::move(plan);
}

void ServicePlans::ScheduleExpiry() {
  const auto next = m_registry.NextExpiry();
  if (!next.has_value()) {
    return;
  }
  const Duration delay = std::max(Duration::zero(), *next - m_clock.m_now());
  m_expiry_timer = m_clock.m_call_after(delay, [this] {
    const TimePoint now = m_clock.m_now();
    for (const RegisteredTarget& target : m_registry.Expire(now)) {
      NoteChange(Change::kRemoved, target,
                 now - m_entries[target.m_id].m_updated_at, nullptr);
      m_entries.erase(target.m_id);
    }
    PlanChanged();
    ScheduleExpiry();
  });
}

}  // namespace guavacross::serve
