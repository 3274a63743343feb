#ifndef GUAVACROSS_ROUTING_TARGET_H_
#define GUAVACROSS_ROUTING_TARGET_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "guavacross/routing.h"
#include "policy/draining.h"
#include "policy/ejection.h"
#include "policy/latency_window.h"
#include "policy/quarantine.h"
#include "policy/target_load.h"
#include "policy/waiting.h"

namespace guavacross::routing {

/// What is known of one class of a service's requests.
struct ClassState {
  ClassConfig m_config;
  /// Time to the first byte of the answer.
  policy::LatencyWindow m_latency;
  /// Average time for which a request holds its slot; zero if not known.
  Duration m_slot_time{};
  /// How long callers say on their first attempts that they will wait.
  policy::RecentMaximum m_longest_asked;
  TimePoint m_last_request = TimePoint::min();
};

/// An attempt in flight on a target.
struct Attempt {
  std::uint64_t m_id = 0;
  ClassState* m_class = nullptr;
  TimePoint m_sent_at;
  /// When the wait for the first byte becomes unusually long.
  TimePoint m_slow_at = TimePoint::max();
  /// The target's slowdown as it was known then.
  double m_slowdown = 1;
  bool m_first_byte_seen = false;
  bool m_counted_as_bulk = false;
};

/// One backend server as a service sees it: the policy's parts for one target.
/// A plain record of the pool that owns it.
struct Target {
  TargetConfig m_config;
  bool m_other_zone = false;
  /// Taken from the configuration; kept until its attempts have ended.
  bool m_removed = false;
  /// Another backend server answers at its address.
  bool m_replaced = false;
  policy::TargetLoad m_load;
  policy::Ejection m_ejection;
  policy::Draining m_draining;
  policy::ResetHistory m_resets;
  std::vector<Attempt> m_attempts;
  /// When slow start began; `TimePoint::min()` for a warm target.
  TimePoint m_cold_since = TimePoint::min();
  /// How long slow start lasts; zero for the service's usual time.
  Duration m_cold_for{};
  std::optional<int> m_reported_in_flight;
  /// When the last probe was sent, and whether it is still on its way.
  TimePoint m_probed_at = TimePoint::min();
  bool m_probe_in_flight = false;
  /// The last probe got no answer, and no attempt has had one since.
  bool m_silent = false;
};

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_TARGET_H_
