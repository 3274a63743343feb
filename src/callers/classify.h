#ifndef GUAVACROSS_CALLERS_CLASSIFY_H_
#define GUAVACROSS_CALLERS_CLASSIFY_H_

#include <cstdint>
#include <optional>

#include "forwarding/request_forwarder.h"
#include "guavacross/error.h"
#include "guavacross/routing.h"
#include "http/message.h"

namespace guavacross::callers {

/// The label and tenant of requests whose tenant isn't declared.
inline constexpr char kOtherTenant[] = "other";

/// The balancers that a request may have passed.
inline constexpr int kMaxHops = 16;

/// Reads a field that must hold a number from 0 to `max`, if it is there.
/// Errors: `kBadRequest`.
Result<std::optional<std::int64_t>> ReadNumber(const http::Fields& fields,
                                               const char* name,
                                               std::int64_t max);

/// Finds out by the document's rules what a request is: its service (header,
/// else host name), class, tenant, deadline and hops.
///
/// Errors: `kBadRequest`, `kUnknownService`, `kNoMatchingClass`. Thread safe.
Result<forwarding::ForwardRequest> Classify(const Router& router,
                                            const http::RequestHead& head,
                                            TimePoint now);

/// What an answer that refuses a request before it was handled may promise. The
/// copy at hand did not run; but if it carries an idempotency key, an earlier
/// copy may have run, so that nothing is promised.
Outcome RefusalOutcome(const http::RequestHead& head, ErrorKind kind);

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_CLASSIFY_H_
