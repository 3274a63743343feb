#include "operators/instance_status.h"

#include <QJsonArray>
#include <algorithm>

namespace guavacross::operators {

namespace {

QString Text(const std::string& text) {
  return QString::fromStdString(text);
}

qint64 Number(std::uint64_t number) {
  return static_cast<qint64>(number);
}

// Digests use all 64 bits, which a JSON number can't represent exactly.
QString DigestText(std::uint64_t digest) {
  return QString::number(digest, 16);
}

template <class Items, class Function>
QJsonArray ArrayOf(const Items& items, Function function) {
  QJsonArray array;
  for (const auto& item : items) {
    array.append(function(item));
  }
  return array;
}

QJsonObject RowJson(const SectionRow& row) {
  return {{"name", Text(row.m_name)},
          {"team", Text(row.m_team)},
          {"version", Number(row.m_version)},
          {"removed", row.m_removed},
          {"understood", row.m_understood},
          {"age_s", Seconds(row.m_age)},
          {"instances_behind", row.m_instances_behind}};
}

QJsonObject LogJson(const log_service::FollowerStatus& log) {
  return {
      {"caught_up", log.m_caught_up},       {"reachable", log.m_store_answers},
      {"records_lost", log.m_records_lost}, {"log_shrank", log.m_log_shrank},
      {"as_of", Number(log.m_as_of)},       {"end", Number(log.m_log_end)},
      {"rebuilds", log.m_rebuilds}};
}

QJsonObject VerdictJson(const EditVerdict& verdict) {
  return {{"section", Text(verdict.m_section)},
          {"edit_id", Text(verdict.m_edit_id)},
          {"reason", Text(verdict.m_reason)},
          {"offset", Number(verdict.m_offset)}};
}

QJsonObject MemberJson(const Member& member) {
  return {{"name", Text(member.m_id.m_name)},
          {"incarnation", Text(std::to_string(member.m_id.m_incarnation))},
          {"zone", Text(member.m_zone)},
          {"callers", Text(ToString(member.m_callers))},
          {"state", Text(std::string(MemberStateName(member.m_state)))},
          {"load", member.m_load},
          {"config_version", Number(member.m_config_version)},
          {"config_digest", DigestText(member.m_config_digest)}};
}

QJsonObject TargetJson(const TargetStatus& target) {
  QJsonObject json{{"name", Text(target.m_name)},
                   {"zone", Text(target.m_zone)},
                   {"address", Text(ToString(target.m_address))},
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

QJsonObject ServiceJson(const ServiceStatus& service) {
  return {{"name", Text(service.m_name)},
          {"queued", service.m_queued},
          {"requests", Number(service.m_requests)},
          {"retries", Number(service.m_retries)},
          {"hedges", Number(service.m_hedges)},
          {"probes_sent", Number(service.m_probes_sent)},
          {"probes_allowed", service.m_probes_allowed},
          {"panic", service.m_panic},
          {"targets", ArrayOf(service.m_targets, TargetJson)}};
}

QJsonObject LatencyJson(const util::HistogramValue& histogram) {
  QJsonObject labels;
  for (const auto& [name, value] : histogram.m_labels) {
    labels[Text(name)] = Text(value);
  }
  return {{"name", Text(histogram.m_name)},
          {"labels", labels},
          {"count", Number(histogram.m_count)},
          {"p50_s", util::Quantile(histogram, 0.5)},
          {"p99_s", util::Quantile(histogram, 0.99)},
          {"p999_s", util::Quantile(histogram, 0.999)}};
}

SectionRow RowOf(const log_service::ConfigReader& reader,
                 const SectionState& section) {
  const bool removed = section.m_toml.empty();
  return {.m_name = section.m_section,
          .m_team = section.m_team,
          .m_version = section.m_version,
          .m_removed = removed,
          .m_understood = removed || section.m_schema <= kDocumentSchema,
          .m_age = reader.AgeOf(section.m_section)};
}

int CountBehind(const std::vector<Member>& members,
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
    rows.push_back(RowOf(reader, section));
    rows.back().m_instances_behind =
        CountBehind(members, digest, section.m_version);
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
  return RowOf(reader, found->second);
}

QJsonObject SectionsToJson(const std::vector<SectionRow>& rows) {
  return {{"sections", ArrayOf(rows, RowJson)}};
}

QJsonObject ToJson(const InstanceStatus& status) {
  QJsonObject json = SectionsToJson(status.m_sections);
  json["instance"] = Text(status.m_id.m_name);
  json["ready"] = status.m_ready;
  json["incarnation"] = Text(std::to_string(status.m_id.m_incarnation));
  json["region"] = Text(status.m_region);
  json["zone"] = Text(status.m_zone);
  json["leaving"] = status.m_leaving;
  json["log"] = LogJson(status.m_log);
  json["config_digest"] = DigestText(status.m_config_digest);
  json["refused_edits"] = ArrayOf(status.m_refused_edits, VerdictJson);
  json["members"] = ArrayOf(status.m_members, MemberJson);
  json["services"] = ArrayOf(status.m_services, ServiceJson);
  json["latencies"] = ArrayOf(status.m_latencies, LatencyJson);
  return json;
}

}  // namespace guavacross::operators
