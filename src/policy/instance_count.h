#ifndef GUAVACROSS_POLICY_INSTANCE_COUNT_H_
#define GUAVACROSS_POLICY_INSTANCE_COUNT_H_

#include <algorithm>
#include <cstddef>

#include "guavacross/time.h"

namespace guavacross::policy {

/// The largest number of instances that were live at once lately: those that
/// are missing may run on the other side of a cut. Not thread safe.
class InstanceCount {
 public:
  /// How long a larger number is remembered.
  static constexpr Duration kRetention = std::chrono::seconds(20);

  /// Records that `live` instances are live from now on.
  void Record(std::size_t live, TimePoint now) {
    if (live < m_live && m_live >= Largest(now)) {
      m_largest = m_live;
      m_largest_until = now;
    }
    m_live = live;
  }

  std::size_t Largest(TimePoint now) const {
    return m_largest_until == TimePoint::min() ||
                   now - m_largest_until > kRetention
               ? m_live
               : std::max(m_live, m_largest);
  }

 private:
  std::size_t m_live = 0;
  std::size_t m_largest = 0;
  TimePoint m_largest_until = TimePoint::min();
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_INSTANCE_COUNT_H_
