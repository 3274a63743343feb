#include <algorithm>
#include <limits>

#include "document/names.h"
#include "guavacross/config_state.h"
#include "util/handle.h"
#include "util/hash.h"

namespace guavacross {

namespace {

// The only schema that every release can parse. The fold validates only texts
// of this schema: all releases must reach the same verdict, and older releases
// can't parse texts of later schemas.
constexpr int kFirstSchema = 1;

constexpr std::size_t kMaxEditIdLength = 64;

std::uint64_t HashNumber(std::uint64_t number, std::uint64_t seed) {
  return util::Hash({reinterpret_cast<const char*>(&number), sizeof(number)},
                    seed);
}

std::uint64_t HashOf(const SectionState& section) {
  std::uint64_t hash = util::Hash(section.m_section);
  hash = util::Hash(section.m_team, hash);
  hash = HashNumber(section.m_version, hash);
  hash = util::Hash(section.m_toml, hash);
  hash = HashNumber(section.m_schema, hash);
  for (const auto& [schema, toml] : section.m_fallbacks) {
    hash = util::Hash(toml, HashNumber(schema, hash));
  }
  return hash;
}

std::uint64_t HashOf(const EditVerdict& verdict) {
  std::uint64_t hash = util::Hash(verdict.m_edit_id);
  hash = util::Hash(verdict.m_section, hash);
  hash = HashNumber(verdict.m_accepted ? 1 : 0, hash);
  hash = HashNumber(verdict.m_version, hash);
  hash = util::Hash(verdict.m_reason, hash);
  return HashNumber(verdict.m_offset, hash);
}

std::uint64_t HashNameAndVersion(const SectionState& section) {
  return HashNumber(section.m_version, util::Hash(section.m_section));
}

// Validates everything but the text, independently of the text's schema. These
// checks must never change, since all releases must reach the same verdict.
// Returns the reason for refusal, or an empty string.
std::string ValidateEnvelope(const ConfigEdit& edit) {
  if (edit.m_schema < kFirstSchema) {
    return "the edit names no schema";
  }
  if (!document::IsName(edit.m_section)) {
    return "the section's name is not valid";
  }
  if (!document::IsName(edit.m_team) || !document::IsName(edit.m_owner)) {
    return "the team's name is not valid";
  }
  if (edit.m_toml.size() > kMaxSectionBytes) {
    return "the section is larger than " + std::to_string(kMaxSectionBytes) +
           " bytes";
  }
  return "";
}

std::string ValidateText(const ConfigEdit& edit) {
  if (edit.m_toml.empty() || edit.m_schema != kFirstSchema) {
    return "";
  }
  const auto service = util::Catch([&edit] {
    return ParseSection(edit.m_section, edit.m_toml, edit.m_schema);
  });
  if (!service) {
    // The reason is part of the replicated state, and the parser's message may
    // differ between releases, so it is left out here. `publish` prints it
    // before it appends the edit.
    return "the text is not a valid section";
  }
  if (service.m_value->m_team != edit.m_owner) {
    return "the text names team " + service.m_value->m_team +
           ", the edit names " + edit.m_owner + " as the owner";
  }
  return "";
}

// Returns the known texts whose schemas are lower than `schema`, by schema,
// including the section's current text.
std::map<int, std::string> FallbacksFor(int schema,
                                        const SectionState& current) {
  std::map<int, std::string> fallbacks = current.m_fallbacks;
  fallbacks[current.m_schema] = current.m_toml;
  std::erase_if(fallbacks, [schema](const auto& entry) {
    return entry.first >= schema || entry.second.empty();
  });
  return fallbacks;
}

}  // namespace

ConfigFold::ConfigFold(ConfigSnapshot snapshot) : m_state(std::move(snapshot)) {
  for (const auto& [name, section] : m_state.m_sections) {
    m_content_hash += HashOf(section);
  }
  for (const auto& [id, verdict] : m_state.m_recent_edits) {
    m_content_hash += HashOf(verdict);
    m_edit_order.emplace_back(verdict.m_offset, id);
  }
  std::sort(m_edit_order.begin(), m_edit_order.end());
}

EditVerdict ConfigFold::Apply(std::uint64_t offset, const std::string& data) {
  // Verdicts expire by offset alone, so that a fold that started from a
  // snapshot drops the same verdicts as one that read every record.
  m_state.m_as_of = offset + 1;
  ForgetOldVerdicts();
  auto decoded = util::Catch([&data] { return DecodeEdit(data); });
  if (!decoded || decoded.m_value->m_edit_id.empty() ||
      decoded.m_value->m_edit_id.size() > kMaxEditIdLength) {
    return {.m_reason = "not a configuration edit", .m_offset = offset};
  }
  ConfigEdit& edit = *decoded.m_value;
  if (edit.m_owner.empty()) {
    edit.m_owner = edit.m_team;
  }
  const auto seen = m_state.m_recent_edits.find(edit.m_edit_id);
  if (seen != m_state.m_recent_edits.end()) {
    return seen->second;
  }
  EditVerdict verdict{.m_edit_id = edit.m_edit_id,
                      .m_section = edit.m_section,
                      .m_reason = Judge(edit),
                      .m_offset = offset};
  verdict.m_accepted = verdict.m_reason.empty();
  if (verdict.m_accepted) {
    Accept(offset, edit);
  }
  const auto section = m_state.m_sections.find(edit.m_section);
  if (section != m_state.m_sections.end()) {
    verdict.m_version = section->second.m_version;
  }
  Remember(verdict);
  return verdict;
}

std::string ConfigFold::Judge(const ConfigEdit& edit) const {
  std::string reason = ValidateEnvelope(edit);
  if (!reason.empty()) {
    return reason;
  }
  const auto found = m_state.m_sections.find(edit.m_section);
  const bool exists =
      found != m_state.m_sections.end() && !found->second.m_toml.empty();
  if (exists && found->second.m_team != edit.m_team) {
    return "team " + found->second.m_team + " owns the section";
  }
  const std::uint64_t version =
      found == m_state.m_sections.end() ? 0 : found->second.m_version;
  if (edit.m_based_on != version) {
    return "based on version " + std::to_string(edit.m_based_on) +
           ", but version " + std::to_string(version) + " is current";
  }
  if (!exists && edit.m_owner != edit.m_team) {
    return "a new section belongs to the team that publishes it, not to team " +
           edit.m_owner;
  }
  if (!exists && edit.m_toml.empty()) {
    return "there is no such section to remove";
  }
  return ValidateText(edit);
}

void ConfigFold::Accept(std::uint64_t offset, const ConfigEdit& edit) {
  SectionState& section = m_state.m_sections[edit.m_section];
  if (section.m_version != 0) {
    m_content_hash -= HashOf(section);
  }
  SectionState next{.m_section = edit.m_section,
                    .m_team = edit.m_owner,
                    .m_version = offset + 1,
                    .m_toml = edit.m_toml,
                    .m_schema = edit.m_schema};
  if (!edit.m_toml.empty()) {
    next.m_fallbacks = FallbacksFor(edit.m_schema, section);
  }
  section = std::move(next);
  m_content_hash += HashOf(section);
}

void ConfigFold::Remember(const EditVerdict& verdict) {
  m_state.m_recent_edits.emplace(verdict.m_edit_id, verdict);
  m_edit_order.emplace_back(verdict.m_offset, verdict.m_edit_id);
  m_content_hash += HashOf(verdict);
}

void ConfigFold::ForgetOldVerdicts() {
  while (!m_edit_order.empty() &&
         m_edit_order.front().first + kVerdictRetentionOffsets <
             m_state.m_as_of) {
    const auto verdict =
        m_state.m_recent_edits.find(m_edit_order.front().second);
    m_content_hash -= HashOf(verdict->second);
    m_state.m_recent_edits.erase(verdict);
    m_edit_order.pop_front();
  }
}

std::uint64_t ConfigFold::Digest() const {
  return HashNumber(m_state.m_as_of, m_content_hash);
}

std::optional<ServiceConfig> ServiceInForce(const SectionState& section) {
  const auto parse = [&section](int schema, const std::string& toml) {
    return util::Catch(
               [&] { return ParseSection(section.m_section, toml, schema); })
        .m_value;
  };
  if (section.m_toml.empty()) {
    return std::nullopt;
  }
  std::optional<ServiceConfig> service =
      parse(section.m_schema, section.m_toml);
  auto fallback = section.m_fallbacks.rbegin();
  while (!service && fallback != section.m_fallbacks.rend()) {
    service = parse(fallback->first, fallback->second);
    ++fallback;
  }
  return service;
}

ConfigInForce::ConfigInForce(ChangeHook on_change)
    : m_on_change(std::move(on_change)) {}

int ConfigInForce::Merge(const std::vector<SectionState>& sections) {
  int taken = 0;
  for (const SectionState& section : sections) {
    SectionState& current = m_sections[section.m_section];
    if (section.m_version <= current.m_version) {
      continue;
    }
    if (current.m_version != 0) {
      m_digest -= HashNameAndVersion(current);
    }
    current = section;
    m_digest += HashNameAndVersion(current);
    m_highest_version = std::max(m_highest_version, section.m_version);
    ++taken;
    if (m_on_change) {
      m_on_change(section);
    }
  }
  return taken;
}

}  // namespace guavacross
