#ifndef GUAVACROSS_ROUTING_DUE_TIMES_H_
#define GUAVACROSS_ROUTING_DUE_TIMES_H_

#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <vector>

#include "guavacross/time.h"

namespace guavacross::routing {

/// A timer queue of services, earliest first, so that a periodic check costs
/// nothing for idle services.
///
/// Thread safe. Its lock is taken with no other lock held, and no other lock is
/// taken while it is held.
template <class T>
class DueTimes {
 public:
  void Add(TimePoint due, std::weak_ptr<T> item) {
    const std::lock_guard lock(m_mutex);
    m_entries.push(Entry{.m_due = due, .m_item = std::move(item)});
  }

  /// When the next entry is due, if there is any.
  std::optional<TimePoint> Next() const {
    const std::lock_guard lock(m_mutex);
    if (m_entries.empty()) {
      return std::nullopt;
    }
    return m_entries.top().m_due;
  }

  /// Removes the entries due at `now`, and returns those that still exist.
  std::vector<std::shared_ptr<T>> TakeDue(TimePoint now) {
    std::vector<std::shared_ptr<T>> due;
    const std::lock_guard lock(m_mutex);
    while (!m_entries.empty() && m_entries.top().m_due <= now) {
      if (std::shared_ptr<T> item = m_entries.top().m_item.lock()) {
        due.push_back(std::move(item));
      }
      m_entries.pop();
    }
    return due;
  }

 private:
  struct Entry {
    TimePoint m_due;
    std::weak_ptr<T> m_item;

    // Later entries sort first: std::priority_queue gives the largest.
    bool operator<(const Entry& other) const { return m_due > other.m_due; }
  };

  mutable std::mutex m_mutex;
  std::priority_queue<Entry> m_entries;
};

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_DUE_TIMES_H_
