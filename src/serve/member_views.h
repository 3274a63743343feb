#ifndef GUAVACROSS_SERVE_MEMBER_VIEWS_H_
#define GUAVACROSS_SERVE_MEMBER_VIEWS_H_

#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/membership.h"
#include "guavacross/routing.h"

/// Lists of names and addresses that a route instance derives from its members.
/// All functions are pure.
namespace guavacross::serve {

/// Converts peer addresses to listed instances; `self` is left out.
///
/// Each one uses its address as its name, until the instance at that address
/// answers under its own name and becomes a member.
std::vector<ListedInstance> ToListedInstances(
    const std::vector<Endpoint>& addresses,
    const Endpoint& self);

/// Names of the live members.
std::vector<std::string> LiveNames(const std::vector<Member>& members);

/// Names of the members that are live or suspect, in the order of `members`.
/// Seeds that haven't answered are left out.
std::vector<std::string> PossibleNames(const std::vector<Member>& members);

/// Peer addresses of the live instances including `self`, sorted by instance
/// name.
std::vector<Endpoint> LivePeerAddresses(const std::vector<Member>& members,
                                        const Member& self);

/// Names and availability zones of `self` and of the members that aren't dead
/// or leaving.
std::vector<InstancePlace> LivePlaces(const std::vector<Member>& members,
                                      const Member& self);

/// The live members that accept requests of other instances.
std::vector<RelayPeer> RelayPeers(const std::vector<Member>& members);

/// Addresses to give to a caller in the given region and zone: those of
/// instances that have a configuration and aren't leaving. `self_ready` says
/// whether `self` is one of them.
std::vector<Endpoint> CallerAddresses(std::vector<Member> members,
                                      const Member& self,
                                      bool self_ready,
                                      const std::string& region,
                                      const std::string& zone);

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_MEMBER_VIEWS_H_
