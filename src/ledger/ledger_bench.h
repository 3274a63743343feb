#ifndef GUAVACROSS_LEDGER_LEDGER_BENCH_H_
#define GUAVACROSS_LEDGER_LEDGER_BENCH_H_

#include <ostream>
#include <vector>

namespace guavacross::ledger {

/// Measures group commit: claims from six instances that share one log in
/// memory with a limit of 300 appends a second. Prints a row per offered rate:
/// appends and granted claims a second, claims in an append, simulated time
/// from claim to grant, and processor time a claim over all instances.
///
/// @param claims_per_second the offered rates, over all instances together.
/// @param seconds the simulated time at each rate.
void RunGroupCommitBench(const std::vector<int>& claims_per_second,
                         int seconds,
                         std::ostream& out);

/// Measures private bytes a remembered key, for the fold of the log and for the
/// table of held keys, at each of the given numbers of keys.
void RunLedgerMemoryBench(const std::vector<int>& key_counts,
                          std::ostream& out);

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_LEDGER_BENCH_H_
