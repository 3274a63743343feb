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

/// Counts of one peer's attempts in flight, by service and target.
using CountsByService =
    std::map<std::string, std::vector<std::pair<std::string, int>>>;

/// Writes the greatest counts, hashed to 32 bits per target, into a heartbeat.
void WriteInFlight(const InFlightCounts& counts, proto::Heartbeat* out);

/// Finds targets by the hashes that heartbeats carry.
class TargetNames {
 public:
  /// Names a service's targets; none removes the service.
  void Set(const std::string& service, const std::vector<std::string>& targets);

  /// The counts in a heartbeat, without targets that aren't known here.
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
