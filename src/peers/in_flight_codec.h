#ifndef GUAVACROSS_PEERS_IN_FLIGHT_CODEC_H_
#define GUAVACROSS_PEERS_IN_FLIGHT_CODEC_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "peers.pb.h"
#include "peers/peer_network.h"

namespace guavacross::peers {

/// One peer's in-flight attempts by service and target.
using CountsByService =
    std::map<std::string, std::vector<std::pair<std::string, int>>>;

/// Writes the greatest counts to a heartbeat, with targets as 32-bit hashes.
void WriteInFlight(const InFlightCounts& counts, proto::Heartbeat* out);

/// Resolves the target hashes in heartbeats to names.
class TargetNames {
 public:
  /// Sets the names of a service's targets; an empty list removes the service.
  void Set(const std::string& service, const std::vector<std::string>& targets);

  /// Reads the counts in a heartbeat, except those of unknown targets.
  CountsByService Read(const proto::Heartbeat& heartbeat) const;

 private:
  struct Name {
    std::string m_service;
    std::string m_target;
  };
  std::map<std::string, std::vector<std::uint32_t>> m_hashes;
  std::unordered_map<std::uint32_t, Name> m_names;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_IN_FLIGHT_CODEC_H_
