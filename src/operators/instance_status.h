#ifndef GUAVACROSS_OPERATORS_INSTANCE_STATUS_H_
#define GUAVACROSS_OPERATORS_INSTANCE_STATUS_H_

#include <QJsonObject>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/config_state.h"
#include "guavacross/membership.h"
#include "guavacross/routing.h"
#include "log_service/config_reader.h"
#include "util/metrics.h"

/// The status of an instance that is shown to operators, and its JSON form.
namespace guavacross::operators {

/// One section as an instance has it in force.
struct SectionRow {
  std::string m_name;
  std::string m_team;
  std::uint64_t m_version = 0;
  bool m_removed = false;
  /// False if the newest text uses a schema that this release doesn't support.
  /// An older text, if there is one, is then in force.
  bool m_schema_supported = true;
  /// Time since this instance applied the current version.
  Duration m_age{};
  /// Other live instances that are known to have an older version.
  int m_instances_behind = 0;

  bool operator==(const SectionRow&) const = default;
};

/// The complete status of an instance.
struct InstanceStatus {
  InstanceId m_id;
  std::string m_region;
  std::string m_zone;
  bool m_ready = false;
  bool m_leaving = false;
  log_service::FollowerStatus m_log;
  std::uint64_t m_config_digest = 0;
  std::vector<SectionRow> m_sections;
  std::vector<EditVerdict> m_refused_edits;
  std::vector<Member> m_members;
  std::vector<ServiceStatus> m_services;
  std::vector<util::HistogramValue> m_latencies;

  bool operator==(const InstanceStatus&) const = default;
};

/// Returns one row per section in force. `members` are the other instances. A
/// member that isn't dead and whose configuration digest differs from this
/// instance's counts as behind on each section whose version is above the
/// member's highest version.
std::vector<SectionRow> SectionRows(const log_service::ConfigReader& reader,
                                    const std::vector<Member>& members);

/// Returns the row of one section in force, or nothing if there is none.
/// `m_instances_behind` is not computed.
std::optional<SectionRow> FindSectionRow(
    const log_service::ConfigReader& reader,
    const std::string& section);

/// Returns the sections alone: `{"sections": [ROW, ...]}`.
QJsonObject SectionsToJson(const std::vector<SectionRow>& rows);

/// Returns the complete status.
QJsonObject ToJson(const InstanceStatus& status);

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_INSTANCE_STATUS_H_
