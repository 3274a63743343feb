#ifndef GUAVACROSS_SERVE_MEMBER_VIEWS_H_
#define GUAVACROSS_SERVE_MEMBER_VIEWS_H_

#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/membership.h"

/// What an instance on the platform makes of the members that it knows. All
/// functions are pure.
namespace guavacross::serve {

/// Addresses to ask for other instances, as listed members; `self` is left out.
///
/// Each is listed under its address: the instance there is known as a member
/// once it answers under its own name.
std::vector<ListedInstance> AddressesToAsk(
    const std::vector<Endpoint>& addresses,
    const Endpoint& self);

/// Names of the live ones among `members`.
std::vector<std::string> LiveNames(const std::vector<Member>& members);

/// Where live instances are found by others, `self` included; sorted by their
/// names.
std::vector<Endpoint> LivePeerAddresses(const std::vector<Member>& members,
                                        const Member& self);

/// The addresses that a caller in a zone of a region is told of: of instances
/// that have a configuration and aren't leaving. `self_ready` tells whether
/// `self` is one of them.
std::vector<Endpoint> AddressesFor(std::vector<Member> members,
                                   const Member& self,
                                   bool self_ready,
                                   const std::string& region,
                                   const std::string& zone);

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_MEMBER_VIEWS_H_
