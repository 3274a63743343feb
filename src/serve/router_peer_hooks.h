#ifndef GUAVACROSS_SERVE_ROUTER_PEER_HOOKS_H_
#define GUAVACROSS_SERVE_ROUTER_PEER_HOOKS_H_

#include <functional>

#include "guavacross/routing.h"
#include "peers/peer_network.h"

namespace guavacross::serve {

/// Router hooks that send the router's drain, quarantine and suspect notices to
/// the other instances. `post` runs a function on the control thread, where
/// `peers` returns the peer network.
RouterHooks MakeBroadcastHooks(std::function<void(std::function<void()>)> post,
                               std::function<peers::PeerNetwork*()> peers);

/// Sets the hooks that pass notices and in-flight counts of other instances to
/// `router` and read its drains and quarantines. `router` must outlive `hooks`.
void SetRouterPeerHooks(Router* router, peers::PeerHooks* hooks);

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_ROUTER_PEER_HOOKS_H_
