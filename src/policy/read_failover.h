#ifndef GUAVACROSS_POLICY_READ_FAILOVER_H_
#define GUAVACROSS_POLICY_READ_FAILOVER_H_

#include <optional>

#include "guavacross/time.h"

namespace guavacross::policy {

/// Which instance reads a stream of the store on behalf of all.
///
/// All instances share the store's capacity for calls, so the number of calls
/// must not grow with the number of instances. The first instance, by rank
/// among the live ones that can reach the store, reads and informs the others.
/// These read only if they learn of no read for too long, one after the other.
/// Thus a reader that crashes, loses its connection or is refused by the store
/// is replaced without an election.
struct ReadFailover {
  /// Number of live instances that can reach the store and rank before this
  /// one.
  int m_rank = 0;
  /// The instance of rank 1 reads if the last known read is older than this.
  Duration m_failover_delay{};
  /// Additional delay for each further rank.
  Duration m_delay_per_rank{};

  bool operator==(const ReadFailover&) const = default;
};

/// When this instance should read next. `read_at` is the time of the last known
/// read by any instance. Pure.
inline TimePoint NextReadTime(const ReadFailover& failover,
                              std::optional<TimePoint> read_at,
                              TimePoint now) {
  if (failover.m_rank == 0 || !read_at.has_value()) {
    return now;
  }
  return *read_at + failover.m_failover_delay +
         (failover.m_rank - 1) * failover.m_delay_per_rank;
}

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_READ_FAILOVER_H_
