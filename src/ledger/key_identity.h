#ifndef GUAVACROSS_LEDGER_KEY_IDENTITY_H_
#define GUAVACROSS_LEDGER_KEY_IDENTITY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "guavacross/identity.h"
#include "guavacross/ledger.h"
#include "guavacross/time.h"
#include "ledger/ledger_messages.h"

/// Formats of an `Idempotency-Key`.
///
/// Three forms are distinguished: keys of an identity that an instance minted
/// (`gx1.<instance>.<incarnation>.<nonce>.<sequence>`), UUIDs of version 7 (RFC
/// 9562), which contain the time at which the caller made them, and opaque
/// keys.
namespace guavacross::ledger {

/// Hashes service, tenant and key.
KeyHash HashKey(const RequestKey& key);

/// Hash function for unordered containers with `KeyHash` keys.
struct KeyHashHasher {
  std::size_t operator()(const KeyHash& key) const { return key.m_low; }
};

/// An identity that an instance minted for a caller.
struct MintedIdentity {
  InstanceId m_minter;
  /// When it was minted, in milliseconds since the start of the minter's
  /// incarnation.
  std::uint64_t m_minted_ms = 0;
  /// Distinguishes identities minted within the same millisecond.
  std::uint64_t m_random = 0;

  bool operator==(const MintedIdentity&) const = default;
};

/// The identity as callers see it, without a sequence.
std::string FormatIdentity(const MintedIdentity& identity);

/// The identity in a caller's key, or nothing for any other key.
std::optional<MintedIdentity> ParseMintedKey(std::string_view key);

/// The time in a version 7 UUID, or nothing for any other key.
std::optional<WallTime> ParseKeyTime(std::string_view key);

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_KEY_IDENTITY_H_
