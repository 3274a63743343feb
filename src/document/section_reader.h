#ifndef GUAVACROSS_DOCUMENT_SECTION_READER_H_
#define GUAVACROSS_DOCUMENT_SECTION_READER_H_

#include <string>

#include "guavacross/document.h"
#include "util/toml_reader.h"

namespace guavacross::document {

/// Reads one section from its table. Errors are collected in `reader`, to be
/// reported by `TomlReader::Finish`.
ServiceConfig ReadSection(const std::string& name, util::TomlReader reader);

}  // namespace guavacross::document

#endif  // GUAVACROSS_DOCUMENT_SECTION_READER_H_
