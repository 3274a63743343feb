#ifndef GUAVACROSS_CALLERS_CLASSIFY_H_
#define GUAVACROSS_CALLERS_CLASSIFY_H_

#include <optional>
#include <string>

#include "forwarding/request_forwarder.h"
#include "guavacross/error.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"
#include "http/message.h"

namespace guavacross::callers {

/// Tenant name, also in metric labels, of requests whose tenant isn't declared.
inline constexpr char kOtherTenant[] = "other";

/// Limit of load balancers that a request may have passed.
inline constexpr int kMaxHops = 16;

/// How long a caller waits for the response.
struct CallerDeadline {
  /// As requested by the caller; zero if it gave no time.
  Duration m_requested_timeout{};
  /// The earlier of the caller's and the configured deadline.
  TimePoint m_deadline = TimePoint::max();

  bool operator==(const CallerDeadline&) const = default;
};

/// Reads the caller's timeout in milliseconds from the header field `name`;
/// `limit` is the longest timeout that is allowed, if any. Errors:
/// `kBadRequest`. Thread safe.
Result<CallerDeadline> ReadCallerDeadline(const http::Fields& fields,
                                          const std::string& name,
                                          std::optional<Duration> limit,
                                          TimePoint now);

/// Classifies a request by the configured services: determines its service
/// (from the service header, else from the host name), class, tenant, deadline
/// and hops.
///
/// Errors: `kBadRequest`, `kUnknownService`, `kNoMatchingClass`. Thread safe.
Result<forwarding::ForwardRequest> Classify(const Router& router,
                                            const http::RequestHead& head,
                                            TimePoint now);

/// Returns the outcome to report for a request that was refused before
/// processing. It was not executed itself; but if it carries an idempotency
/// key, an earlier copy may have been, so that the outcome is unknown.
Outcome RefusalOutcome(const http::RequestHead& head, ErrorKind kind);

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_CLASSIFY_H_
