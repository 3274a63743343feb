#ifndef GUAVACROSS_ROUTING_DUE_TIMES_H_
#define GUAVACROSS_ROUTING_DUE_TIMES_H_

#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <vector>

#include "guavacross/time.h"

namespace guavacross::routing {

/// The services that have something to do at a later time, soonest first, so
/// that a tick costs nothing for services that are idle.
///
/// Thread safe. Its lock is a leaf: it is taken with no other lock held.
template <class T>
class DueTimes {
 public:
  void Add(TimePoint due, std::weak_ptr<T> item) {
    const std::lock_guard lock(m_mutex);
    m_entries.push(Entry{.m_due = due, .m_item = std::move(item)});
  }

  /// When the next one is due, if there is any.
  std::optional<TimePoint> Next() const {
    const std::lock_guard lock(m_mutex);
    if (m_entries.empty()) {
      return std::nullopt;
    }
    return m_entries.top().m_due;
  }

  /// Removes and returns what is due at `now`.
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
