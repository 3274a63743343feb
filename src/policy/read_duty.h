#ifndef GUAVACROSS_POLICY_READ_DUTY_H_
#define GUAVACROSS_POLICY_READ_DUTY_H_

#include <optional>

#include "guavacross/time.h"

namespace guavacross::policy {

/// Which instance reads a stream of the store for all.
///
/// Calls of the store are shared by all instances, so that their number must
/// not grow with the instances. The first one, by rank among the live ones that
/// reach the store, reads; the others are told and read only if they hear of no
/// read for too long, one after the other. So a reader that is killed, cut off
/// or turned away is replaced without an election.
struct ReadDuty {
  /// Live instances that reach the store and come before this one.
  int m_rank = 0;
  /// A read that is older than this is missed by the next instance.
  Duration m_missed_after{};
  /// How much later each further instance steps in.
  Duration m_step{};

  bool operator==(const ReadDuty&) const = default;
};

/// When this instance should read. `read_at` is when any instance has last
/// read, as far as is known. Pure.
inline TimePoint NextRead(const ReadDuty& duty,
                          std::optional<TimePoint> read_at,
                          TimePoint now) {
  if (duty.m_rank == 0 || !read_at.has_value()) {
    return now;
  }
  return *read_at + duty.m_missed_after + (duty.m_rank - 1) * duty.m_step;
}

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_READ_DUTY_H_
