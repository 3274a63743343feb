#ifndef GUAVACROSS_DOCUMENT_SECTION_READER_H_
#define GUAVACROSS_DOCUMENT_SECTION_READER_H_

#include <string>

#include "guavacross/document.h"
#include "util/toml_reader.h"

namespace guavacross::document {

/// Reads one section from its table; errors are kept in the reader.
ServiceConfig ReadSection(const std::string& name, util::TomlReader reader);

}  // namespace guavacross::document

#endif  // GUAVACROSS_DOCUMENT_SECTION_READER_H_
