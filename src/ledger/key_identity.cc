#include "ledger/key_identity.h"

#include <array>
#include <charconv>
#include <chrono>

#include "util/hash.h"

namespace guavacross::ledger {

namespace {

constexpr std::string_view kIdentityPrefix = "gx1.";
constexpr std::uint64_t kHighSeed = 0x67783168;
constexpr std::uint64_t kLowSeed = 0x6778316c;
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionIndex = 14;
constexpr int kHex = 16;

std::uint64_t HashParts(const RequestKey& key, std::uint64_t seed) {
  return util::Hash(key.m_key,
                    util::Hash(key.m_tenant, util::Hash(key.m_service, seed)));
}

// Dots separate an identity's parts, so a name's own dots are escaped.
std::string EscapeName(std::string_view name) {
  std::string escaped;
  for (const char c : name) {
    if (c == '.') {
      escaped += "%2e";
    } else if (c == '%') {
      escaped += "%25";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string UnescapeName(std::string_view escaped) {
  std::string name;
  for (std::size_t i = 0; i < escaped.size(); ++i) {
    if (escaped.substr(i, 3) == "%2e") {
      name += '.';
      i += 2;
    } else if (escaped.substr(i, 3) == "%25") {
      name += '%';
      i += 2;
    } else {
      name += escaped[i];
    }
  }
  return name;
}

std::string ToHex(std::uint64_t value) {
  std::array<char, kHex> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, kHex);
  return {digits.data(), end.ptr};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, base);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

// Removes the part up to the first `separator`, inclusive, from `text` and
// returns it without the separator.
std::optional<std::string_view> TakePart(std::string_view* text,
                                         char separator) {
  const std::size_t at = text->find(separator);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view part = text->substr(0, at);
  text->remove_prefix(at + 1);
  return part;
}

bool IsUuid(std::string_view key) {
  if (key.size() != kUuidLength) {
    return false;
  }
  for (std::size_t i = 0; i < key.size(); ++i) {
    const bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool is_hex = (key[i] >= '0' && key[i] <= '9') ||
                        (key[i] >= 'a' && key[i] <= 'f') ||
                        (key[i] >= 'A' && key[i] <= 'F');
    if (is_dash ? key[i] != '-' : !is_hex) {
      return false;
    }
  }
  return true;
}

}  // namespace

KeyHash HashKey(const RequestKey& key) {
  return {.m_high = HashParts(key, kHighSeed),
          .m_low = HashParts(key, kLowSeed)};
}

std::string FormatIdentity(const MintedIdentity& identity) {
  return std::string(kIdentityPrefix) + EscapeName(identity.m_minter.m_name) +
         "." + std::to_string(identity.m_minter.m_incarnation) + "." +
         ToHex(identity.m_minted_ms) + "-" + ToHex(identity.m_random);
}

std::optional<MintedIdentity> ParseMintedKey(std::string_view key) {
  if (!key.starts_with(kIdentityPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kIdentityPrefix.size());
  const auto name = TakePart(&key, '.');
  const auto incarnation = TakePart(&key, '.');
  const auto minted = TakePart(&key, '-');
  const auto random = TakePart(&key, '.');
  if (!name || !incarnation || !minted || !random || key.empty()) {
    return std::nullopt;
  }
  const auto incarnation_number = ParseNumber(*incarnation, 10);
  const auto minted_ms = ParseNumber(*minted, kHex);
  const auto random_number = ParseNumber(*random, kHex);
  if (!incarnation_number || !minted_ms || !random_number) {
    return std::nullopt;
  }
  return MintedIdentity{.m_minter = {.m_name = UnescapeName(*name),
                                     .m_incarnation = *incarnation_number},
                        .m_minted_ms = *minted_ms,
                        .m_random = *random_number};
}

std::optional<WallTime> ParseKeyTime(std::string_view key) {
  if (!IsUuid(key) || key[kUuidVersionIndex] != '7') {
    return std::nullopt;
  }
  const std::string digits =
      std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
  const auto unix_ms = ParseNumber(digits, kHex);
  if (!unix_ms) {
    return std::nullopt;
  }
  return WallTime(std::chrono::milliseconds(*unix_ms));
}

}  // namespace guavacross::ledger
