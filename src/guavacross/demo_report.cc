#include "guavacross/demo_report.h"

#include <QString>
#include <iomanip>

namespace guavacross::commands {

namespace {

constexpr int kNameWidth = 28;
constexpr int kColumnWidth = 10;

void PrintHeadings(std::initializer_list<const char*> headings,
                   std::ostream& out) {
  out << std::left << std::setw(kNameWidth) << "class" << std::right;
  for (const char* const heading : headings) {
    out << std::setw(kColumnWidth) << heading;
  }
  out << "\n";
}

void PrintReasons(const load::ClassResult& result, std::ostream& out) {
  for (const auto& [reason, count] : result.m_reasons) {
    out << "    " << reason << ": " << count << "\n";
  }
}

}  // namespace

RunCountCheck CheckRunCounts(const ClassResults& results,
                             const QJsonObject& runs) {
  RunCountCheck check;
  for (const auto& [name, result] : results) {
    check.m_wrong += result.m_wrong;
    check.m_requests_with_key += result.m_outcomes.size();
    for (const auto& [identity, outcome] : result.m_outcomes) {
      const int count = runs[QString::fromStdString(identity)].toInt();
      check.m_ran_more_than_once += count > 1 ? 1 : 0;
      check.m_false_not_run += outcome == "not-run" && count > 0 ? 1 : 0;
      check.m_false_done += outcome == "done" && count == 0 ? 1 : 0;
    }
  }
  return check;
}

void PrintResults(const std::string& title,
                  const ClassResults& results,
                  std::ostream& out) {
  out << "\n" << title << "\n";
  PrintHeadings({"sent", "answered", "not run", "unknown", "p50 ms", "p99 ms",
                 "p99.9 ms"},
                out);
  out << std::fixed << std::setprecision(2);
  for (const auto& [name, result] : results) {
    out << std::left << std::setw(kNameWidth) << name << std::right
        << std::setw(kColumnWidth) << result.m_sent << std::setw(kColumnWidth)
        << result.m_answered << std::setw(kColumnWidth) << result.m_not_run
        << std::setw(kColumnWidth) << result.m_unknown
        << std::setw(kColumnWidth) << result.Percentile(50)
        << std::setw(kColumnWidth) << result.Percentile(99)
        << std::setw(kColumnWidth) << result.Percentile(99.9) << "\n";
    PrintReasons(result, out);
  }
}

void PrintAddedLatency(const ClassResults& direct,
                       const ClassResults& proxied,
                       std::ostream& out) {
  out << "\nAdded by guavacross, without faults (ms)\n";
  PrintHeadings(
      {"direct50", "through50", "added50", "direct99", "through99", "added99"},
      out);
  out << std::fixed << std::setprecision(2);
  for (const auto& [name, result] : proxied) {
    const auto found = direct.find(name);
    if (found == direct.end()) {
      continue;
    }
    out << std::left << std::setw(kNameWidth) << name << std::right;
    for (const double percentile : {50.0, 99.0}) {
      const double before = found->second.Percentile(percentile);
      const double after = result.Percentile(percentile);
      out << std::setw(kColumnWidth) << before << std::setw(kColumnWidth)
          << after << std::setw(kColumnWidth) << after - before;
    }
    out << "\n";
  }
}

void PrintProbes(const std::vector<ProbeUsage>& usage, std::ostream& out) {
  out << "\nProbes against budget\n";
  PrintHeadings({"sent", "allowed", "share"}, out);
  out << std::fixed << std::setprecision(2);
  for (const ProbeUsage& entry : usage) {
    out << std::left << std::setw(kNameWidth) << entry.m_service << std::right
        << std::setw(kColumnWidth) << entry.m_sent << std::setw(kColumnWidth)
        << entry.m_allowed << std::setw(kColumnWidth)
        << (entry.m_allowed > 0 ? entry.m_sent / entry.m_allowed : 0) << "\n";
  }
}

void PrintRunCountCheck(const RunCountCheck& check, std::ostream& out) {
  out << "\nCounted at the backend servers: " << check.m_requests_with_key
      << " non-repeatable requests, " << check.m_ran_more_than_once
      << " ran twice, " << check.m_false_not_run << " ran though told not run, "
      << check.m_false_done << " did not run though told done; "
      << check.m_wrong << " wrong answers\n";
}

}  // namespace guavacross::commands
