#ifndef GUAVACROSS_ROUTING_EFFECTS_H_
#define GUAVACROSS_ROUTING_EFFECTS_H_

#include <optional>
#include <vector>

#include "guavacross/routing.h"
#include "util/handle.h"

namespace guavacross::routing {

/// A waiting caller's answer.
struct GrantDecision {
  GrantCallback m_on_grant;
  util::Expected<Grant> m_decision;
};

/// What a decision made under a service's lock has to cause once the lock is
/// free: callbacks, hooks and later wake-ups.
struct Effects {
  std::vector<GrantDecision> m_decisions;
  std::vector<DrainNotice> m_drains;
  std::vector<SuspectNotice> m_suspects;
  std::vector<ProbeOrder> m_probes;
  /// When `ExpireWaiters` has to look at the service next.
  std::optional<TimePoint> m_expire_at;
  /// When `TakeDueProbes` has to look at the service next.
  std::optional<TimePoint> m_probe_at;
};

/// Makes a refusal.
util::Expected<Grant> Refuse(ErrorKind kind, std::string text);

/// Calls the callbacks of `decisions`.
void Deliver(std::vector<GrantDecision> decisions);

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_EFFECTS_H_
