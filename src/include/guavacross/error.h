#ifndef GUAVACROSS_ERROR_H_
#define GUAVACROSS_ERROR_H_

#include <boost/leaf/result.hpp>
#include <compare>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "guavacross/outcome.h"
#include "guavacross/time.h"

/// Errors: a closed list of kinds, and a table of the answer to each kind.
///
/// Functions that can fail return `Result<T>` and fail with
/// `return Fail(ErrorKind::kX, "text")`. Callers that need the reason call them
/// through `util::Handle`, which passes the `Error` to a handler.
namespace guavacross {

/// Every way in which guavacross can fail.
enum class ErrorKind {
  // The caller's request is invalid or not allowed.
  kBadRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kSlowRequest,
  kUnknownService,
  kNoMatchingClass,
  kUnknownKey,
  kTenantLimit,
  kKeyMissing,
  kKeyConflict,
  kKeyExpired,
  kQuarantined,
  // The system can't take the request now.
  kNotReady,
  kShuttingDown,
  kQueueFull,
  kQueueTimeout,
  kNoTarget,
  kNoPath,
  kStoreUnavailable,
  kTooManyConnections,
  // A backend server failed.
  kConnectFailed,
  kBackendRefused,
  kBackendReset,
  kBackendTimeout,
  kBackendBadAnswer,
  kDeadlineExpired,
  // An earlier copy of a non-repeatable request is known.
  kKeyInProgress,
  kOutcomeLost,
  // Configuration, platform and peers.
  kBadSettings,
  kBadDocument,
  kPublishConflict,
  kLogUnavailable,
  kLogExpired,
  kAppendUnclear,
  kPeerUnavailable,
  kPeerIncompatible,
  kBadMessage,
  kCancelled,
  kInternal,
};

/// An error: its kind and a text that describes this occurrence.
struct Error {
  ErrorKind m_kind = ErrorKind::kInternal;
  std::string m_text;
  /// Time after which the request may be sent again; zero if unknown.
  Duration m_retry_after{};

  bool operator==(const Error&) const = default;
};

/// How guavacross answers a caller for one kind of error.
struct ErrorAnswer {
  ErrorKind m_kind;
  /// The stable name in headers, logs and metrics, for example `queue-full`.
  std::string_view m_name;
  /// The HTTP status.
  int m_http_status;
  /// The outcome that the caller is told, unless an earlier attempt of the
  /// request leaves it less certain.
  Outcome m_outcome;
  /// Seconds for `Retry-After`; 0 leaves the header out.
  int m_retry_after_s;
};

/// The table's row for `kind`. Thread safe.
const ErrorAnswer& AnswerFor(ErrorKind kind);

/// The error as one line for logs and answers: `queue-full: TEXT`.
/// Thread safe.
std::string Describe(const Error& error);

/// The whole table, one row for each kind in the order of the enumeration.
std::span<const ErrorAnswer> AllErrorAnswers();

/// A value or an error.
template <class T>
using Result = boost::leaf::result<T>;

/// Makes a failed result: `return Fail(ErrorKind::kBadRequest, "no host");`
boost::leaf::error_id Fail(ErrorKind kind, std::string text);
boost::leaf::error_id Fail(Error error);

}  // namespace guavacross

#endif  // GUAVACROSS_ERROR_H_
