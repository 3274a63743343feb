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
struct RunCheck {
  /// Requests with an idempotency key.
  std::uint64_t m_keyed = 0;
  /// Keyed requests that ran more than once.
  std::uint64_t m_doubled = 0;
  /// Keyed requests that ran although "not-run" was reported.
  std::uint64_t m_false_not_run = 0;
  /// Keyed requests that did not run although "done" was reported.
  std::uint64_t m_false_done = 0;
  /// Answers that were corrupted or belonged to another request.
  std::uint64_t m_wrong = 0;

  bool operator==(const RunCheck&) const = default;
  bool Clean() const {
    return m_doubled + m_false_not_run + m_false_done + m_wrong == 0;
  }
};

/// Compares the reported outcomes with `runs`, the stand-ins' number of
/// executions by request identity.
RunCheck CheckRuns(const ClassResults& results, const QJsonObject& runs);

/// The number of probes sent for a service, and the number that its budget
/// allowed in the same time.
struct ProbeSpending {
  std::string m_service;
  double m_sent = 0;
  double m_allowed = 0;

  bool operator==(const ProbeSpending&) const = default;
};

/// Prints one row per class: request counts, and latency percentiles in
/// milliseconds.
void PrintResults(const std::string& title,
                  const ClassResults& results,
                  std::ostream& out);

/// Prints, per class, the median and 99th percentile of the latency on the
/// direct path and through guavacross, and their difference, in milliseconds.
void PrintAddedLatency(const ClassResults& direct,
                       const ClassResults& through,
                       std::ostream& out);

/// Prints one row per service: probes sent, probes allowed, and their ratio.
void PrintProbes(const std::vector<ProbeSpending>& spending, std::ostream& out);

/// Prints the counts of `check` in one line.
void PrintRunCheck(const RunCheck& check, std::ostream& out);

}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_DEMO_REPORT_H_
