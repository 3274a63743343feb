#ifndef GUAVACROSS_UTIL_HASH_H_
#define GUAVACROSS_UTIL_HASH_H_

#include <cstdint>
#include <string_view>

namespace guavacross::util {

/// The 64-bit XXH3 hash of `text` with `seed`. To hash several strings, pass
/// the previous hash as the seed; their boundaries affect the result.
std::uint64_t Hash(std::string_view text, std::uint64_t seed = 0);

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_HASH_H_
