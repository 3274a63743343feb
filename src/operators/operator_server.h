#ifndef GUAVACROSS_OPERATORS_OPERATOR_SERVER_H_
#define GUAVACROSS_OPERATORS_OPERATOR_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "guavacross/identity.h"
#include "operators/instance_status.h"

namespace guavacross::operators {

/// Whether this instance may receive requests, and if not, the reason.
struct Readiness {
  bool m_ready = false;
  std::string m_reason;

  bool operator==(const Readiness&) const = default;
};

/// Data sources of `OperatorServer`. They are called on the control thread.
struct OperatorHooks {
  std::function<Readiness()> m_readiness;
  std::function<InstanceStatus()> m_status;
  /// Returns the row of one section in force, if there is one. Separate from
  /// `m_status` because `publish` polls it, and the other fields of a status
  /// cost much more to collect.
  std::function<std::optional<SectionRow>(const std::string&)> m_section;
  std::function<std::string()> m_metrics;
};

/// HTTP server for operators, on a separate address that callers don't use:
///
///     /healthz        200 while the control thread runs
///     /readyz         200, or 503 with the reason
///     /metrics        metrics in the Prometheus text format
///     /status         HTML page; ?service=NAME for one service's targets
///     /status.json    the same data as JSON
///     /sections.json  versions in force; ?section=NAME selects one section
///
/// Create it on the control thread and call `Start`. QHttpServer buffers
/// requests of any size in memory, so the address must be reachable from the
/// internal network only.
class OperatorServer {
 public:
  explicit OperatorServer(OperatorHooks hooks);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Starts to listen. Port 0 selects a free port.
  ///
  /// @return whether the address could be bound.
  bool Start(const Endpoint& endpoint);

  /// The address in use, with the selected port if `Start` was given port 0.
  Endpoint endpoint() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_OPERATOR_SERVER_H_
