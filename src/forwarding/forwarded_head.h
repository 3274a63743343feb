#ifndef GUAVACROSS_FORWARDING_FORWARDED_HEAD_H_
#define GUAVACROSS_FORWARDING_FORWARDED_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>

#include "backends/target_dialect.h"
#include "guavacross/time.h"
#include "http/message.h"

namespace guavacross::forwarding {

/// What is told to a backend server beside the caller's own fields.
struct BackendFields {
  /// Balancers that the request has passed before this one.
  int m_hops = 0;
  /// Time until the deadline, if there is one.
  std::optional<Duration> m_remaining;
  /// The body's length if it is known; otherwise the framing is the caller's.
  std::optional<std::size_t> m_body_bytes;
  /// The target that is meant.
  std::string m_target;
};

/// The head that goes to a backend server: hop-by-hop fields and `Expect`
/// removed, and `told` added in the words of `dialect`.
http::RequestHead HeadForBackend(const http::RequestHead& from_caller,
                                 const BackendFields& told,
                                 const backends::TargetDialect& dialect);

/// The head that goes to the caller: hop-by-hop fields and what concerns
/// guavacross alone removed, the outcome set to done.
http::ResponseHead HeadForCaller(const http::ResponseHead& from_backend);

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_FORWARDED_HEAD_H_
