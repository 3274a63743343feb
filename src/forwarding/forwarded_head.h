#ifndef GUAVACROSS_FORWARDING_FORWARDED_HEAD_H_
#define GUAVACROSS_FORWARDING_FORWARDED_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>

#include "backends/target_dialect.h"
#include "guavacross/time.h"
#include "http/message.h"

namespace guavacross::forwarding {

/// What a request to a backend server says beside the caller's own fields.
struct BackendFields {
  /// Number of load balancers that the request has passed before this one.
  int m_hops = 0;
  /// Time until the deadline, if there is one.
  std::optional<Duration> m_remaining;
  /// The body's length if it is known; otherwise the framing is the caller's.
  std::optional<std::size_t> m_body_bytes;
  /// The verified tenant, empty if the request needs none; nothing if the
  /// deployment has no tenants, whose fields are then the caller's own.
  std::optional<std::string> m_tenant;
  /// Name of the target that the request is meant for.
  std::string m_target;
  /// The mark for a peer that sends the request to a target; otherwise empty.
  std::string m_relay_mark;
};

/// The request head that is sent to a backend server: without hop-by-hop fields
/// and `Expect`, and with `backend_fields` added under the header names of
/// `dialect`.
http::RequestHead HeadForBackend(const http::RequestHead& from_caller,
                                 const BackendFields& backend_fields,
                                 const backends::TargetDialect& dialect);

/// The answer head that is sent to the caller: without hop-by-hop fields and
/// fields meant only for guavacross, and with the outcome `done`.
http::ResponseHead HeadForCaller(const http::ResponseHead& from_backend);

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_FORWARDED_HEAD_H_
