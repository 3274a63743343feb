#include "guavacross/document.h"

#include <algorithm>
#include <boost/leaf/error.hpp>

#include "document/section_reader.h"
#include "util/toml_reader.h"

namespace guavacross {

namespace {

using util::Presence;
using util::TomlReader;

std::string UnknownSchemaMessage(std::int64_t schema) {
  return "this release reads schema " + std::to_string(kDocumentSchema) +
         ", not schema " + std::to_string(schema);
}

// Reads the optional key `schema`, which must be this release's schema.
void ReadSchema(TomlReader& reader) {
  std::int64_t schema = kDocumentSchema;
  reader.ReadInt("schema", Presence::kOptional, std::int64_t{1},
                 std::int64_t{1000000}, &schema);
  if (schema != kDocumentSchema) {
    reader.FailAt("schema", UnknownSchemaMessage(schema));
  }
}

}  // namespace

Result<ServiceConfig> ParseSection(std::string_view name,
                                   std::string_view toml,
                                   int schema) {
  if (schema != kDocumentSchema) {
    return Fail(ErrorKind::kBadDocument,
                "line 1, column 1: schema: " + UnknownSchemaMessage(schema));
  }
  TomlReader reader = TomlReader::Parse(toml, ErrorKind::kBadDocument);
  ServiceConfig service = document::ReadSection(std::string(name), reader);
  BOOST_LEAF_CHECK(reader.Finish());
  return service;
}

Result<std::vector<ServiceConfig>> ParseDocument(std::string_view toml) {
  TomlReader reader = TomlReader::Parse(toml, ErrorKind::kBadDocument);
  ReadSchema(reader);
  std::vector<ServiceConfig> services;
  for (const auto& [name, table] :
       reader.NamedTables("section", Presence::kRequired)) {
    services.push_back(document::ReadSection(name, table));
  }
  BOOST_LEAF_CHECK(reader.Finish());
  return services;
}

Result<std::vector<SectionText>> SplitDocument(std::string_view toml) {
  BOOST_LEAF_AUTO(services, ParseDocument(toml));
  TomlReader reader = TomlReader::Parse(toml, ErrorKind::kBadDocument);
  const auto tables = reader.NamedTables("section", Presence::kRequired);
  std::vector<SectionText> sections;
  for (std::size_t i = 0; i < tables.size(); ++i) {
    sections.push_back({.m_name = tables[i].first,
                        .m_team = services[i].m_team,
                        .m_toml = tables[i].second.Text()});
  }
  return sections;
}

const ClassConfig* FindClass(const ServiceConfig& service,
                             std::string_view method,
                             std::string_view path) {
  for (const ClassConfig& candidate : service.m_classes) {
    const auto& methods = candidate.m_methods;
    const bool method_matches =
        methods.empty() ||
        std::find(methods.begin(), methods.end(), method) != methods.end();
    if (method_matches && path.starts_with(candidate.m_path_prefix)) {
      return &candidate;
    }
  }
  return nullptr;
}

}  // namespace guavacross
