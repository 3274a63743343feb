#ifndef GUAVACROSS_PEERS_PEER_METRICS_H_
#define GUAVACROSS_PEERS_PEER_METRICS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "guavacross/membership.h"
#include "peers/grpc_transport.h"
#include "util/metrics.h"

namespace guavacross::peers {

/// Metrics of the exchange with other instances.
class PeerMetrics {
 public:
  /// `metrics` may be null; then nothing is recorded.
  explicit PeerMetrics(util::Metrics* metrics);

  void CountRefusal(const std::string& reason);
  void CountRepairedBytes(std::uint64_t bytes);
  void Report(const TransportCounts& counts,
              const std::vector<Member>& members);

 private:
  util::Metrics* m_metrics;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_PEER_METRICS_H_
