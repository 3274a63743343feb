#include "document/reference.h"

#include <cstdint>
#include <optional>

#include "document/keys.h"
#include "guavacross/document.h"

namespace guavacross::document {

namespace {

constexpr char kIntroduction[] =
    "# The configuration document\n"
    "\n"
    "This page is printed by `guavacross check --reference`; a test compares "
    "the two.\n"
    "\n"
    "A document is TOML. It holds a section per service, `[section.NAME]`, "
    "where NAME is the service's name as callers send it: 1 to 64 letters, "
    "digits, dots, underscores or hyphens. A section belongs to one team and "
    "is "
    "published alone. The tables below stand inside of a section: `[[target]]` "
    "is written `[[section.NAME.target]]` in a document. `examples/` has a "
    "complete document for each deployment.\n"
    "\n"
    "`guavacross check FILE` names the line, column and key of the first "
    "error. "
    "Unknown keys, wrong types, numbers out of range, a section, target, class "
    "or tenant that stands twice, a class that no request can reach, and a "
    "hedge "
    "on a class that isn't repeatable are errors.\n"
    "\n"
    "The document may name its schema in a key `schema` at the top; this "
    "release reads schema ";

std::string TypeText(KeyType type) {
  switch (type) {
    case KeyType::kName:
      return "name";
    case KeyType::kString:
      return "string";
    case KeyType::kStringArray:
      return "array of strings";
    case KeyType::kAddress:
      return "string, `ip:port`";
    case KeyType::kBool:
      return "true or false";
    case KeyType::kInt:
      return "whole number";
    case KeyType::kReal:
      break;
  }
  return "number";
}

std::string RangeText(const KeySpec& spec) {
  if (spec.m_type != KeyType::kInt && spec.m_type != KeyType::kReal) {
    return "";
  }
  // All limits are whole numbers, also those of real-valued keys.
  return std::to_string(static_cast<std::int64_t>(spec.m_min)) + " to " +
         std::to_string(static_cast<std::int64_t>(spec.m_max));
}

std::string HeadingText(KeyTable table) {
  const std::string heading(Heading(table));
  return heading.empty() ? "In the section itself" : "`" + heading + "`";
}

void AddRow(const KeySpec& spec, std::string* text) {
  const std::string fallback =
      spec.m_required ? "required" : "`" + std::string(spec.m_default) + "`";
  *text += "| `" + std::string(spec.m_name) + "` | " + TypeText(spec.m_type) +
           " | " + std::string(spec.m_unit) + " | " + fallback + " | " +
           RangeText(spec) + " | " + std::string(spec.m_effect) + " |\n";
}

}  // namespace

std::string Reference() {
  std::string text = kIntroduction + std::to_string(kDocumentSchema) + ".\n";
  std::optional<KeyTable> table;
  for (const KeySpec& spec : AllKeys()) {
    if (table != spec.m_table) {
      table = spec.m_table;
      text += "\n## " + HeadingText(spec.m_table) +
              "\n\n| Key | Type | Unit | Default | Range | Effect |\n"
              "|---|---|---|---|---|---|\n";
    }
    AddRow(spec, &text);
  }
  return text;
}

}  // namespace guavacross::document
