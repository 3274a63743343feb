#ifndef GUAVACROSS_DOCUMENT_NAMES_H_
#define GUAVACROSS_DOCUMENT_NAMES_H_

#include <algorithm>
#include <string_view>

namespace guavacross::document {

inline constexpr std::size_t kMaxNameLength = 64;

/// Whether `name` is a valid name of a section, team, zone, target, class or
/// tenant: 1 to 64 letters, digits, `.`, `_` or `-`. Thread safe.
inline bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

}  // namespace guavacross::document

#endif  // GUAVACROSS_DOCUMENT_NAMES_H_
