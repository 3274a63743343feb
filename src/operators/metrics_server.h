#ifndef GUAVACROSS_OPERATORS_METRICS_SERVER_H_
#define GUAVACROSS_OPERATORS_METRICS_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "guavacross/identity.h"

namespace guavacross::operators {

/// HTTP server for `/metrics` in the Prometheus text format and `/status.json`,
/// on a separate address. Create it on the control thread and call `Start`.
class MetricsServer {
 public:
  /// `metrics` and `status` return the response bodies. They are called on the
  /// control thread.
  MetricsServer(std::function<std::string()> metrics,
                std::function<std::string()> status);
  ~MetricsServer();
  MetricsServer(const MetricsServer&) = delete;
  MetricsServer& operator=(const MetricsServer&) = delete;

  /// Starts to listen. Port 0 selects a free port.
  ///
  /// @return whether the address could be bound.
  bool Start(const Endpoint& endpoint);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_METRICS_SERVER_H_
