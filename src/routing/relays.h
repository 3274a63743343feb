#ifndef GUAVACROSS_ROUTING_RELAYS_H_
#define GUAVACROSS_ROUTING_RELAYS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/routing.h"
#include "policy/path_loss.h"
#include "policy/random.h"
#include "routing/effects.h"

namespace guavacross::routing {

/// The peers to which requests can be passed on, what they say of their paths
/// to the targets, and this instance's path to the targets of all services.
/// Thread safe; calls no hook.
class Relays {
 public:
  Relays(std::string zone, std::uint64_t seed);

  void SetPeers(std::vector<RelayPeer> peers);
  void LearnReach(const std::string& peer,
                  const ReachState& reach,
                  TimePoint now);

  /// Sets the number of targets of a service, and their availability zones.
  void SetTargets(const std::string& service,
                  std::size_t targets,
                  std::set<std::string> zones);

  /// Records events of the paths to targets.
  void Record(const std::vector<policy::PathEvent>& events, TimePoint now);

  /// Whether no target of any service answers, and since when the first one
  /// hasn't.
  std::optional<TimePoint> LostSince(TimePoint now);

  /// Chooses the peer for a request to a service whose targets this instance
  /// has missed since `since`, and counts the request as in flight there. Peers
  /// in `avoid` have refused it.
  std::optional<RelayPeer> Choose(const std::string& service,
                                  TimePoint since,
                                  const std::vector<std::string>& avoid,
                                  TimePoint now);

  /// Whether every peer has said or shown since `since` that it has no path to
  /// the service's targets either.
  bool HasNoPeerAPath(const std::string& service, TimePoint since);

  /// A request that was passed on to a peer has ended.
  void Ended(const Grant& grant, AttemptEnd end, TimePoint now);

  /// Whether a request takes the direct way: always, but for a time after the
  /// path to the targets of all services came back with a rising probability.
  bool TakesDirectWay(TimePoint now);

  /// See `policy::RetryAfter`.
  Duration RetryAfter(Duration excess);

  /// What this instance says of its path. `impaired` are the services of which
  /// it reaches no target or only a few.
  ReachState State(std::vector<std::uint32_t> impaired, TimePoint now);

  /// Whether `LostSince` has changed to or from nothing since the last call.
  std::optional<bool> TakeChange(TimePoint now);

 private:
  struct Peer {
    RelayPeer m_peer;
    int m_in_flight = 0;
    bool m_lost = false;
    std::set<std::uint32_t> m_impaired;
    std::optional<TimePoint> m_told_at;
    std::optional<TimePoint> m_answered_at;
    // Not asked before this time, since it couldn't be connected to.
    TimePoint m_unusable_until = TimePoint::min();
    bool m_listed = false;
  };

  bool UpdateLost(TimePoint now);

  const std::string m_zone;
  std::mutex m_mutex;
  policy::Random m_random;
  policy::PathLoss m_path;
  std::map<std::string, Peer> m_peers;
  // Targets and zones by service.
  std::map<std::string, std::pair<std::size_t, std::set<std::string>>>
      m_targets;
  std::size_t m_all_targets = 0;
  std::map<std::string, int> m_services_of_zone;
  bool m_is_lost = false;
  bool m_reported_lost = false;
  std::optional<TimePoint> m_recovered_at;
};

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_RELAYS_H_
