#ifndef GUAVACROSS_POLICY_READ_FAILOVER_H_
#define GUAVACROSS_POLICY_READ_FAILOVER_H_

#include <bit>
#include <optional>

#include "guavacross/time.h"

namespace guavacross::policy {

/// Which instance reads a stream of the store on behalf of all.
///
/// All instances share the store's capacity for calls, so the number of calls
/// must not grow with the number of instances. The first instance, by rank
/// among the live ones that can reach the store, reads and informs the others.
/// These read only if they learn of no read for too long, the first few one
/// after the other, the later ones in groups that double in size. Thus a reader
/// that crashes, loses its connection or is refused by the store is replaced
/// without an election, and the time until an instance reads hardly grows with
/// the number of instances before it: when an availability zone loses power,
/// its instances count as live for several seconds.
struct ReadFailover {
  /// Number of live instances that can reach the store and rank before this
  /// one.
  int m_rank = 0;
  /// The instance of rank 1 reads if the last known read is older than this.
  Duration m_failover_delay{};
  /// Additional delay for each further rank up to `kLastSingleRank`. Each group
  /// after that is delayed by half of it.
  Duration m_delay_per_rank{};

  static constexpr int kLastSingleRank = 4;

  bool operator==(const ReadFailover&) const = default;
};

/// How much later an instance of rank 1 or higher reads than that of rank 1, in
/// halves of the delay per rank. Pure.
inline int FailoverHalfSteps(int rank) {
  static constexpr int kSingle = ReadFailover::kLastSingleRank;
  if (rank <= kSingle) {
    return 2 * (rank - 1);
  }
  const auto group =
      std::bit_width(static_cast<unsigned>((rank - 1) / kSingle));
  return 2 * (kSingle - 1) + static_cast<int>(group);
}

/// When this instance should read next. `read_at` is the time of the last known
/// read by any instance. Pure.
inline TimePoint NextReadTime(const ReadFailover& failover,
                              std::optional<TimePoint> read_at,
                              TimePoint now) {
  if (failover.m_rank == 0 || !read_at.has_value()) {
    return now;
  }
  return *read_at + failover.m_failover_delay +
         FailoverHalfSteps(failover.m_rank) * failover.m_delay_per_rank / 2;
}

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_READ_FAILOVER_H_
