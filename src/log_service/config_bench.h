#ifndef GUAVACROSS_LOG_SERVICE_CONFIG_BENCH_H_
#define GUAVACROSS_LOG_SERVICE_CONFIG_BENCH_H_

#include <ostream>
#include <vector>

namespace guavacross::log_service {

/// Measures what the configuration costs an instance, at several sizes, and
/// prints a table: processor time to parse and fold a section, private bytes of
/// the state, the snapshot's size, and the processor time from a start to ready
/// through a snapshot. A log service in memory stands in for the platform's;
/// decoding its HTTP answers is measured apart.
///
/// @param section_counts the sizes; targets are added in the letter's
///     proportion of 28,000 to 5,100 sections.
void RunConfigBench(const std::vector<int>& section_counts, std::ostream& out);

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_CONFIG_BENCH_H_
