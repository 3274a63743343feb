#ifndef GUAVACROSS_SERVE_INSTANCE_PARTS_H_
#define GUAVACROSS_SERVE_INSTANCE_PARTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "guavacross/document.h"
#include "guavacross/membership.h"
#include "guavacross/time.h"
#include "peers/peer_network.h"
#include "util/metrics.h"

/// Helpers shared by all kinds of entry instances.
namespace guavacross::serve {

/// The incarnation of a new process, taken from the wall clock. Incarnations
/// must increase with each start although no state is kept between starts. This
/// holds unless the clock is set back by more than the time between two starts
/// under the same name.
std::uint64_t NewIncarnation(const Clock& clock);

/// The names of a service's targets, as exchanged between peers.
std::vector<std::string> TargetNames(const ServiceConfig& service);

/// Options of the network that connects the instance `self` to its peers.
/// `metrics` must outlive the network.
peers::PeerOptions MakePeerOptions(const Member& self,
                                   const Clock& clock,
                                   util::Metrics* metrics);

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_INSTANCE_PARTS_H_
