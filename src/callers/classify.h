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

/// The label and tenant of requests whose tenant isn't declared.
inline constexpr char kOtherTenant[] = "other";

/// The balancers that a request may have passed.
inline constexpr int kMaxHops = 16;

/// How long a caller waits.
struct CallerPatience {
  /// By its own word; zero if it didn't say.
  Duration m_asked{};
  /// The earlier of its own word's end and of the limit's.
  TimePoint m_deadline = TimePoint::max();

  bool operator==(const CallerPatience&) const = default;
};

/// Reads how many milliseconds a caller says in the field `name` that it waits;
/// `limit` is the longest time that is allowed, if any. Errors: `kBadRequest`.
/// Thread safe.
Result<CallerPatience> ReadPatience(const http::Fields& fields,
                                    const std::string& name,
                                    std::optional<Duration> limit,
                                    TimePoint now);

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
