#ifndef GUAVACROSS_SERVE_PEER_NEWS_H_
#define GUAVACROSS_SERVE_PEER_NEWS_H_

#include <functional>

#include "guavacross/routing.h"
#include "peers/peer_network.h"

namespace guavacross::serve {

/// Hooks by which a router's news reach the other instances. `post` runs a
/// function on the control thread, where `peers` gives the network.
RouterHooks TellPeers(std::function<void(std::function<void()>)> post,
                      std::function<peers::PeerNetwork*()> peers);

/// Sets the hooks by which a router learns the other instances' news and tells
/// its own state. `router` must outlive them.
void LearnFromPeers(Router* router, peers::PeerHooks* hooks);

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_PEER_NEWS_H_
