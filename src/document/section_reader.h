#ifndef GUAVACROSS_DOCUMENT_SECTION_READER_H_
#define GUAVACROSS_DOCUMENT_SECTION_READER_H_

#include <string>

#include "guavacross/document.h"
#include "util/toml_reader.h"

namespace guavacross::document {

/// Whether `name` may name a section, team, target, class or tenant: 1 to 64
/// letters, digits, `.`, `_` or `-`. Thread safe.
bool IsName(std::string_view name);

/// Reads one section from its table; errors are kept in the reader.
ServiceConfig ReadSection(const std::string& name, util::TomlReader reader);

}  // namespace guavacross::document

#endif  // GUAVACROSS_DOCUMENT_SECTION_READER_H_
