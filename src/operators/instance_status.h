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

/// What an instance shows to operators, as a value and as JSON.
namespace guavacross::operators {

/// One section as an instance has it in force.
struct SectionRow {
  std::string m_name;
  std::string m_team;
  std::uint64_t m_version = 0;
  bool m_removed = false;
  /// False if the newest text is of a schema that this release doesn't know, so
  /// that an older text, if any, is in force.
  bool m_understood = true;
  /// Time since the version rose on this instance.
  Duration m_age{};
  /// Other live instances that are known to have an older version.
  int m_instances_behind = 0;

  bool operator==(const SectionRow&) const = default;
};

/// An instance's state.
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

/// The rows for the sections in force. `members` are the other instances; one
/// that is alive and whose digest differs is behind on the sections whose
/// version is above its highest one.
std::vector<SectionRow> SectionRows(const log_service::ConfigReader& reader,
                                    const std::vector<Member>& members);

/// The row for one section in force, without the instances behind.
std::optional<SectionRow> FindSectionRow(
    const log_service::ConfigReader& reader,
    const std::string& section);

/// Sections alone: `{"sections": [ROW, ...]}`.
QJsonObject SectionsToJson(const std::vector<SectionRow>& rows);

/// All of it.
QJsonObject ToJson(const InstanceStatus& status);

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_INSTANCE_STATUS_H_
