#ifndef GUAVACROSS_GUAVACROSS_DEMO_REPORT_H_
#define GUAVACROSS_GUAVACROSS_DEMO_REPORT_H_

#include <QJsonObject>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "guavacross/document.h"
#include "load/load_generator.h"

namespace guavacross::commands {

using ClassResults = std::map<std::string, load::ClassResult>;

/// Result of comparing the executions that the stand-ins counted with the
/// outcomes that were reported to callers.
struct RunCountCheck {
  /// Requests with an idempotency key.
  std::uint64_t m_requests_with_key = 0;
  /// Keyed requests that ran more than once.
  std::uint64_t m_ran_more_than_once = 0;
  /// Keyed requests that ran although "not-run" was reported.
  std::uint64_t m_false_not_run = 0;
  /// Keyed requests that did not run although "done" was reported.
  std::uint64_t m_false_done = 0;
  /// Answers that were corrupted or belonged to another request.
  std::uint64_t m_wrong = 0;

  bool operator==(const RunCountCheck&) const = default;
  bool Passed() const {
    return m_ran_more_than_once + m_false_not_run + m_false_done + m_wrong == 0;
  }
};

/// Compares the reported outcomes with `runs`, the stand-ins' number of
/// executions by request identity.
RunCountCheck CheckRunCounts(const ClassResults& results,
                             const QJsonObject& runs);

/// The number of probes sent for a service, and the number that its budget
/// allowed in the same time.
struct ProbeUsage {
  std::string m_service;
  double m_sent = 0;
  double m_allowed = 0;

  bool operator==(const ProbeUsage&) const = default;
};

/// Prints one row per class: request counts, and latency percentiles in
/// milliseconds.
void PrintResults(const std::string& title,
                  const ClassResults& results,
                  std::ostream& out);

/// Prints, per class, the median and 99th percentile of the latency on the
/// direct path and through guavacross, and their difference, in milliseconds.
void PrintAddedLatency(const ClassResults& direct,
                       const ClassResults& proxied,
                       std::ostream& out);

/// Prints one row per service: probes sent, probes allowed, and their ratio.
void PrintProbes(const std::vector<ProbeUsage>& usage, std::ostream& out);

/// Prints the counts of `check` in one line.
void PrintRunCountCheck(const RunCountCheck& check, std::ostream& out);

}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_DEMO_REPORT_H_
