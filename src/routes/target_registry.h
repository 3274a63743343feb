#ifndef GUAVACROSS_ROUTES_TARGET_REGISTRY_H_
#define GUAVACROSS_ROUTES_TARGET_REGISTRY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/route_table.h"
#include "guavacross/time.h"

namespace guavacross::routes {

/// The self-registered targets, as far as this instance knows.
///
/// Entries come from a store that may lose data, lag or be unavailable. A run
/// of a target that is draining or has been replaced never becomes active
/// again, and an older heartbeat is ignored. While the store is unavailable the
/// last known targets stay in use. Their entries may lapse meanwhile although
/// the targets are alive, so an entry that is missing after the outage is kept
/// for as long as live targets take to register again. What the store removes
/// later has left. No I/O; not thread safe.
class TargetRegistry {
 public:
  /// How long after an outage of the store a lapsed entry may still be
  /// registered again: live targets take about two seconds.
  static constexpr Duration kReregistrationTime =
      std::chrono::milliseconds(2200);

  /// The effect of an update on an entry.
  enum class Change {
    kNone,
    /// Only the heartbeat is newer.
    kHeartbeat,
    kAdded,
    /// A later run has registered under the same id.
    kReplaced,
    kDraining,
    kUpdated,
    kRemoved,
    /// Missing from the store, but kept until it is clear whether the target is
    /// alive.
    kLapsed,
  };

  /// Adds or updates a target's entry; an outdated one is ignored.
  Change Put(const RegisteredTarget& entry);

  /// Processes the removal of the entry of `id` from the store.
  Change Remove(const std::string& id, TimePoint now);

  /// Sets when the store was last back from an outage, or from an older copy;
  /// nothing if neither is known, also if an outage that was suspected turns
  /// out not to have been one.
  void SetOutageEnd(std::optional<TimePoint> ended_at);

  /// Removes the lapsed targets whose grace period is over, and returns them.
  std::vector<RegisteredTarget> Expire(TimePoint now);

  /// When `Expire` next has something to do.
  std::optional<TimePoint> NextExpiry() const;

  /// The entry of `id` that is in use; nothing if there is none.
  std::optional<RegisteredTarget> Find(const std::string& id) const;

  /// The targets in use, draining ones included, by id.
  std::vector<RegisteredTarget> Targets() const;

 private:
  struct Entry {
    RegisteredTarget m_target;
    /// When a lapsed entry is removed; nothing for one that is present.
    std::optional<TimePoint> m_lapses_at;
  };

  bool IsOutdated(const RegisteredTarget& entry) const;

  std::map<std::string, Entry> m_entries;
  // The last entry of each removed id: an older entry that is written late must
  // not restore it.
  std::map<std::string, RegisteredTarget> m_removed;
  // Until then a missing entry may have lapsed during an outage of the store.
  TimePoint m_reregistration_until;
};

/// The change's name in logs.
std::string_view RegistryChangeName(TargetRegistry::Change change);

}  // namespace guavacross::routes

#endif  // GUAVACROSS_ROUTES_TARGET_REGISTRY_H_
