#ifndef GUAVACROSS_LEDGER_LEDGER_BENCH_H_
#define GUAVACROSS_LEDGER_LEDGER_BENCH_H_

#include <ostream>
#include <vector>

namespace guavacross::ledger {

/// Measures group commit: claims from six instances that share one in-memory
/// log with a limit of 300 appends per second. Prints a row per offered rate:
/// appends and granted claims per second, claims per append, simulated time
/// from claim to grant, and CPU time per claim over all instances.
///
/// @param claims_per_second the offered rates, over all instances.
/// @param seconds the simulated time at each rate.
void RunGroupCommitBench(const std::vector<int>& claims_per_second,
                         int seconds,
                         std::ostream& out);

/// Measures the private memory per key, in bytes, of `ClaimFold` and of
/// `HeldTable`, at each of the given numbers of keys.
void RunLedgerMemoryBench(const std::vector<int>& key_counts,
                          std::ostream& out);

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_LEDGER_BENCH_H_
