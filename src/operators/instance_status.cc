#include "operators/instance_status.h"

#include <QJsonArray>
#include <algorithm>

namespace guavacross::operators {

namespace {

QString ToQString(const std::string& text) {
  return QString::fromStdString(text);
}

qint64 ToJsonInteger(std::uint64_t number) {
  return static_cast<qint64>(number);
}

// Digests use all 64 bits, which a JSON number can't represent exactly.
QString DigestToHex(std::uint64_t digest) {
  return QString::number(digest, 16);
}

template <class Items, class Function>
QJsonArray ToJsonArray(const Items& items, Function function) {
  QJsonArray array;
  for (const auto& item : items) {
    array.append(function(item));
  }
  return array;
}

QJsonObject SectionRowToJson(const SectionRow& row) {
  return {{"name", ToQString(row.m_name)},
          {"team", ToQString(row.m_team)},
          {"version", ToJsonInteger(row.m_version)},
          {"removed", row.m_removed},
          {"understood", row.m_schema_supported},
          {"age_s", Seconds(row.m_age)},
          {"instances_behind", row.m_instances_behind}};
}

QJsonObject LogStatusToJson(const log_service::FollowerStatus& log) {
  return {{"caught_up", log.m_caught_up},
          {"reachable", log.m_log_reachable},
          {"records_lost", log.m_records_lost},
          {"log_shrank", log.m_log_shrank},
          {"as_of", ToJsonInteger(log.m_as_of)},
          {"end", ToJsonInteger(log.m_log_end)},
          {"rebuilds", log.m_rebuilds}};
}

QJsonObject VerdictToJson(const EditVerdict& verdict) {
  return {{"section", ToQString(verdict.m_section)},
          {"edit_id", ToQString(verdict.m_edit_id)},
          {"reason", ToQString(verdict.m_reason)},
          {"offset", ToJsonInteger(verdict.m_offset)}};
}

QJsonObject MemberToJson(const Member& member) {
  return {{"name", ToQString(member.m_id.m_name)},
          {"incarnation", ToQString(std::to_string(member.m_id.m_incarnation))},
          {"zone", ToQString(member.m_zone)},
          {"callers", ToQString(ToString(member.m_callers))},
          {"state", ToQString(std::string(MemberStateName(member.m_state)))},
          {"load", member.m_load},
          {"config_version", ToJsonInteger(member.m_config_version)},
          {"config_digest", DigestToHex(member.m_config_digest)}};
}

QJsonObject TargetToJson(const TargetStatus& target) {
  QJsonObject json{{"name", ToQString(target.m_name)},
                   {"zone", ToQString(target.m_zone)},
                   {"address", ToQString(ToString(target.m_address))},
                   {"slots", target.m_slots},
                   {"in_flight", target.m_in_flight},
                   {"ejected", target.m_ejected},
                   {"draining", target.m_draining},
                   {"slow_start", target.m_slow_start}};
  if (target.m_reported_in_flight) {
    json["reported_in_flight"] = *target.m_reported_in_flight;
  }
  return json;
}

QJsonObject ServiceToJson(const ServiceStatus& service) {
  return {{"name", ToQString(service.m_name)},
          {"queued", service.m_queued},
          {"requests", ToJsonInteger(service.m_requests)},
          {"retries", ToJsonInteger(service.m_retries)},
          {"hedges", ToJsonInteger(service.m_hedges)},
          {"probes_sent", ToJsonInteger(service.m_probes_sent)},
          {"probes_allowed", service.m_probes_allowed},
          {"panic", service.m_panic},
          {"targets", ToJsonArray(service.m_targets, TargetToJson)}};
}

QJsonObject LatencyToJson(const util::HistogramValue& histogram) {
  QJsonObject labels;
  for (const auto& [name, value] : histogram.m_labels) {
    labels[ToQString(name)] = ToQString(value);
  }
  return {{"name", ToQString(histogram.m_name)},
          {"labels", labels},
          {"count", ToJsonInteger(histogram.m_count)},
          {"p50_s", util::Quantile(histogram, 0.5)},
          {"p99_s", util::Quantile(histogram, 0.99)},
          {"p999_s", util::Quantile(histogram, 0.999)}};
}

SectionRow MakeSectionRow(const log_service::ConfigReader& reader,
                          const SectionState& section) {
  const bool removed = section.m_toml.empty();
  return {.m_name = section.m_section,
          .m_team = section.m_team,
          .m_version = section.m_version,
          .m_removed = removed,
          .m_schema_supported = removed || section.m_schema <= kDocumentSchema,
          .m_age = reader.AgeOf(section.m_section)};
}

int CountInstancesBehind(const std::vector<Member>& members,
                         std::uint64_t own_digest,
                         std::uint64_t version) {
  return static_cast<int>(
      std::count_if(members.begin(), members.end(), [&](const Member& member) {
        return member.m_state != MemberState::kDead &&
               member.m_config_digest != own_digest &&
               member.m_config_version < version;
      }));
}

}  // namespace

std::vector<SectionRow> SectionRows(const log_service::ConfigReader& reader,
                                    const std::vector<Member>& members) {
  const std::uint64_t digest = reader.in_force().Digest();
  std::vector<SectionRow> rows;
  for (const auto& [name, section] : reader.in_force().sections()) {
    rows.push_back(MakeSectionRow(reader, section));
    rows.back().m_instances_behind =
        CountInstancesBehind(members, digest, section.m_version);
  }
  return rows;
}

std::optional<SectionRow> FindSectionRow(
    const log_service::ConfigReader& reader,
    const std::string& section) {
  const auto found = reader.in_force().sections().find(section);
  if (found == reader.in_force().sections().end()) {
    return std::nullopt;
  }
  return MakeSectionRow(reader, found->second);
}

QJsonObject SectionsToJson(const std::vector<SectionRow>& rows) {
  return {{"sections", ToJsonArray(rows, SectionRowToJson)}};
}

QJsonObject ToJson(const InstanceStatus& status) {
  QJsonObject json = SectionsToJson(status.m_sections);
  json["instance"] = ToQString(status.m_id.m_name);
  json["ready"] = status.m_ready;
  json["incarnation"] = ToQString(std::to_string(status.m_id.m_incarnation));
  json["region"] = ToQString(status.m_region);
  json["zone"] = ToQString(status.m_zone);
  json["leaving"] = status.m_leaving;
  json["log"] = LogStatusToJson(status.m_log);
  json["config_digest"] = DigestToHex(status.m_config_digest);
  json["refused_edits"] = ToJsonArray(status.m_refused_edits, VerdictToJson);
  json["members"] = ToJsonArray(status.m_members, MemberToJson);
  json["services"] = ToJsonArray(status.m_services, ServiceToJson);
  json["latencies"] = ToJsonArray(status.m_latencies, LatencyToJson);
  return json;
}

}  // namespace guavacross::operators
