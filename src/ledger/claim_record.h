#ifndef GUAVACROSS_LEDGER_CLAIM_RECORD_H_
#define GUAVACROSS_LEDGER_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "ledger/ledger_messages.h"

/// One record of the claim stream.
namespace guavacross::ledger {

/// A claim of one attempt to run a request.
struct Claim {
  KeyHash m_key;
  std::uint64_t m_fingerprint = 0;
  std::uint32_t m_attempt = 1;

  bool operator==(const Claim&) const = default;
};

/// The claimant's own attempt ended without running the request.
struct NotRunEnd {
  KeyHash m_key;
  std::uint32_t m_attempt = 1;

  bool operator==(const NotRunEnd&) const = default;
};

/// An older claim, carried forward: appended again before its record expires.
struct CarriedClaim {
  Claim m_claim;
  InstanceId m_holder;
  bool m_ended_not_run = false;
  /// Time since the claim was made, in seconds.
  std::uint32_t m_age_s = 0;

  bool operator==(const CarriedClaim&) const = default;
};

/// States that each key known to the writer has a record at `m_from_offset` or
/// later.
struct Coverage {
  std::uint64_t m_from_offset = 0;
  /// The writer knows all claims of the last `m_known_s` seconds; 0 means all
  /// claims since the start of the stream.
  std::uint64_t m_known_s = 0;

  bool operator==(const Coverage&) const = default;
};

struct ClaimRecord {
  InstanceId m_claimant;
  /// The claimant's wall clock, in milliseconds since 1970.
  std::uint64_t m_wall_ms = 0;
  std::vector<NotRunEnd> m_ends;
  std::vector<Claim> m_claims;
  std::vector<CarriedClaim> m_carried;
  std::optional<Coverage> m_coverage;

  bool operator==(const ClaimRecord&) const = default;
};

std::string EncodeClaimRecord(const ClaimRecord& record);

/// Errors: `kBadMessage` if `data` isn't a record of the current format
/// version, or a carried claim refers to a holder that the record lacks.
Result<ClaimRecord> DecodeClaimRecord(const std::string& data);

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CLAIM_RECORD_H_
