#include "guavacross/error.h"

#include <array>
#include <cstddef>
#include <utility>

namespace guavacross {

namespace {

// Whether the backend server ran the request.
constexpr Outcome kNo = Outcome::kNotRun;
constexpr Outcome kMaybe = Outcome::kUnknown;

// One row per kind, in the order of the enumeration; a unit test checks this.
constexpr std::array kErrorAnswers = {
    ErrorAnswer{ErrorKind::kBadRequest, "bad-request", 400, kNo, 0},
    ErrorAnswer{ErrorKind::kHeaderTooLarge, "header-too-large", 431, kNo, 0},
    ErrorAnswer{ErrorKind::kBodyTooLarge, "body-too-large", 413, kNo, 0},
    ErrorAnswer{ErrorKind::kSlowRequest, "slow-request", 408, kNo, 0},
    ErrorAnswer{ErrorKind::kUnknownService, "unknown-service", 404, kNo, 0},
    ErrorAnswer{ErrorKind::kNoMatchingClass, "no-matching-class", 404, kNo, 0},
    ErrorAnswer{ErrorKind::kUnknownKey, "unknown-key", 401, kNo, 0},
    ErrorAnswer{ErrorKind::kTenantLimit, "tenant-limit", 429, kNo, 1},
    ErrorAnswer{ErrorKind::kKeyMissing, "key-missing", 400, kNo, 0},
    ErrorAnswer{ErrorKind::kKeyConflict, "key-conflict", 422, kMaybe, 0},
    ErrorAnswer{ErrorKind::kKeyExpired, "key-expired", 409, kMaybe, 0},
    ErrorAnswer{ErrorKind::kQuarantined, "quarantined", 422, kMaybe, 0},
    ErrorAnswer{ErrorKind::kNotReady, "not-ready", 503, kNo, 1},
    ErrorAnswer{ErrorKind::kShuttingDown, "shutting-down", 503, kNo, 1},
    ErrorAnswer{ErrorKind::kQueueFull, "queue-full", 503, kNo, 1},
    ErrorAnswer{ErrorKind::kQueueTimeout, "queue-timeout", 503, kNo, 1},
    ErrorAnswer{ErrorKind::kNoTarget, "no-target", 503, kNo, 1},
    ErrorAnswer{ErrorKind::kNoPath, "no-path", 503, kNo, 1},
    ErrorAnswer{ErrorKind::kStoreUnavailable, "store-unavailable", 503, kNo, 2},
    ErrorAnswer{ErrorKind::kTooManyConnections, "too-many-connections", 503,
                kNo, 1},
    ErrorAnswer{ErrorKind::kConnectFailed, "connect-failed", 502, kNo, 1},
    ErrorAnswer{ErrorKind::kBackendRefused, "backend-refused", 503, kNo, 1},
    ErrorAnswer{ErrorKind::kBackendReset, "backend-reset", 502, kMaybe, 0},
    ErrorAnswer{ErrorKind::kBackendTimeout, "backend-timeout", 504, kMaybe, 0},
    ErrorAnswer{ErrorKind::kBackendBadAnswer, "backend-bad-answer", 502, kMaybe,
                0},
    ErrorAnswer{ErrorKind::kDeadlineExpired, "deadline-expired", 504, kNo, 0},
    ErrorAnswer{ErrorKind::kKeyInProgress, "key-in-progress", 409, kMaybe, 1},
    ErrorAnswer{ErrorKind::kOutcomeLost, "outcome-lost", 409, kMaybe, 0},
    ErrorAnswer{ErrorKind::kBadSettings, "bad-settings", 500, kNo, 0},
    ErrorAnswer{ErrorKind::kBadDocument, "bad-document", 400, kNo, 0},
    ErrorAnswer{ErrorKind::kPublishConflict, "publish-conflict", 409, kNo, 0},
    ErrorAnswer{ErrorKind::kLogUnavailable, "log-unavailable", 503, kNo, 2},
    ErrorAnswer{ErrorKind::kLogExpired, "log-expired", 503, kNo, 0},
    ErrorAnswer{ErrorKind::kAppendUnclear, "append-unclear", 503, kMaybe, 2},
    ErrorAnswer{ErrorKind::kPeerUnavailable, "peer-unavailable", 503, kMaybe,
                1},
    ErrorAnswer{ErrorKind::kPeerIncompatible, "peer-incompatible", 503, kMaybe,
                1},
    ErrorAnswer{ErrorKind::kBadMessage, "bad-message", 400, kNo, 0},
    ErrorAnswer{ErrorKind::kCancelled, "cancelled", 499, kMaybe, 0},
    ErrorAnswer{ErrorKind::kInternal, "internal", 500, kMaybe, 0},
};

static_assert(kErrorAnswers.size() ==
                  static_cast<std::size_t>(ErrorKind::kInternal) + 1,
              "every error kind needs a row");

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  return kErrorAnswers[static_cast<std::size_t>(kind)];
}

std::string Describe(const Error& error) {
  return std::string(AnswerFor(error.m_kind).m_name) + ": " + error.m_text;
}

std::span<const ErrorAnswer> AllErrorAnswers() {
  return kErrorAnswers;
}

boost::leaf::error_id Fail(ErrorKind kind, std::string text) {
  return Fail(Error{.m_kind = kind, .m_text = std::move(text)});
}

boost::leaf::error_id Fail(Error error) {
  return boost::leaf::new_error(std::move(error));
}

}  // namespace guavacross
