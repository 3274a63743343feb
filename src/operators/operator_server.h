#ifndef GUAVACROSS_OPERATORS_OPERATOR_SERVER_H_
#define GUAVACROSS_OPERATORS_OPERATOR_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "guavacross/identity.h"
#include "operators/instance_status.h"

namespace guavacross::operators {

/// Whether callers may be sent to this instance, and if not, why.
struct Readiness {
  bool m_ready = false;
  std::string m_reason;

  bool operator==(const Readiness&) const = default;
};

/// Where the server's answers come from; called on the control thread.
struct OperatorHooks {
  std::function<Readiness()> m_readiness;
  std::function<InstanceStatus()> m_status;
  /// The row of one section in force, if there is one; `publish` asks for it
  /// often. The other fields of a status cost much more to gather.
  std::function<std::optional<SectionRow>(const std::string&)> m_section;
  std::function<std::string()> m_metrics;
};

/// Serves operators on an address of their own, which callers don't use:
///
///     /healthz        200 while the control thread runs
///     /readyz         200, or 503 with the reason
///     /metrics        Prometheus' text format
///     /status         an HTML page; ?service=NAME for one service's targets
///     /status.json    the same as JSON
///     /sections.json  versions in force; ?section=NAME for one
///
/// Make one on the control thread and call `Start`. On Qt's HTTP server, which
/// takes requests of any size into memory: keep the address inside.
class OperatorServer {
 public:
  explicit OperatorServer(OperatorHooks hooks);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Listens; port 0 takes a free one.
  ///
  /// @return whether the address could be bound.
  bool Start(const Endpoint& endpoint);

  /// The address with its real port.
  Endpoint endpoint() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_OPERATOR_SERVER_H_
