#ifndef GUAVACROSS_DOCUMENT_REFERENCE_H_
#define GUAVACROSS_DOCUMENT_REFERENCE_H_

#include <string>

namespace guavacross::document {

/// Generates the reference of all keys for operators, as Markdown, from the
/// table in keys.h. Thread safe.
std::string Reference();

}  // namespace guavacross::document

#endif  // GUAVACROSS_DOCUMENT_REFERENCE_H_
