#ifndef GUAVACROSS_ROUTING_EFFECTS_H_
#define GUAVACROSS_ROUTING_EFFECTS_H_

#include <optional>
#include <vector>

#include "guavacross/routing.h"
#include "policy/path_loss.h"
#include "util/handle.h"

namespace guavacross::routing {

/// A decision to be given to the callback of an `Acquire` call.
struct GrantDecision {
  GrantCallback m_on_grant;
  util::Expected<Grant> m_decision;
};

/// Callbacks, hook calls and wake-ups that result from a decision made under a
/// service's lock. They are carried out after the lock has been released.
struct Effects {
  std::vector<GrantDecision> m_decisions;
  std::vector<DrainNotice> m_drains;
  std::vector<LimitNotice> m_limits;
  std::vector<SuspectNotice> m_suspects;
  std::vector<ProbeOrder> m_probes;
  std::vector<policy::PathEvent> m_path_events;
  /// When `ExpireWaiters` must next visit the service.
  std::optional<TimePoint> m_expire_at;
  /// When `TakeDueProbes` must next visit the service.
  std::optional<TimePoint> m_probe_at;
};

/// Makes a refusal with the given error.
util::Expected<Grant> Refuse(ErrorKind kind, std::string text);

/// Calls the callbacks of `decisions`.
void RunCallbacks(std::vector<GrantDecision> decisions);

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_EFFECTS_H_
