#ifndef GUAVACROSS_FEED_TESTING_DRAWN_FAULTS_H_
#define GUAVACROSS_FEED_TESTING_DRAWN_FAULTS_H_

#include <cstddef>
#include <functional>
#include <map>

#include "feed/testing/instance_group.h"
#include "guavacross/time.h"
#include "policy/random.h"

namespace guavacross::feed::testing {

/// Draws faults of a group's instances and of its store, which overlap.
class DrawnFaults {
 public:
  /// `on_restored` is called when the store has come back from a copy.
  DrawnFaults(InstanceGroup* group,
              policy::Random* random,
              std::function<void()> on_restored)
      : m_group(group),
        m_random(random),
        m_on_restored(std::move(on_restored)) {}

  Duration Draw(int min_ms, int max_ms) {
    return std::chrono::milliseconds(
        min_ms + static_cast<int>(m_random->Below(
                     static_cast<std::size_t>(max_ms - min_ms))));
  }

  /// Begins one fault. Those that last end by `EndDue`.
  void Inject();
  void EndDue();
  void EndAfter(Duration delay, std::function<void()> end) {
    m_ends.emplace(m_group->now() + delay, std::move(end));
  }

  void StopFor(std::size_t index, Duration duration);
  void CutFor(bool InstanceGroup::Instance::*cut,
              std::size_t index,
              Duration duration);

 private:
  // The store is away for a moment, and comes back from a copy.
  void RestoreStore();

  InstanceGroup* m_group;
  policy::Random* m_random;
  std::function<void()> m_on_restored;
  std::multimap<TimePoint, std::function<void()>> m_ends;
};

}  // namespace guavacross::feed::testing

#endif  // GUAVACROSS_FEED_TESTING_DRAWN_FAULTS_H_
