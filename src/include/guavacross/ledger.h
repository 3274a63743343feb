#ifndef GUAVACROSS_LEDGER_H_
#define GUAVACROSS_LEDGER_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/outcome.h"

/// The claims ledger, which lets a non-repeatable request run at most once,
/// whichever instances its copies reach.
namespace guavacross {

/// Identifies a non-repeatable request: the service, the tenant and the
/// caller's `Idempotency-Key`.
struct RequestKey {
  std::string m_service;
  std::string m_tenant;
  std::string m_key;

  auto operator<=>(const RequestKey&) const = default;
};

/// A recorded answer, small enough to be stored and sent again.
struct RecordedAnswer {
  int m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  bool operator==(const RecordedAnswer&) const = default;
};

/// The ledger's decision on a claim.
struct ClaimDecision {
  enum class Kind {
    /// This instance holds the claim: run the request once, then call `finish`.
    kRun,
    /// The request ran before: send the recorded answer.
    kReplay,
    /// Answer with `m_error`; this copy must not run.
    kRefuse,
  };
  Kind m_kind = Kind::kRefuse;
  RecordedAnswer m_answer;
  Error m_error;

  bool operator==(const ClaimDecision&) const = default;
};

/// How a claimed request ended.
struct ClaimEnd {
  Outcome m_outcome = Outcome::kUnknown;
  /// The complete answer, for `kDone`.
  RecordedAnswer m_answer;

  bool operator==(const ClaimEnd&) const = default;
};

/// The data path's interface to the ledger. Thread safe. The callback runs on
/// the ledger's thread and must post its work to the caller's thread.
struct LedgerAccess {
  /// Requests a claim. `fingerprint` is a hash of method, path and body: a
  /// known key with another fingerprint is refused with `kKeyConflict`.
  std::function<void(const RequestKey& key,
                     std::uint64_t fingerprint,
                     std::function<void(ClaimDecision)>)>
      m_claim;
  /// Ends a claim whose decision was `kRun`. Call exactly once.
  std::function<void(const RequestKey& key, ClaimEnd end)> m_finish;
};

}  // namespace guavacross

#endif  // GUAVACROSS_LEDGER_H_
