#ifndef GUAVACROSS_LEDGER_LEDGER_MESSAGES_H_
#define GUAVACROSS_LEDGER_LEDGER_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/ledger.h"

/// Messages between the ledgers of two instances.
///
/// The peers package sends them over gRPC.
namespace guavacross::ledger {

/// A 128-bit hash that identifies a `RequestKey` in the log, in tables and in
/// messages between instances.
struct KeyHash {
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misread by clang-tidy 14.
  auto operator<=>(const KeyHash&) const = default;
};

/// A question about one key.
struct LedgerQuestion {
  enum class Kind {
    /// How did attempt `m_attempt`, held by the asked instance, end?
    kHowEnded,
    /// Does the asked instance know of any copy of the request?
    kIsKnown,
    /// May the asker run the request? For keys of an identity that the asked
    /// instance minted, or whose minter handed its table over to it.
    kMayRun,
  };
  Kind m_kind = Kind::kHowEnded;
  /// The instance that asks.
  InstanceId m_asker;
  KeyHash m_key;
  std::uint64_t m_fingerprint = 0;
  std::uint32_t m_attempt = 0;
  /// For `kMayRun`: the instance that minted the key's identity, and how long
  /// after that instance's start it did so.
  InstanceId m_minter;
  std::uint64_t m_minted_ms = 0;

  bool operator==(const LedgerQuestion&) const = default;
};

/// The answer to a question.
struct LedgerReply {
  enum class Status {
    /// No reply: the instance could not be reached in time.
    kUnreachable,
    /// The asked instance has no knowledge of this key and attempt and will
    /// never run that attempt.
    kNone,
    /// A copy is waiting for its claim or running.
    kInProgress,
    /// The request ended with a complete answer, `m_answer`.
    kDone,
    /// The request ran, or may have run; its answer isn't kept.
    kUnknown,
    /// The attempt ended without running the request.
    kNotRun,
    /// The key was used for a request with another fingerprint.
    kConflict,
    /// For `kMayRun`: the asker holds attempt `m_attempt` from now on.
    kGranted,
    /// For `kMayRun`: the identity is past its lifetime.
    kExpired,
    /// For `kMayRun`: the ledger is full and the request has not run on any
    /// instance.
    kFull,
  };
  Status m_status = Status::kUnreachable;
  std::uint32_t m_attempt = 0;
  RecordedAnswer m_answer;

  bool operator==(const LedgerReply&) const = default;
};

/// One entry of the table that an instance hands over when it shuts down.
struct HandedClaim {
  KeyHash m_key;
  std::uint64_t m_fingerprint = 0;
  std::uint32_t m_attempt = 0;
  /// Whether the key belongs to a minted identity.
  bool m_minted = false;
  /// The instance that was granted the right to run the request. If it is set,
  /// `m_end` has no meaning.
  std::optional<InstanceId> m_given_to;
  ClaimEnd m_end;

  bool operator==(const HandedClaim&) const = default;
};

/// A part of the table that an instance hands over to a peer when it shuts
/// down.
struct LedgerHandover {
  InstanceId m_from;
  std::vector<HandedClaim> m_claims;
  /// Set in the last part: the receiver has the whole table and from now on is
  /// the only instance that grants requests of identities that the incarnations
  /// in `m_minters` minted.
  bool m_last = false;
  std::vector<InstanceId> m_minters;
  /// Age of each incarnation in `m_minters`, in milliseconds; the receiver
  /// computes the age of identities from it.
  std::vector<std::uint64_t> m_ages_ms;

  bool operator==(const LedgerHandover&) const = default;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_LEDGER_MESSAGES_H_
