#ifndef GUAVACROSS_ROUTES_TARGET_REGISTRY_H_
#define GUAVACROSS_ROUTES_TARGET_REGISTRY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/route_table.h"
#include "guavacross/time.h"

namespace guavacross::routes {

/// The targets that have registered themselves, as far as this instance knows.
///
/// Entries come from a store that may forget, lag and be away. A run of a
/// target that drains never comes back to life, a run that has been replaced
/// doesn't either, and an older heartbeat changes nothing. While the store is
/// away the targets last known stay in use. Entries lapse meanwhile though
/// their targets live, so that an entry that is missing on the store's return
/// is kept for as long as living targets take to register again. No I/O; not
/// thread safe.
class TargetRegistry {
 public:
  /// How long after the store's return a lapsed entry may still come back:
  /// living targets take about two seconds.
  static constexpr Duration kReturnTime = std::chrono::milliseconds(2200);

  /// What became of an entry.
  enum class Change {
    kNone,
    /// Only the heartbeat is newer.
    kHeartbeat,
    kAdded,
    /// Another run under the same id.
    kReplaced,
    kDraining,
    kUpdated,
    kRemoved,
    /// Missing, but kept until it is clear whether the target lives.
    kLapsed,
  };

  /// Takes a target's newest entry.
  Change Put(const RegisteredTarget& entry);

  /// The entry of `id` has been removed.
  Change Remove(const std::string& id, TimePoint now);

  /// The store has been lost, or has answered again.
  void SetStoreReachable(bool reachable, TimePoint now);

  /// Removes lapsed targets whose time is over, and returns their ids.
  std::vector<std::string> Expire(TimePoint now);

  /// When `Expire` next has something to do.
  std::optional<TimePoint> NextExpiry() const;

  /// The targets in use, draining ones included, by id.
  std::vector<RegisteredTarget> Targets() const;

 private:
  struct Entry {
    RegisteredTarget m_target;
    /// When a lapsed entry is given up; nothing for one that is present.
    std::optional<TimePoint> m_lapses_at;
  };

  bool IsOutdated(const RegisteredTarget& entry) const;

  std::map<std::string, Entry> m_entries;
  // The last entry of each id that has been removed: an older entry that is
  // written late must not bring it back.
  std::map<std::string, RegisteredTarget> m_removed;
  bool m_reachable = true;
  // Until then a missing entry may have lapsed with the store away.
  TimePoint m_returning_until = TimePoint::min();
};

/// The change's name in logs.
std::string_view RegistryChangeName(TargetRegistry::Change change);

}  // namespace guavacross::routes

#endif  // GUAVACROSS_ROUTES_TARGET_REGISTRY_H_
