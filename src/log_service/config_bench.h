#ifndef GUAVACROSS_LOG_SERVICE_CONFIG_BENCH_H_
#define GUAVACROSS_LOG_SERVICE_CONFIG_BENCH_H_

#include <ostream>
#include <vector>

namespace guavacross::log_service {

/// Measures the cost of the configuration on an instance for several numbers of
/// sections and prints a table: CPU time to parse and fold a section, private
/// bytes of the state, snapshot size, and CPU time from start to ready when
/// starting from a snapshot. Uses an in-memory log service; decoding the real
/// service's HTTP responses is measured separately.
///
/// @param section_counts the numbers of sections; targets are added in the
///     ratio of the required deployment size, 28,000 targets to 5,100 sections.
void RunConfigBench(const std::vector<int>& section_counts, std::ostream& out);

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_CONFIG_BENCH_H_
