#ifndef GUAVACROSS_PEERS_PEERS_BENCH_H_
#define GUAVACROSS_PEERS_PEERS_BENCH_H_

#include <ostream>
#include <vector>

namespace guavacross::peers {

/// Benchmarks the exchange between instances: for each count, runs that many
/// networks in this process on loopback addresses, with every second of 38
/// targets in use. Prints, per instance, bytes and messages sent per second,
/// CPU time as a percentage of a core and private memory, and the threads of
/// the whole process.
///
/// Needs a `QCoreApplication`; takes `seconds` of real time per count, and some
/// to start.
void RunPeersBench(const std::vector<int>& instance_counts,
                   int seconds,
                   std::ostream& out);

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_PEERS_BENCH_H_
