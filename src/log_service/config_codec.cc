// Encoding and decoding of the records of the config and snapshot streams, and
// of the sections that instances send to each other.

#include <config.pb.h>

#include <boost/leaf/error.hpp>

#include "guavacross/config_state.h"

namespace guavacross {

namespace {

namespace proto = config_proto;

constexpr std::uint32_t kRecordMagic = 0x31435847;    // "GXC1"
constexpr std::uint32_t kSnapshotMagic = 0x31535847;  // "GXS1"

void ToProto(const SectionState& section, proto::Section* out) {
  out->set_section(section.m_section);
  out->set_team(section.m_team);
  out->set_version(section.m_version);
  out->set_toml(section.m_toml);
  out->set_schema(section.m_schema);
  for (const auto& [schema, toml] : section.m_fallbacks) {
    proto::Text* const text = out->add_fallbacks();
    text->set_schema(schema);
    text->set_toml(toml);
  }
}

SectionState FromProto(const proto::Section& in) {
  SectionState section{.m_section = in.section(),
                       .m_team = in.team(),
                       .m_version = in.version(),
                       .m_toml = in.toml(),
                       .m_schema = static_cast<int>(in.schema())};
  for (const proto::Text& text : in.fallbacks()) {
    section.m_fallbacks[static_cast<int>(text.schema())] = text.toml();
  }
  return section;
}

void ToProto(const EditVerdict& verdict, proto::Verdict* out) {
  out->set_edit_id(verdict.m_edit_id);
  out->set_section(verdict.m_section);
  out->set_accepted(verdict.m_accepted);
  out->set_version(verdict.m_version);
  out->set_reason(verdict.m_reason);
  out->set_offset(verdict.m_offset);
}

EditVerdict FromProto(const proto::Verdict& in) {
  return {.m_edit_id = in.edit_id(),
          .m_section = in.section(),
          .m_accepted = in.accepted(),
          .m_version = in.version(),
          .m_reason = in.reason(),
          .m_offset = in.offset()};
}

}  // namespace

std::string EncodeEdit(const ConfigEdit& edit) {
  proto::Record record;
  record.set_magic(kRecordMagic);
  proto::Edit* const out = record.mutable_edit();
  out->set_schema(edit.m_schema);
  out->set_section(edit.m_section);
  out->set_team(edit.m_team);
  out->set_based_on(edit.m_based_on);
  out->set_edit_id(edit.m_edit_id);
  out->set_toml(edit.m_toml);
  out->set_owner(edit.m_owner);
  return record.SerializeAsString();
}

Result<ConfigEdit> DecodeEdit(const std::string& data) {
  proto::Record record;
  if (!record.ParseFromString(data) || record.magic() != kRecordMagic ||
      !record.has_edit()) {
    return Fail(ErrorKind::kBadMessage, "not a configuration edit");
  }
  const proto::Edit& in = record.edit();
  return ConfigEdit{.m_schema = static_cast<int>(in.schema()),
                    .m_section = in.section(),
                    .m_team = in.team(),
                    .m_based_on = in.based_on(),
                    .m_edit_id = in.edit_id(),
                    .m_toml = in.toml(),
                    .m_owner = in.owner()};
}

std::string EncodeSnapshot(const ConfigSnapshot& snapshot) {
  proto::Snapshot out;
  out.set_magic(kSnapshotMagic);
  out.set_as_of(snapshot.m_as_of);
  // The maps are sorted, so equal snapshots have equal encodings.
  for (const auto& [name, section] : snapshot.m_sections) {
    ToProto(section, out.add_sections());
  }
  for (const auto& [id, verdict] : snapshot.m_recent_edits) {
    ToProto(verdict, out.add_recent_edits());
  }
  return out.SerializeAsString();
}

Result<ConfigSnapshot> DecodeSnapshot(const std::string& data) {
  proto::Snapshot in;
  if (!in.ParseFromString(data) || in.magic() != kSnapshotMagic) {
    return Fail(ErrorKind::kBadMessage, "not a configuration snapshot");
  }
  ConfigSnapshot snapshot{.m_as_of = in.as_of()};
  for (const proto::Section& section : in.sections()) {
    snapshot.m_sections.emplace(section.section(), FromProto(section));
  }
  for (const proto::Verdict& verdict : in.recent_edits()) {
    snapshot.m_recent_edits.emplace(verdict.edit_id(), FromProto(verdict));
  }
  return snapshot;
}

std::string EncodeSections(const std::vector<SectionState>& sections) {
  proto::Sections out;
  for (const SectionState& section : sections) {
    ToProto(section, out.add_sections());
  }
  return out.SerializeAsString();
}

Result<std::vector<SectionState>> DecodeSections(const std::string& data) {
  proto::Sections in;
  if (!in.ParseFromString(data)) {
    return Fail(ErrorKind::kBadMessage, "not a list of sections");
  }
  std::vector<SectionState> sections;
  for (const proto::Section& section : in.sections()) {
    sections.push_back(FromProto(section));
  }
  return sections;
}

}  // namespace guavacross
