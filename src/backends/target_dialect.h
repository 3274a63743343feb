#ifndef GUAVACROSS_BACKENDS_TARGET_DIALECT_H_
#define GUAVACROSS_BACKENDS_TARGET_DIALECT_H_

#include <functional>
#include <string>

#include "guavacross/routing.h"
#include "http/message.h"

namespace guavacross::backends {

/// Whether a backend server refused a request, according to its response.
enum class Refusal {
  /// Not refused: the request was executed, or may have been.
  kNone,
  /// Refused before any of it was executed.
  kNotRun,
  /// Refused by a backend server other than the intended one.
  kWrongTarget,
};

/// The HTTP conventions used with backend servers: header names of requests,
/// and how to interpret response headers. A header whose name is empty is not
/// sent.
struct TargetDialect {
  /// Time left until the request's deadline, in milliseconds.
  std::string m_deadline_header;
  /// Number of load balancers that the request has passed.
  std::string m_hops_header;
  /// Name of the intended target; other targets refuse the request.
  std::string m_expected_target_header;
  /// Identifies the request; the response echoes it.
  std::string m_request_id_header;
  /// Whether all responses to requests echo the id. Those to health checks
  /// don't.
  bool m_responses_have_id = false;
  /// Name of the tenant whose key the caller sent.
  std::string m_tenant_header;
  /// The caller's key, which is not passed on to backend servers.
  std::string m_key_header;

  /// Parses the load that the sender of a response reports.
  std::function<LoadReport(const http::ResponseHead&)> m_read_load;
  std::function<Refusal(const http::ResponseHead&)> m_read_refusal;
  /// Whether a response comes from a backend server, judged by its header, and
  /// not from something in between.
  std::function<bool(const http::ResponseHead&)> m_is_from_backend;
  /// Name of the target that sent the response; empty if not given.
  std::function<std::string(const http::Fields&)> m_read_target;
};

/// The default conventions, defined by this project.
const TargetDialect& DefaultTargetDialect();

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_TARGET_DIALECT_H_
