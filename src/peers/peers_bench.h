#ifndef GUAVACROSS_PEERS_PEERS_BENCH_H_
#define GUAVACROSS_PEERS_PEERS_BENCH_H_

#include <ostream>
#include <vector>

namespace guavacross::peers {

/// Measures what the exchange between instances costs each of them: runs that
/// many networks in this process on loopback addresses, with every second of 38
/// targets in use, and prints bytes and messages a second, processor time as a
/// share of a core, private bytes and threads, all per instance.
///
/// Needs a `QCoreApplication`; takes `seconds` of real time per size, and some
/// to start.
void RunPeersBench(const std::vector<int>& instance_counts,
                   int seconds,
                   std::ostream& out);

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_PEERS_BENCH_H_
