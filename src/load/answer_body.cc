#include "load/answer_body.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <span>

#include "util/hash.h"

namespace guavacross::load {

namespace {

// Characters of the identity in each block; longer identities are truncated.
constexpr int kIdWidth = 40;
// Digits of the block number. With the identity, a space and a line feed they
// fill the block.
constexpr int kNumberWidth = 22;
static_assert(kIdWidth + 1 + kNumberWidth + 1 == kAnswerBlockBytes);

// Increments the zero-padded unsigned decimal number in `digits`.
void Increment(std::span<char> digits) {
  for (auto digit = digits.rbegin(); digit != digits.rend(); ++digit) {
    if (*digit != '9') {
      ++*digit;
      return;
    }
    *digit = '0';
  }
}

}  // namespace

std::string AnswerBytes(std::string_view id,
                        std::uint64_t total,
                        std::uint64_t offset,
                        std::size_t size) {
  const std::uint64_t end =
      size < total - std::min(total, offset) ? offset + size : total;
  if (offset >= end) {
    return {};
  }
  std::array<char, kAnswerBlockBytes + 1> block{};
  const int id_size =
      static_cast<int>(std::min<std::size_t>(id.size(), kIdWidth));
  std::snprintf(block.data(), block.size(), "%-*.*s %0*llu\n", kIdWidth,
                id_size, id.data(), kNumberWidth,
                static_cast<unsigned long long>(offset / kAnswerBlockBytes));
  const std::span<char> number(block.data() + kIdWidth + 1, kNumberWidth);
  const std::size_t skipped = offset % kAnswerBlockBytes;
  const std::size_t wanted = end - offset;
  std::string bytes;
  bytes.reserve(skipped + wanted + kAnswerBlockBytes);
  while (bytes.size() < skipped + wanted) {
    bytes.append(block.data(), kAnswerBlockBytes);
    Increment(number);
  }
  bytes.resize(skipped + wanted);
  return skipped == 0 ? bytes : bytes.substr(skipped);
}

bool IsAnswerOf(std::string_view id,
                std::uint64_t offset,
                std::string_view bytes) {
  return AnswerBytes(id, UINT64_MAX, offset, bytes.size()) == bytes;
}

std::string BodyHash(std::string_view body) {
  return FormatHash(util::Hash(body));
}

std::string FormatHash(std::uint64_t hash) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(hash));
  return text.data();
}

}  // namespace guavacross::load
