#include "routes/target_registry.h"

#include <algorithm>
#include <utility>

namespace guavacross::routes {

// Whether an entry belongs to a run, or a point in a run, that has been
// removed.
bool TargetRegistry::IsOutdated(const RegisteredTarget& entry) const {
  const auto removed = m_removed.find(entry.m_id);
  if (removed == m_removed.end()) {
    return false;
  }
  const RegisteredTarget& last = removed->second;
  if (entry.m_incarnation != last.m_incarnation) {
    return entry.m_incarnation < last.m_incarnation;
  }
  return last.m_draining || entry.m_draining ||
         entry.m_heartbeat <= last.m_heartbeat;
}

TargetRegistry::Change TargetRegistry::Put(const RegisteredTarget& entry) {
  if (IsOutdated(entry)) {
    return Change::kNone;
  }
  m_removed.erase(entry.m_id);
  const auto [place, added] = m_entries.try_emplace(entry.m_id);
  RegisteredTarget& known = place->second.m_target;
  if (added) {
    known = entry;
    return Change::kAdded;
  }
  if (entry.m_incarnation != known.m_incarnation) {
    if (entry.m_incarnation < known.m_incarnation) {
      return Change::kNone;
    }
    place->second = {.m_target = entry};
    return Change::kReplaced;
  }
  if (entry.m_heartbeat < known.m_heartbeat) {
    return Change::kNone;
  }
  place->second.m_lapses_at.reset();
  const bool was_draining = known.m_draining;
  RegisteredTarget updated = entry;
  updated.m_draining = entry.m_draining || was_draining;
  RegisteredTarget before = std::exchange(known, updated);
  before.m_heartbeat = known.m_heartbeat;
  // The remaining warm-up time falls by itself, which is no update.
  const bool was_cold = before.m_warm_up_left > Duration::zero();
  const bool is_cold = known.m_warm_up_left > Duration::zero();
  if (was_cold == is_cold) {
    before.m_warm_up_left = known.m_warm_up_left;
  }
  if (known.m_draining && !was_draining) {
    return Change::kDraining;
  }
  return before == known ? Change::kHeartbeat : Change::kUpdated;
}

TargetRegistry::Change TargetRegistry::Remove(const std::string& id,
                                              TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return Change::kNone;
  }
  Entry& entry = found->second;
  if (now < m_reregistration_until && !entry.m_target.m_draining) {
    entry.m_lapses_at = m_reregistration_until;
    return Change::kLapsed;
  }
  m_removed[id] = entry.m_target;
  m_entries.erase(found);
  return Change::kRemoved;
}

void TargetRegistry::SetOutageEnd(std::optional<TimePoint> ended_at) {
  m_reregistration_until =
      ended_at.has_value() ? *ended_at + kReregistrationTime : TimePoint();
  for (auto& [id, entry] : m_entries) {
    if (entry.m_lapses_at.has_value()) {
      entry.m_lapses_at = m_reregistration_until;
    }
  }
}

std::vector<RegisteredTarget> TargetRegistry::Expire(TimePoint now) {
  std::vector<RegisteredTarget> expired;
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_lapses_at.has_value() && *entry.m_lapses_at <= now) {
      expired.push_back(entry.m_target);
    }
  }
  for (const RegisteredTarget& target : expired) {
    m_removed[target.m_id] = target;
    m_entries.erase(target.m_id);
  }
  return expired;
}

std::optional<TimePoint> TargetRegistry::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [id, entry] : m_entries) {
    if (entry.m_lapses_at.has_value() &&
        (!next.has_value() || *entry.m_lapses_at < *next)) {
      next = entry.m_lapses_at;
    }
  }
  return next;
}

std::optional<RegisteredTarget> TargetRegistry::Find(
    const std::string& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? std::nullopt
                                  : std::optional(found->second.m_target);
}

std::vector<RegisteredTarget> TargetRegistry::Targets() const {
  std::vector<RegisteredTarget> targets;
  targets.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) {
    targets.push_back(entry.m_target);
  }
  return targets;
}

std::string_view RegistryChangeName(TargetRegistry::Change change) {
  switch (change) {
    case TargetRegistry::Change::kNone:
      return "none";
    case TargetRegistry::Change::kHeartbeat:
      return "heartbeat";
    case TargetRegistry::Change::kAdded:
      return "added";
    case TargetRegistry::Change::kReplaced:
      return "replaced";
    case TargetRegistry::Change::kDraining:
      return "draining";
    case TargetRegistry::Change::kUpdated:
      return "updated";
    case TargetRegistry::Change::kRemoved:
      return "removed";
    case TargetRegistry::Change::kLapsed:
      break;
  }
  return "lapsed";
}

}  // namespace guavacross::routes
