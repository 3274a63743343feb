#ifndef GUAVACROSS_ROUTING_RELAY_ROUTER_H_
#define GUAVACROSS_ROUTING_RELAY_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/routing.h"
#include "routing/relays.h"
#include "routing/service_router.h"

namespace guavacross::routing {

/// Decides which requests are passed on to peers because this instance has lost
/// the path to their targets, and which are refused because no instance has
/// one. Does nothing unless `RouterOptions::m_relays` is set.
///
/// Thread safe. It takes locks of services; its own are leaves. The hook is
/// called with no lock held.
class RelayRouter {
 public:
  /// `options` must outlive the router.
  RelayRouter(const RouterOptions& options,
              std::function<void(const std::string&, bool)> on_reach);

  void SetPeers(std::vector<RelayPeer> peers) {
    m_relays.SetPeers(std::move(peers));
  }
  void LearnReach(const std::string& peer,
                  const ReachState& reach,
                  TimePoint now) {
    m_relays.LearnReach(peer, reach, now);
  }
  void SetTargets(const ServiceConfig& config);
  void RemoveService(const std::string& service);

  /// Records events of the paths to a service's targets, and calls the hook if
  /// a path has been lost or is back.
  void Record(const std::shared_ptr<ServiceRouter>& service,
              const std::vector<policy::PathEvent>& events,
              TimePoint now);

  /// Decides about a new request: a grant for a peer, or a refusal. Nothing if
  /// it is to be queued here.
  std::optional<util::Expected<Grant>> Decide(
      const std::shared_ptr<ServiceRouter>& service,
      const RequestTraits& traits,
      std::uint64_t ticket,
      const std::vector<std::string>& avoid,
      TimePoint now,
      Effects* effects);

  /// Passes waiting requests on to peers, or refuses them if no instance has a
  /// path.
  void DivertWaiting(const std::shared_ptr<ServiceRouter>& service,
                     TimePoint now,
                     Effects* effects);

  /// The attempt of a grant for a peer has ended.
  void Ended(const Grant& grant, AttemptEnd end, TimePoint now) {
    m_relays.Ended(grant, end, now);
  }

  /// What this instance says of its paths.
  ReachState State(TimePoint now);

 private:
  std::optional<Grant> GrantPeer(const std::string& service,
                                 std::uint64_t ticket,
                                 TimePoint since,
                                 const std::vector<std::string>& avoid,
                                 TimePoint now);
  util::Expected<Grant> RefuseWithoutPath();
  std::optional<util::Expected<Grant>> DecideAfterRecovery(
      const RequestTraits& traits,
      std::uint64_t ticket,
      const std::vector<std::string>& avoid,
      TimePoint now);
  // Calls the hook if a path has been lost or is back.
  void ReportChanges(const std::shared_ptr<ServiceRouter>& service,
                     TimePoint now);
  // How requests are decided about while targets don't answer.
  struct Loss {
    TimePoint m_since;
    // The peers have had time to say that they have no path either: a request
    // may be sent as a trial.
    bool m_try_directly = false;
    // Refuse what no peer can send.
    bool m_refuse = false;
  };
  // Returns false if the request is to go on waiting.
  bool DecideWaiting(const std::shared_ptr<ServiceRouter>& service,
                     const ServiceRouter::WaitingRequest& waiting,
                     const Loss& loss,
                     TimePoint now,
                     Effects* effects);
  void AddImpaired(const std::shared_ptr<ServiceRouter>& service);
  // Hashes of the services whose path is lost or impaired.
  std::vector<std::uint32_t> ImpairedServices(TimePoint now);

  const RouterOptions& m_options;
  const std::function<void(const std::string&, bool)> m_on_reach;
  Relays m_relays;
  std::mutex m_mutex;
  // Services whose path has been lost or impaired and may still be.
  std::map<std::string, std::weak_ptr<ServiceRouter>> m_maybe_impaired;
};

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_RELAY_ROUTER_H_
