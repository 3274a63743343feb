#ifndef GUAVACROSS_BACKENDS_TARGET_DIALECT_H_
#define GUAVACROSS_BACKENDS_TARGET_DIALECT_H_

#include <functional>
#include <string>

#include "guavacross/routing.h"
#include "http/message.h"

namespace guavacross::backends {

/// What an answer says of whether the request was run.
enum class Refusal {
  /// It was run, or may have been.
  kNone,
  /// Refused before anything of it was run.
  kNotRun,
  /// Refused by another backend server than the one that was meant.
  kWrongTarget,
};

/// How backend servers are spoken to: the header names that they know, and what
/// their answers' headers mean. A name that is empty is not used.
struct TargetDialect {
  /// Milliseconds that remain for the request.
  std::string m_deadline_header;
  /// Balancers passed so far.
  std::string m_hops_header;
  /// Names the target that is meant; others refuse the request.
  std::string m_expected_target_header;
  /// Identifies the request; the answer repeats it.
  std::string m_request_id_header;

  /// What an answer says of its sender's load.
  std::function<LoadReport(const http::Fields&)> m_read_load;
  std::function<Refusal(const http::ResponseHead&)> m_read_refusal;
  /// Whether an answer was made by a backend server, as far as its head tells.
  std::function<bool(const http::ResponseHead&)> m_is_genuine;
  /// The name of the answering target; empty if it isn't told.
  std::function<std::string(const http::Fields&)> m_read_target;
};

/// The project's own interface to backend servers.
const TargetDialect& OwnTargetDialect();

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_TARGET_DIALECT_H_
