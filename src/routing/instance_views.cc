#include "routing/instance_views.h"

#include <algorithm>
#include <utility>

#include "util/hash.h"

namespace guavacross::routing {

namespace {

std::vector<policy::SubsetInstance> Hashed(
    const std::vector<InstancePlace>& instances) {
  std::vector<policy::SubsetInstance> hashed;
  hashed.reserve(instances.size());
  for (const InstancePlace& instance : instances) {
    hashed.push_back(
        {.m_hash = util::Hash(instance.m_name), .m_zone = instance.m_zone});
  }
  std::sort(
      hashed.begin(), hashed.end(),
      [](const policy::SubsetInstance& a, const policy::SubsetInstance& b) {
        return a.m_hash < b.m_hash;
      });
  return hashed;
}

}  // namespace

InstanceViews::InstanceViews(const std::string& self)
    : m_self(util::Hash(self)) {}

void InstanceViews::RecordCount(int live_instances, TimePoint now) {
  {
    const std::lock_guard lock(m_mutex);
    m_counts.Record(live_instances, now);
  }
  Refresh(now);
}

void InstanceViews::Refresh(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_largest_count = m_counts.Largest(now);
}

bool InstanceViews::SetInstances(const std::vector<InstancePlace>& instances,
                                 TimePoint now) {
  policy::InstanceView view{.m_self = m_self, .m_instances = Hashed(instances)};
  const std::lock_guard lock(m_mutex);
  m_seen_counts.Record(static_cast<int>(instances.size()), now);
  view.m_largest_count = m_seen_counts.Largest(now);
  if (m_view != nullptr && *m_view == view) {
    return false;
  }
  m_view = std::make_shared<const policy::InstanceView>(std::move(view));
  return true;
}

std::shared_ptr<const policy::InstanceView> InstanceViews::view() const {
  const std::lock_guard lock(m_mutex);
  return m_view;
}

}  // namespace guavacross::routing
