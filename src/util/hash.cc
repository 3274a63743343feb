#include "util/hash.h"

#include <xxhash.h>

namespace guavacross::util {

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace guavacross::util
