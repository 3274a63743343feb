#include "policy/request_limit.h"

#include <algorithm>
#include <cmath>

namespace guavacross::policy {

namespace {

// Lowest share of one instance, in requests per second, while several hold a
// limit: an instance with less would seldom have a request at the right time,
// and the first requests of many holders would exceed the limit.
constexpr double kMinShare = 2;

// Changes up to this factor are not worth a message to every instance.
constexpr double kAnnouncedChange = 1.1;

// A request may follow one that came late by a space divided by this earlier.
constexpr int kSavedSpaceDivisor = 2;

// Bounds a space so that it can be added to any time.
constexpr double kMaxSpaceSeconds = 86400;

}  // namespace

double ShareOfLimit(double limit,
                    std::uint64_t target,
                    const InstanceView& view) {
  const bool is_present =
      std::any_of(view.m_instances.begin(), view.m_instances.end(),
                  [&view](const SubsetInstance& each) {
                    return each.m_hash == view.m_self;
                  });
  if (!is_present) {
    return 0;
  }
  const auto count = static_cast<double>(view.m_instances.size());
  const double seen_part =
      count / std::max<double>(count, view.m_largest_count);
  const double shared = limit * seen_part;
  const double holders = std::clamp(std::floor(shared / kMinShare), 1.0, count);
  return IsAssigned(view.m_self, view.m_instances, target,
                    static_cast<std::size_t>(holders))
             ? shared / holders
             : 0;
}

bool NamedLimit::UpdateFromTarget(double limit,
                                  TimePoint asked_at,
                                  TimePoint now) {
  const bool is_known = m_named_at.has_value();
  const bool is_stale = is_known && limit == 0 && asked_at < *m_named_at;
  if (is_stale || (!is_known && limit == 0)) {
    return false;
  }
  m_limit = limit;
  m_named_at = now;
  const bool began_or_ended = (m_announced > 0) != (limit > 0);
  const bool changed = limit > m_announced * kAnnouncedChange ||
                       limit < m_announced / kAnnouncedChange;
  if (began_or_ended || changed) {
    m_announced = limit;
    return true;
  }
  return false;
}

bool NamedLimit::UpdateFromPeer(double limit, TimePoint named_at) {
  if (m_named_at.has_value() && named_at <= *m_named_at) {
    return false;
  }
  const bool changed = limit != m_limit;
  m_limit = limit;
  m_announced = limit;
  m_named_at = named_at;
  return changed;
}

void RequestShare::Start(double share, TimePoint gained_at) {
  *this = {};
  m_wanted = share;
  m_gain = {.m_share = share, .m_usable_at = gained_at + kGrowthDelay};
}

void RequestShare::Set(double share, TimePoint now) {
  Share(now);
  m_wanted = share;
  m_share = std::min(m_share, share);
  if (m_gain.has_value()) {
    m_gain->m_share = std::min(m_gain->m_share, share);
  }
  Share(now);
}

double RequestShare::Share(TimePoint now) {
  if (m_gain.has_value() && now >= m_gain->m_usable_at) {
    m_share = std::max(m_share, m_gain->m_share);
    m_gain.reset();
  }
  if (!m_gain.has_value() && m_wanted > m_share) {
    m_gain = {.m_share = m_wanted, .m_usable_at = now + kGrowthDelay};
  }
  return m_share;
}

bool RequestShare::HasRoom(TimePoint now) {
  const std::optional<TimePoint> at = RoomAt(0, now);
  return at.has_value() && now >= *at;
}

void RequestShare::Take(TimePoint now) {
  if (Share(now) > 0) {
    m_next_at = std::max(m_next_at, now) + Space();
  }
}

std::optional<TimePoint> RequestShare::RoomAt(int ahead, TimePoint now) {
  if (Share(now) <= 0) {
    return std::nullopt;
  }
  const TimePoint next =
      std::max(now, m_next_at - Space() / kSavedSpaceDivisor);
  return ahead == 0 ? next : next + ahead * Space();
}

Duration RequestShare::Space() const {
  return FromSeconds(std::min(1 / m_share, kMaxSpaceSeconds));
}

}  // namespace guavacross::policy
