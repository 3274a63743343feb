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

/// At most one run for a non-repeatable request, whichever instances its
/// copies reach.
namespace guavacross {

/// Names a non-repeatable request: a service, a tenant and the caller's
/// `Idempotency-Key`.
struct RequestKey {
  std::string m_service;
  std::string m_tenant;
  std::string m_key;

  auto operator<=>(const RequestKey&) const = default;
};

/// A recorded answer, small enough to be kept and sent again.
struct RecordedAnswer {
  int m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  bool operator==(const RecordedAnswer&) const = default;
};

/// What a caller's request is allowed to do.
struct ClaimDecision {
  enum class Kind {
    /// This instance holds the claim: run the request once, then call `finish`.
    kRun,
    /// The request ran before: send the recorded answer.
    kReplay,
    /// Answer with `m_error`; nothing of this copy may run.
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

/// The ledger as the data path sees it. Callable on any thread; the callback
/// comes on the ledger's own thread and must move to the caller's.
struct LedgerAccess {
  /// Asks to run a request. `fingerprint` hashes method, path and body: the
  /// same key with another fingerprint is refused with `kKeyConflict`.
  std::function<void(const RequestKey& key,
                     std::uint64_t fingerprint,
                     std::function<void(ClaimDecision)>)>
      m_claim;
  /// Ends a claim that was decided as `kRun`. Call exactly once.
  std::function<void(const RequestKey& key, ClaimEnd end)> m_finish;
};

}  // namespace guavacross

#endif  // GUAVACROSS_LEDGER_H_
