#include "operators/status_page.h"

#include <algorithm>
#include <cstdio>
#include <initializer_list>

namespace guavacross::operators {

namespace {

constexpr char kStyleSheet[] =
    "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;"
    "max-width:72em;padding:0 1em;color:#1c2321}"
    "h1{font-size:1.5em;margin-bottom:.2em}"
    "h2{font-size:1.15em;margin:1.8em 0 .4em}h3{font-size:1em;margin:1em 0 "
    ".3em}"
    "table{border-collapse:collapse;width:100%}"
    "th,td{text-align:left;padding:.25em .7em;border-bottom:1px solid #dde3e0}"
    "th{font-weight:600;color:#51605a;white-space:nowrap}"
    "td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}"
    ".good{color:#1d7a46}.bad{color:#b3261e;font-weight:600}"
    ".note{color:#51605a}nav a{margin-right:1em}";

constexpr double kMinuteSeconds = 60;
constexpr double kHourSeconds = 3600;

// A table cell. Numbers are right-aligned; `m_class` is the CSS class.
struct Cell {
  std::string m_text;
  bool m_number = false;
  const char* m_class = "";
};

Cell NumberCell(std::uint64_t number) {
  return {.m_text = std::to_string(number), .m_number = true};
}

// A cell that shows `if_good` or `if_bad`, in the colour for that state.
Cell StateCell(bool good, const char* if_good, const char* if_bad) {
  return {.m_text = good ? if_good : if_bad, .m_class = good ? "good" : "bad"};
}

std::string Format(const char* format, double number) {
  char text[64];
  std::snprintf(text, sizeof(text), format, number);
  return text;
}

std::string AgeText(Duration age) {
  const double seconds = Seconds(age);
  if (seconds < 2 * kMinuteSeconds) {
    return Format("%.0f s", seconds);
  }
  if (seconds < 2 * kHourSeconds) {
    return Format("%.0f min", seconds / kMinuteSeconds);
  }
  return Format("%.1f h", seconds / kHourSeconds);
}

std::string MillisecondsText(double seconds) {
  return Format("%.1f ms", seconds * 1000);
}

class Table {
 public:
  Table(std::string* page, std::initializer_list<const char*> headings)
      : m_page(page) {
    *m_page += "<table><tr>";
    for (const std::string heading : headings) {
      // A leading # marks the heading of a column of numbers.
      *m_page += heading.starts_with('#')
                     ? "<th class=n>" + heading.substr(1) + "</th>"
                     : "<th>" + heading + "</th>";
    }
    *m_page += "</tr>\n";
  }
  ~Table() { *m_page += "</table>\n"; }
  Table(const Table&) = delete;
  Table& operator=(const Table&) = delete;

  void Row(std::initializer_list<Cell> cells) {
    *m_page += "<tr>";
    for (const Cell& cell : cells) {
      const std::string classes =
          std::string(cell.m_number ? "n " : "") + cell.m_class;
      *m_page += classes.empty() ? "<td>" : "<td class=\"" + classes + "\">";
      *m_page += EscapeHtml(cell.m_text) + "</td>";
    }
    *m_page += "</tr>\n";
  }

 private:
  std::string* m_page;
};

void AddHeader(const InstanceStatus& status, std::string* page) {
  const std::string name = EscapeHtml(status.m_id.m_name);
  *page +=
      "<!doctype html><html lang=en><meta charset=utf-8>"
      "<meta name=viewport content=\"width=device-width\"><title>" +
      name + " - guavacross</title><style>" + kStyleSheet + "</style>\n<h1>" +
      name + "</h1>\n<p class=note>" + EscapeHtml(status.m_region) +
      ", availability zone " + EscapeHtml(status.m_zone) + ", incarnation " +
      std::to_string(status.m_id.m_incarnation) +
      "</p>\n<nav><a href=/status.json>JSON</a>"
      "<a href=/metrics>metrics</a></nav>\n";
}

void AddInstanceState(const InstanceStatus& status, std::string* page) {
  const log_service::FollowerStatus& log = status.m_log;
  *page += "<h2>Instance</h2>\n";
  Table table(page, {"", "State"});
  table.Row({{"Ready"}, StateCell(status.m_ready, "yes", "no")});
  table.Row({{"Leaving"}, {status.m_leaving ? "yes" : "no"}});
  table.Row({{"Log service"},
             StateCell(log.m_log_reachable, "answers", "does not answer")});
  table.Row({{"Configuration log"},
             {"applied up to " + std::to_string(log.m_as_of) + " of " +
              std::to_string(log.m_log_end)}});
  if (log.m_records_lost) {
    table.Row({{"Records lost"},
               StateCell(false, "", "records expired before they were read")});
  }
  if (log.m_log_shrank) {
    table.Row({{"Log shorter"},
               StateCell(false, "", "the log ends before what was applied")});
  }
}

void AddOmittedRowsNote(std::size_t all, std::size_t shown, std::string* page) {
  if (all > shown) {
    *page += "<p class=note>" + std::to_string(all - shown) +
             " more: see the JSON.</p>\n";
  }
}

void AddSections(const InstanceStatus& status, std::string* page) {
  *page += "<h2>Sections in force</h2>\n";
  const std::size_t shown = std::min(status.m_sections.size(), kMaxRows);
  {
    Table table(page, {"Section", "Team", "#Version", "#In force for",
                       "#Instances behind", "Note"});
    for (std::size_t i = 0; i < shown; ++i) {
      const SectionRow& row = status.m_sections[i];
      Cell behind = NumberCell(row.m_instances_behind);
      behind.m_class = row.m_instances_behind > 0 ? "bad" : "";
      const char* const note = row.m_removed ? "removed"
                               : !row.m_schema_supported
                                   ? "newer schema; older text in force"
                                   : "";
      table.Row({{row.m_name},
                 {row.m_team},
                 NumberCell(row.m_version),
                 {.m_text = AgeText(row.m_age), .m_number = true},
                 behind,
                 {note}});
    }
  }
  AddOmittedRowsNote(status.m_sections.size(), shown, page);
}

void AddRefusedEdits(const InstanceStatus& status, std::string* page) {
  if (status.m_refused_edits.empty()) {
    return;
  }
  *page += "<h2>Refused edits</h2>\n";
  Table table(page, {"Section", "#Offset", "Reason", "Edit id"});
  for (const EditVerdict& verdict : status.m_refused_edits) {
    table.Row({{verdict.m_section},
               NumberCell(verdict.m_offset),
               {verdict.m_reason},
               {verdict.m_edit_id}});
  }
}

Cell MemberStateCell(const Member& member) {
  switch (member.m_state) {
    case MemberState::kLive:
      return {.m_text = "live", .m_class = "good"};
    case MemberState::kSuspect:
      return {.m_text = "suspect", .m_class = "bad"};
    case MemberState::kLeaving:
      return {.m_text = "leaving"};
    case MemberState::kDead:
      break;
  }
  return {.m_text = "dead", .m_class = "bad"};
}

void AddMembers(const InstanceStatus& status, std::string* page) {
  *page += "<h2>Other instances</h2>\n";
  Table table(page, {"Instance", "Availability zone", "Callers connect to",
                     "State", "#Load", "Configuration"});
  for (const Member& member : status.m_members) {
    const bool same = member.m_config_digest == status.m_config_digest;
    table.Row(
        {{member.m_id.m_name},
         {member.m_zone},
         {ToString(member.m_callers)},
         MemberStateCell(member),
         {.m_text = Format("%.0f%%", member.m_load * 100), .m_number = true},
         StateCell(same, "same as here", "differs")});
  }
}

Cell TargetStateCell(const TargetStatus& target) {
  if (target.m_draining) {
    return {.m_text = "draining", .m_class = "bad"};
  }
  if (target.m_ejected) {
    return {.m_text = "ejected", .m_class = "bad"};
  }
  return target.m_slow_start ? Cell{.m_text = "slow start"}
                             : Cell{.m_text = "in use", .m_class = "good"};
}

void AddTargets(const ServiceStatus& service, std::string* page) {
  *page += "<h3>Targets of " + EscapeHtml(service.m_name) + "</h3>\n";
  Table table(page, {"Target", "Availability zone", "Address", "#Slots",
                     "#In flight from here", "#Reported in flight", "State"});
  for (const TargetStatus& target : service.m_targets) {
    const std::string reported =
        target.m_reported_in_flight
            ? std::to_string(*target.m_reported_in_flight)
            : "-";
    table.Row({{target.m_name},
               {target.m_zone},
               {ToString(target.m_address)},
               NumberCell(target.m_slots),
               NumberCell(target.m_in_flight),
               {.m_text = reported, .m_number = true},
               TargetStateCell(target)});
  }
}

void AddServices(const InstanceStatus& status,
                 const std::string& only_service,
                 std::string* page) {
  *page += "<h2>Services</h2>\n";
  const std::size_t shown = std::min(status.m_services.size(), kMaxRows);
  {
    Table table(page,
                {"Service", "#Targets", "#Waiting", "#Requests", "#Retries",
                 "#Hedges", "#Probes sent", "#Probes allowed", "State"});
    for (std::size_t i = 0; i < shown; ++i) {
      const ServiceStatus& service = status.m_services[i];
      table.Row({{service.m_name},
                 NumberCell(service.m_targets.size()),
                 NumberCell(service.m_queued),
                 NumberCell(service.m_requests),
                 NumberCell(service.m_retries),
                 NumberCell(service.m_hedges),
                 NumberCell(service.m_probes_sent),
                 {.m_text = Format("%.0f", service.m_probes_allowed),
                  .m_number = true},
                 StateCell(!service.m_panic, "normal", "panic")});
    }
  }
  AddOmittedRowsNote(status.m_services.size(), shown, page);
  std::size_t listed = 0;
  for (const ServiceStatus& service : status.m_services) {
    const bool wanted = only_service.empty() ? listed < kMaxServicesWithTargets
                                             : service.m_name == only_service;
    if (wanted) {
      ++listed;
      AddTargets(service, page);
    }
  }
  if (only_service.empty() && listed < status.m_services.size()) {
    *page +=
        "<p class=note>Targets of further services: "
        "/status?service=NAME</p>\n";
  }
}

void AddLatencies(const InstanceStatus& status, std::string* page) {
  *page += "<h2>Latency by tenant and class</h2>\n";
  const std::size_t shown = std::min(status.m_latencies.size(), kMaxRows);
  {
    Table table(page, {"What", "Labels", "#Count", "#p50", "#p99", "#p99.9"});
    for (std::size_t i = 0; i < shown; ++i) {
      const util::HistogramValue& histogram = status.m_latencies[i];
      std::string labels;
      for (const auto& [name, value] : histogram.m_labels) {
        labels += (labels.empty() ? "" : ", ") + name + " " + value;
      }
      const auto quantile = [&histogram](double q) {
        return Cell{.m_text = MillisecondsText(util::Quantile(histogram, q)),
                    .m_number = true};
      };
      table.Row({{histogram.m_name},
                 {labels},
                 NumberCell(histogram.m_count),
                 quantile(0.5),
                 quantile(0.99),
                 quantile(0.999)});
    }
  }
  AddOmittedRowsNote(status.m_latencies.size(), shown, page);
}

}  // namespace

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string StatusPage(const InstanceStatus& status,
                       const std::string& only_service) {
  std::string page;
  AddHeader(status, &page);
  AddInstanceState(status, &page);
  AddSections(status, &page);
  AddRefusedEdits(status, &page);
  AddMembers(status, &page);
  AddServices(status, only_service, &page);
  AddLatencies(status, &page);
  return page;
}

}  // namespace guavacross::operators
