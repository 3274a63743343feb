// Limits on the requests to a target from all instances together: those that it
// names itself, and the rate that it takes while it is cold.

#include <algorithm>
#include <utility>

#include "routing/target_pool.h"
#include "util/hash.h"

namespace guavacross::routing {

bool TargetPool::UpdateLimit(Target* target,
                             double limit,
                             TimePoint asked_at,
                             TimePoint now) {
  const double before = target->m_limit.limit();
  const bool is_news = target->m_limit.UpdateFromTarget(limit, asked_at, now);
  if (target->m_limit.limit() != before) {
    ApplyLimit(target, before, now);
  }
  return is_news;
}

bool TargetPool::LearnLimit(const LimitNotice& notice, TimePoint now) {
  Target* const target = Find(notice.m_target);
  if (target == nullptr) {
    return false;
  }
  const std::string current = RunOf(target->m_config);
  const bool is_other_run = !current.empty() && !notice.m_incarnation.empty() &&
                            current != notice.m_incarnation;
  const double before = target->m_limit.limit();
  if (is_other_run ||
      !target->m_limit.UpdateFromPeer(notice.m_limit, now - notice.m_age)) {
    return false;
  }
  ApplyLimit(target, before, now);
  return true;
}

std::vector<LimitNotice> TargetPool::Limits(TimePoint now) const {
  std::vector<LimitNotice> limits;
  for (const auto& target : m_targets) {
    if (target->m_limit.named_at().has_value() && !target->m_removed) {
      limits.push_back({.m_service = m_config->m_name,
                        .m_target = target->m_config.m_name,
                        .m_incarnation = RunOf(target->m_config),
                        .m_limit = target->m_limit.limit(),
                        .m_age = now - *target->m_limit.named_at()});
    }
  }
  return limits;
}

void TargetPool::ApplyLimit(Target* target, double before, TimePoint now) {
  if (before == 0) {
    // Until now the target got requests from all instances, so that the share
    // has no former holder. After a start the others aren't known yet.
    target->m_request_share.Start(ShareOf(*target, target->m_limit.limit()),
                                  m_started_at);
  }
  UpdateLimitShares(now);
}

void TargetPool::UpdateColdSpell(Target* target,
                                 std::optional<Duration> left,
                                 TimePoint now) {
  if (!LimitsColdTargets()) {
    return;
  }
  const bool was_cold = target->m_cold.IsCold(now);
  target->m_cold.UpdateFromHealth(left, now);
  if (!was_cold && target->m_cold.IsCold(now)) {
    StartColdShare(target, now);
  }
}

void TargetPool::UpdateColdSpellFromEntry(Target* target,
                                          const TargetConfig& before,
                                          bool is_new,
                                          TimePoint now) {
  if (!LimitsColdTargets()) {
    return;
  }
  const bool was_cold = target->m_cold.IsCold(now);
  const bool is_told = before.m_name.empty() ||
                       before.m_warm_up_left != target->m_config.m_warm_up_left;
  if (is_told && target->m_config.m_warm_up_left > Duration::zero()) {
    target->m_cold.Begin(target->m_config.m_warm_up_left, now);
  } else if (is_new) {
    target->m_cold.Assume(m_config->m_slow_start.m_window, now);
  } else if (is_told) {
    target->m_cold.End();
  }
  if (!was_cold && target->m_cold.IsCold(now)) {
    StartColdShare(target, now);
  }
}

void TargetPool::StartColdShare(Target* target, TimePoint now) {
  const double share = ShareOf(*target, m_config->m_slow_start.m_max_rate);
  // While it was warm the target got requests from all instances, so that the
  // share has no former holder.
  target->m_cold_share.Start(share, m_started_at);
  target->m_cold_share.Set(share, now);
  target->m_slow_start_since = now;
  target->m_slow_start_duration = target->m_cold.until() - now;
  m_slow_start_until = TimePoint::max();
}

double TargetPool::ShareOf(const Target& target, double limit) const {
  return m_view == nullptr
             ? limit / std::max(1, m_instances)
             : policy::ShareOfLimit(limit, util::Hash(target.m_config.m_name),
                                    *m_view);
}

void TargetPool::UpdateLimitShares(TimePoint now) {
  m_limited.clear();
  for (const auto& target : m_targets) {
    if (target->m_cold.IsCold(now)) {
      target->m_cold_share.Set(
          ShareOf(*target, m_config->m_slow_start.m_max_rate), now);
    }
    if (target->m_limit.is_active() && !target->m_removed) {
      target->m_request_share.Set(ShareOf(*target, target->m_limit.limit()),
                                  now);
      m_limited.push_back(target.get());
    }
  }
}

bool TargetPool::HasRoom(Target* target, TimePoint now) {
  return !target->m_pause.IsActive(now) &&
         (!target->m_limit.is_active() ||
          target->m_request_share.HasRoom(now)) &&
         (!target->m_cold.IsCold(now) || target->m_cold_share.HasRoom(now));
}

std::optional<TimePoint> TargetPool::RoomAt(int ahead, TimePoint now) {
  std::optional<TimePoint> first;
  for (const auto& target : m_targets) {
    if (IsRetired(*target) || IsEjected(*target, now)) {
      continue;
    }
    const TimePoint pause_end = std::max(now, target->m_pause.until());
    std::optional<TimePoint> room_at =
        target->m_limit.is_active()
            ? target->m_request_share.RoomAt(ahead, pause_end)
            : pause_end;
    if (room_at.has_value() && target->m_cold.IsCold(*room_at)) {
      const TimePoint warm_at = target->m_cold.until();
      room_at = std::min(
          warm_at,
          target->m_cold_share.RoomAt(ahead, *room_at).value_or(warm_at));
    }
    if (room_at.has_value() && *room_at > now) {
      first = std::min(first.value_or(TimePoint::max()), *room_at);
    }
  }
  return first;
}

}  // namespace guavacross::routing
