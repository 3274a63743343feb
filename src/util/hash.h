#ifndef GUAVACROSS_UTIL_HASH_H_
#define GUAVACROSS_UTIL_HASH_H_

#include <cstdint>
#include <string_view>

namespace guavacross::util {

/// The 64-bit XXH3 hash of `text`, combined with `seed`. Chain calls to hash
/// several parts: the parts' boundaries count.
std::uint64_t Hash(std::string_view text, std::uint64_t seed = 0);

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_HASH_H_
