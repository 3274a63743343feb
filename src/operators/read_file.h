#ifndef GUAVACROSS_OPERATORS_READ_FILE_H_
#define GUAVACROSS_OPERATORS_READ_FILE_H_

#include <optional>
#include <string>

namespace guavacross::operators {

/// Returns the content of a file, or nothing if it can't be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_READ_FILE_H_
