#ifndef GUAVACROSS_ROUTING_TARGET_H_
#define GUAVACROSS_ROUTING_TARGET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/routing.h"
#include "policy/cold_spell.h"
#include "policy/draining.h"
#include "policy/ejection.h"
#include "policy/latency_window.h"
#include "policy/pause.h"
#include "policy/quarantine.h"
#include "policy/request_limit.h"
#include "policy/target_load.h"
#include "policy/target_subset.h"
#include "policy/waiting.h"

namespace guavacross::routing {

/// State of one request class of a service.
struct ClassState {
  ClassConfig m_config;
  /// Time to the first byte of the answer.
  policy::LatencyWindow m_latency;
  /// Moving average of the time that a request holds its slot; zero if unknown.
  Duration m_slot_time{};
  /// Moving average of the size of the answers' bodies.
  double m_answer_bytes = 0;
  /// The longest wait that callers have asked for recently, which is the wait
  /// of their first attempts.
  policy::RecentMaximum m_longest_asked_wait;
  TimePoint m_last_request = TimePoint::min();
};

/// An attempt in flight on a target.
struct Attempt {
  std::uint64_t m_id = 0;
  ClassState* m_class = nullptr;
  TimePoint m_sent_at;
  /// When the attempt counts as late if the first byte hasn't arrived.
  TimePoint m_slow_at = TimePoint::max();
  /// The target's estimated slowdown when the attempt was sent.
  double m_slowdown = 1;
  bool m_first_byte_seen = false;
  bool m_counted_as_bulk = false;
};

/// State of one backend server as a target of a service. Owned and updated by a
/// `TargetPool`.
struct Target {
  TargetConfig m_config;
  bool m_other_zone = false;
  /// The index of its availability zone in the pool.
  std::size_t m_zone = 0;
  /// How this instance ranks the target among those of the service.
  policy::SubsetTier m_tier = policy::SubsetTier::kOutside;
  /// No longer in the configuration; kept until its attempts have ended.
  bool m_removed = false;
  /// Another backend server answered at its address.
  bool m_replaced = false;
  policy::TargetLoad m_load;
  policy::Ejection m_ejection;
  policy::Draining m_draining;
  policy::Pause m_pause;
  /// When a connection to it last failed before an answer began.
  TimePoint m_connection_failed_at = TimePoint::min();
  policy::NamedLimit m_limit;
  /// Whether an unreadable limit of the target has been logged.
  bool m_unreadable_limit_logged = false;
  /// Of `m_limit`, while that is active.
  policy::RequestShare m_request_share;
  policy::ColdSpell m_cold;
  /// Of the rate that the target takes while it is cold.
  policy::RequestShare m_cold_share;
  policy::ResetHistory m_resets;
  std::vector<Attempt> m_attempts;
  /// When slow start began; `TimePoint::min()` if the target needs none.
  TimePoint m_slow_start_since = TimePoint::min();
  /// Duration of slow start; zero means the service's configured one.
  Duration m_slow_start_duration{};
  std::optional<int> m_reported_in_flight;
  /// When the last probe was sent, and whether its result is outstanding.
  TimePoint m_probed_at = TimePoint::min();
  bool m_probe_in_flight = false;
  /// The last probe got no answer, and no attempt has been answered since.
  bool m_unresponsive = false;
};

/// The incarnation of a target that registers itself, as in notices; empty if
/// unknown.
inline std::string RunOf(const TargetConfig& target) {
  return target.m_incarnation == 0 ? std::string()
                                   : std::to_string(target.m_incarnation);
}

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_TARGET_H_
