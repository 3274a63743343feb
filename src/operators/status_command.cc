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

constexpr int kOk = 200;

struct SectionView {
  std::string m_team;
  std::uint64_t m_version = 0;
  double m_youngest_age_s = 0;
  bool m_removed = false;
  std::map<std::string, std::uint64_t> m_version_at;
};

// The combined status of all instances.
struct ClusterView {
  std::map<std::string, SectionView> m_sections;
  std::map<std::string, std::string> m_refusals;
  std::set<std::string> m_instances;
  bool m_well = true;
};

std::string TextOf(const QJsonValue& json, const char* key) {
  return json[QLatin1String(key)].toString().toStdString();
}

void AddSections(const std::string& instance,
                 const QJsonObject& json,
                 ClusterView* view) {
  for (const QJsonValue row : json["sections"].toArray()) {
    SectionView& section = view->m_sections[TextOf(row, "name")];
    const auto version = static_cast<std::uint64_t>(row["version"].toInteger());
    section.m_version_at[instance] = version;
    if (version > section.m_version) {
      section.m_version = version;
      section.m_team = TextOf(row, "team");
      section.m_removed = row["removed"].toBool();
      section.m_youngest_age_s = row["age_s"].toDouble();
    }
  }
  for (const QJsonValue edit : json["refused_edits"].toArray()) {
    view->m_refusals[TextOf(edit, "edit_id")] =
        TextOf(edit, "section") + ": " + TextOf(edit, "reason");
  }
}

// Prints an instance on a platform: one line for the instance and one for each
// of its services.
void ShowRouteInstance(const std::string& name,
                       const QJsonObject& json,
                       std::ostream& out) {
  const QJsonObject configuration = json["configuration"].toObject();
  const QJsonObject store = json["store"].toObject();
  int live = 0;
  const QJsonArray peers = json["peers"].toArray();
  for (const QJsonValue peer : peers) {
    live += TextOf(peer, "state") == "live" ? 1 : 0;
  }
  out << std::left << std::setw(16) << name
      << (json["ready"].toBool() ? " ready" : " NOT READY")
      << (json["leaving"].toBool() ? ", leaving" : "") << ", configuration "
      << configuration["version"].toInteger() << " for " << std::fixed
      << std::setprecision(0) << configuration["in_force_s"].toDouble()
      << " s, " << live << " of " << peers.size() << " peers live, store "
      << (store["reachable"].toBool() ? "answers"
                                      : "LOST: " + TextOf(store, "error"))
      << "\n";
  for (const QJsonValue service : json["services"].toArray()) {
    std::map<std::string, int> by_state;
    double oldest_s = 0;
    const QJsonArray targets = service["targets"].toArray();
    for (const QJsonValue target : targets) {
      ++by_state[TextOf(target, "state")];
      oldest_s = std::max(oldest_s, target["entry_age_s"].toDouble());
    }
    out << "  " << std::setw(14) << TextOf(service, "name") << " "
        << targets.size() << " targets";
    for (const auto& [state, count] : by_state) {
      out << ", " << count << " " << state;
    }
    out << ", oldest entry " << oldest_s << " s, "
        << service["waiting"].toInteger() << " requests wait\n";
  }
}

void ShowInstance(const Endpoint& endpoint,
                  const net::FetchResult& fetched,
                  std::ostream& out,
                  ClusterView* view) {
  const auto json =
      QJsonDocument::fromJson(QByteArray::fromStdString(fetched.m_body))
          .object();
  if (fetched.m_status != kOk || json.isEmpty()) {
    out << ToString(endpoint) << "  does not answer: " << fetched.m_error
        << "\n";
    view->m_well = false;
    return;
  }
  const std::string name = TextOf(json, "instance");
  const bool ready = json["ready"].toBool();
  if (json.contains("configuration")) {
    ShowRouteInstance(name, json, out);
    view->m_well = view->m_well && ready;
    return;
  }
  const QJsonObject log = json["log"].toObject();
  out << std::left << std::setw(16) << name << " " << std::setw(22)
      << ToString(endpoint) << (ready ? " ready" : " NOT READY")
      << (log["reachable"].toBool() ? "" : ", log service does not answer")
      << (log["records_lost"].toBool() ? ", records lost" : "") << ", log "
      << log["as_of"].toInteger() << " of " << log["end"].toInteger() << "\n";
  view->m_well = view->m_well && ready;
  view->m_instances.insert(name);
  AddSections(name, json, view);
}

std::size_t CountBehind(const ClusterView& view, const SectionView& section) {
  return std::count_if(view.m_instances.begin(), view.m_instances.end(),
                       [&section](const std::string& instance) {
                         const auto found = section.m_version_at.find(instance);
                         return found == section.m_version_at.end() ||
                                found->second < section.m_version;
                       });
}

void ShowSections(std::ostream& out, ClusterView* view) {
  out << "\n"
      << std::left << std::setw(24) << "section" << std::setw(16) << "team"
      << std::right << std::setw(10) << "version" << std::setw(12)
      << "in force s" << std::setw(18) << "instances behind"
      << "\n";
  for (const auto& [name, section] : view->m_sections) {
    const std::size_t behind = CountBehind(*view, section);
    view->m_well = view->m_well && behind == 0;
    out << std::left << std::setw(24) << name << std::setw(16) << section.m_team
        << std::right << std::setw(10) << section.m_version << std::setw(12)
        << std::fixed << std::setprecision(0) << section.m_youngest_age_s
        << std::setw(18) << behind << (section.m_removed ? "  removed" : "")
        << "\n";
  }
  if (!view->m_refusals.empty()) {
    out << "\nrefused edits\n";
  }
  for (const auto& [id, text] : view->m_refusals) {
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
      all = all && fetched.m_status == kOk;
    }
    return all ? kExitOk : kExitUnavailable;
  }
  ClusterView view;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    ShowInstance(options.m_instances[i], answers[i], out, &view);
  }
  if (!view.m_instances.empty()) {
    ShowSections(out, &view);
  }
  return view.m_well ? kExitOk : kExitRefused;
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
  if (fetched.m_status != kOk) {
    err << "addresses: status " << fetched.m_status << ": " << fetched.m_body
        << "\n";
    return kExitRefused;
  }
  out << fetched.m_body << "\n";
  return kExitOk;
}

}  // namespace guavacross::operators
