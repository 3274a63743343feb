#include "naive_config.h"

#include "util/handle.h"

namespace guavacross::naive {

namespace {

std::string OwnerOf(const ConfigEdit& edit) {
  return edit.m_owner.empty() ? edit.m_team : edit.m_owner;
}

// Whether the text is empty, which removes a section, or a valid section that
// names its owner as the team.
bool IsValidText(const ConfigEdit& edit) {
  if (edit.m_toml.empty()) {
    return true;
  }
  const auto service =
      util::Catch([&] { return ParseSection(edit.m_section, edit.m_toml); });
  return service && service.m_value->m_team == OwnerOf(edit);
}

}  // namespace

NaiveConfig::Current NaiveConfig::Read(const std::string& section) const {
  Current current;
  std::set<std::string> seen;
  for (std::size_t offset = 0; offset < m_edits.size(); ++offset) {
    const ConfigEdit& edit = m_edits[offset];
    if (!seen.insert(edit.m_edit_id).second || edit.m_section != section) {
      continue;
    }
    const bool exists = !current.m_text.empty();
    const bool accepted = edit.m_based_on == current.m_version &&
                          (!exists || current.m_team == edit.m_team) &&
                          (exists || !edit.m_toml.empty()) &&
                          (exists || OwnerOf(edit) == edit.m_team) &&
                          IsValidText(edit);
    if (accepted) {
      current = {.m_version = offset + 1,
                 .m_text = edit.m_toml,
                 .m_team = OwnerOf(edit)};
    }
  }
  return current;
}

std::uint64_t NaiveConfig::Version(const std::string& section) const {
  return Read(section).m_version;
}

std::string NaiveConfig::Text(const std::string& section) const {
  return Read(section).m_text;
}

std::set<std::string> NaiveConfig::Sections() const {
  std::set<std::string> sections;
  for (const ConfigEdit& edit : m_edits) {
    if (Version(edit.m_section) != 0) {
      sections.insert(edit.m_section);
    }
  }
  return sections;
}

}  // namespace guavacross::naive
