#ifndef GUAVACROSS_ROUTING_INSTANCE_VIEWS_H_
#define GUAVACROSS_ROUTING_INSTANCE_VIEWS_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "guavacross/routing.h"
#include "policy/probe_budget.h"
#include "policy/target_subset.h"

namespace guavacross::routing {

/// Which instances are live, as this instance sees it: their number, by which
/// budgets are divided, and their places, by which targets and limits are.
/// Thread safe; takes no other lock.
class InstanceViews {
 public:
  /// `self` is this instance's name.
  explicit InstanceViews(const std::string& self);

  /// Records the number of live instances, this one included.
  void RecordCount(int live_instances, TimePoint now);
  /// Updates `largest_count` as time passes.
  void Refresh(TimePoint now);
  /// The largest recent number of live instances as of the last update. Takes
  /// no lock.
  int largest_count() const { return m_largest_count; }

  /// Sets the live instances.
  ///
  /// @return whether the view has changed.
  bool SetInstances(const std::vector<InstancePlace>& instances, TimePoint now);
  /// Null until instances have been set.
  std::shared_ptr<const policy::InstanceView> view() const;

 private:
  const std::uint64_t m_self;
  mutable std::mutex m_mutex;
  std::shared_ptr<const policy::InstanceView> m_view;
  policy::InstanceCountWindow m_counts;
  // Counts of the instances in `m_view`.
  policy::InstanceCountWindow m_seen_counts;
  std::atomic<int> m_largest_count{1};
};

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_INSTANCE_VIEWS_H_
