#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <algorithm>
#include <iomanip>
#include <map>
#include <set>

#include "guavacross/wire_names.h"
#include "operators/commands.h"
#include "operators/fetch_all.h"

namespace guavacross::operators {

namespace {

constexpr int kHttpOk = 200;

struct SectionSummary {
  std::string m_team;
  std::uint64_t m_version = 0;
  double m_newest_version_age_s = 0;
  bool m_removed = false;
  std::map<std::string, std::uint64_t> m_version_by_instance;
};

// The combined status of all instances.
struct ClusterSummary {
  std::map<std::string, SectionSummary> m_sections;
  std::map<std::string, std::string> m_refused_edits;
  std::set<std::string> m_instances;
  bool m_healthy = true;
};

std::string StringField(const QJsonValue& json, const char* key) {
  return json[QLatin1String(key)].toString().toStdString();
}

void AddSections(const std::string& instance,
                 const QJsonObject& json,
                 ClusterSummary* summary) {
  for (const QJsonValue row : json["sections"].toArray()) {
    SectionSummary& section = summary->m_sections[StringField(row, "name")];
    const auto version = static_cast<std::uint64_t>(row["version"].toInteger());
    section.m_version_by_instance[instance] = version;
    if (version > section.m_version) {
      section.m_version = version;
      section.m_team = StringField(row, "team");
      section.m_removed = row["removed"].toBool();
      section.m_newest_version_age_s = row["age_s"].toDouble();
    }
  }
  for (const QJsonValue edit : json["refused_edits"].toArray()) {
    summary->m_refused_edits[StringField(edit, "edit_id")] =
        StringField(edit, "section") + ": " + StringField(edit, "reason");
  }
}

// Prints an instance on a platform: one line for the instance and one for each
// of its services.
void PrintPlatformInstance(const std::string& name,
                           const QJsonObject& json,
                           std::ostream& out) {
  const QJsonObject configuration = json["configuration"].toObject();
  const QJsonObject store = json["store"].toObject();
  int live = 0;
  const QJsonArray peers = json["peers"].toArray();
  for (const QJsonValue peer : peers) {
    live += StringField(peer, "state") == "live" ? 1 : 0;
  }
  out << std::left << std::setw(16) << name
      << (json["ready"].toBool() ? " ready" : " NOT READY")
      << (json["leaving"].toBool() ? ", leaving" : "") << ", configuration "
      << configuration["version"].toInteger() << " for " << std::fixed
      << std::setprecision(0) << configuration["in_force_s"].toDouble()
      << " s, " << live << " of " << peers.size() << " peers live, store "
      << (store["reachable"].toBool() ? "answers"
                                      : "LOST: " + StringField(store, "error"))
      << "\n";
  for (const QJsonValue service : json["services"].toArray()) {
    std::map<std::string, int> by_state;
    double oldest_s = 0;
    const QJsonArray targets = service["targets"].toArray();
    for (const QJsonValue target : targets) {
      ++by_state[StringField(target, "state")];
      oldest_s = std::max(oldest_s, target["entry_age_s"].toDouble());
    }
    out << "  " << std::setw(14) << StringField(service, "name") << " "
        << targets.size() << " targets";
    for (const auto& [state, count] : by_state) {
      out << ", " << count << " " << state;
    }
    out << ", oldest entry " << oldest_s << " s, "
        << service["waiting"].toInteger() << " requests wait\n";
  }
}

void PrintInstance(const Endpoint& endpoint,
                   const net::FetchResult& fetched,
                   std::ostream& out,
                   ClusterSummary* summary) {
  const auto json =
      QJsonDocument::fromJson(QByteArray::fromStdString(fetched.m_body))
          .object();
  if (fetched.m_status != kHttpOk || json.isEmpty()) {
    out << ToString(endpoint) << "  does not answer: " << fetched.m_error
        << "\n";
    summary->m_healthy = false;
    return;
  }
  const std::string name = StringField(json, "instance");
  const bool ready = json["ready"].toBool();
  if (json.contains("configuration")) {
    PrintPlatformInstance(name, json, out);
    summary->m_healthy = summary->m_healthy && ready;
    return;
  }
  const QJsonObject log = json["log"].toObject();
  out << std::left << std::setw(16) << name << " " << std::setw(22)
      << ToString(endpoint) << (ready ? " ready" : " NOT READY")
      << (log["reachable"].toBool() ? "" : ", log service does not answer")
      << (log["records_lost"].toBool() ? ", records lost" : "") << ", log "
      << log["as_of"].toInteger() << " of " << log["end"].toInteger() << "\n";
  summary->m_healthy = summary->m_healthy && ready;
  summary->m_instances.insert(name);
  AddSections(name, json, summary);
}

std::size_t CountInstancesBehind(const ClusterSummary& summary,
                                 const SectionSummary& section) {
  return std::count_if(summary.m_instances.begin(), summary.m_instances.end(),
                       [&section](const std::string& instance) {
                         const auto found =
                             section.m_version_by_instance.find(instance);
                         return found == section.m_version_by_instance.end() ||
                                found->second < section.m_version;
                       });
}

void PrintSections(std::ostream& out, ClusterSummary* summary) {
  out << "\n"
      << std::left << std::setw(24) << "section" << std::setw(16) << "team"
      << std::right << std::setw(10) << "version" << std::setw(12)
      << "in force s" << std::setw(18) << "instances behind"
      << "\n";
  for (const auto& [name, section] : summary->m_sections) {
    const std::size_t behind = CountInstancesBehind(*summary, section);
    summary->m_healthy = summary->m_healthy && behind == 0;
    out << std::left << std::setw(24) << name << std::setw(16) << section.m_team
        << std::right << std::setw(10) << section.m_version << std::setw(12)
        << std::fixed << std::setprecision(0) << section.m_newest_version_age_s
        << std::setw(18) << behind << (section.m_removed ? "  removed" : "")
        << "\n";
  }
  if (!summary->m_refused_edits.empty()) {
    out << "\nrefused edits\n";
  }
  for (const auto& [id, text] : summary->m_refused_edits) {
    out << "  " << text << " (edit " << id << ")\n";
  }
}

}  // namespace

int RunStatus(const StatusOptions& options,
              std::ostream& out,
              std::ostream& err) {
  if (options.m_instances.empty()) {
    err << "status: no operator addresses of instances given\n";
    return kExitUsage;
  }
  const auto answers =
      FetchAll(options.m_instances, "/status.json", options.m_timeout);
  if (options.m_json) {
    bool all = true;
    for (const net::FetchResult& fetched : answers) {
      out << fetched.m_body;
      all = all && fetched.m_status == kHttpOk;
    }
    return all ? kExitOk : kExitUnavailable;
  }
  ClusterSummary summary;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    PrintInstance(options.m_instances[i], answers[i], out, &summary);
  }
  if (!summary.m_instances.empty()) {
    PrintSections(out, &summary);
  }
  return summary.m_healthy ? kExitOk : kExitRefused;
}

int RunAddresses(const AddressesOptions& options,
                 std::ostream& out,
                 std::ostream& err) {
  const std::string path =
      std::string(kAddressesPath) + "?service=" +
      QUrl::toPercentEncoding(QString::fromStdString(options.m_service))
          .toStdString();
  const net::FetchResult fetched =
      FetchAll({options.m_instance}, path, options.m_timeout).front();
  if (fetched.m_status == 0) {
    err << "addresses: " << fetched.m_error << "\n";
    return kExitUnavailable;
  }
  if (fetched.m_status != kHttpOk) {
    err << "addresses: status " << fetched.m_status << ": " << fetched.m_body
        << "\n";
    return kExitRefused;
  }
  out << fetched.m_body << "\n";
  return kExitOk;
}

}  // namespace guavacross::operators
