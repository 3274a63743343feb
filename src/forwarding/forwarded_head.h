#ifndef GUAVACROSS_FORWARDING_FORWARDED_HEAD_H_
#define GUAVACROSS_FORWARDING_FORWARDED_HEAD_H_

#include <cstddef>
#include <optional>

#include "guavacross/time.h"
#include "http/message.h"

namespace guavacross::forwarding {

/// The head that goes to a backend server: hop-by-hop fields and `Expect`
/// removed, hops counted up, the remaining time set.
///
/// `body_bytes` is the body's length if it is known; otherwise the framing is
/// the caller's.
http::RequestHead HeadForBackend(const http::RequestHead& from_caller,
                                 int hops,
                                 std::optional<Duration> remaining,
                                 std::optional<std::size_t> body_bytes);

/// The head that goes to the caller: hop-by-hop fields and what concerns
/// guavacross alone removed, the outcome set to done.
http::ResponseHead HeadForCaller(const http::ResponseHead& from_backend);

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_FORWARDED_HEAD_H_
