#ifndef GUAVACROSS_OPERATORS_METRICS_SERVER_H_
#define GUAVACROSS_OPERATORS_METRICS_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "guavacross/identity.h"

namespace guavacross::operators {

/// Serves `/metrics` in Prometheus' text format and `/status.json` on an
/// address of its own. Make one on the control thread and call `Start`.
class MetricsServer {
 public:
  /// `metrics` and `status` give the pages; called on the control thread.
  MetricsServer(std::function<std::string()> metrics,
                std::function<std::string()> status);
  ~MetricsServer();
  MetricsServer(const MetricsServer&) = delete;
  MetricsServer& operator=(const MetricsServer&) = delete;

  /// Listens; port 0 takes a free one.
  ///
  /// @return whether the address could be bound.
  bool Start(const Endpoint& endpoint);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_METRICS_SERVER_H_
