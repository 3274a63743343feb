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

/// What the stand-ins counted against what callers were told.
struct RunCheck {
  /// Requests with an idempotency key.
  std::uint64_t m_keyed = 0;
  /// Keyed requests that ran more than once.
  std::uint64_t m_doubled = 0;
  /// Keyed requests that ran though the caller was told "not run".
  std::uint64_t m_false_not_run = 0;
  /// Keyed requests that did not run though the caller was told "done".
  std::uint64_t m_false_done = 0;
  /// Answers that were damaged or another request's.
  std::uint64_t m_wrong = 0;

  bool operator==(const RunCheck&) const = default;
  bool Clean() const {
    return m_doubled + m_false_not_run + m_false_done + m_wrong == 0;
  }
};

/// Compares outcomes with the stand-ins' counts of runs by identity.
RunCheck CheckRuns(const ClassResults& results, const QJsonObject& runs);

/// A service's probes, and how many its budget allows in the time.
struct ProbeSpending {
  std::string m_service;
  double m_sent = 0;
  double m_allowed = 0;

  bool operator==(const ProbeSpending&) const = default;
};

/// Prints one row per class: counts, percentiles in milliseconds.
void PrintResults(const std::string& title,
                  const ClassResults& results,
                  std::ostream& out);

/// Prints what the way through guavacross adds to the direct path.
void PrintAddedLatency(const ClassResults& direct,
                       const ClassResults& through,
                       std::ostream& out);

void PrintProbes(const std::vector<ProbeSpending>& spending, std::ostream& out);

void PrintRunCheck(const RunCheck& check, std::ostream& out);

}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_DEMO_REPORT_H_
