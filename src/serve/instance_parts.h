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

/// What all kinds of entry instances are made of in the same way.
namespace guavacross::serve {

/// A new process's incarnation. Incarnations must rise from start to start,
/// without anything kept between them: the wall clock does that, unless it is
/// set back by more than the time between two starts of the same name.
std::uint64_t NewIncarnation(const Clock& clock);

/// The names of a service's targets, which peers tell each other of.
std::vector<std::string> TargetNames(const ServiceConfig& service);

/// The options of the network by which the instance `self` meets its peers.
/// `metrics` must outlive the network.
peers::PeerOptions PeerOptionsOf(const Member& self,
                                 const Clock& clock,
                                 util::Metrics* metrics);

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_INSTANCE_PARTS_H_
