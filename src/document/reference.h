#ifndef GUAVACROSS_DOCUMENT_REFERENCE_H_
#define GUAVACROSS_DOCUMENT_REFERENCE_H_

#include <string>

namespace guavacross::document {

/// The operators' reference of all keys, as Markdown, from the table of keys.
/// Thread safe.
std::string Reference();

}  // namespace guavacross::document

#endif  // GUAVACROSS_DOCUMENT_REFERENCE_H_
