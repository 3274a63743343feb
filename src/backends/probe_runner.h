#ifndef GUAVACROSS_BACKENDS_PROBE_RUNNER_H_
#define GUAVACROSS_BACKENDS_PROBE_RUNNER_H_

#include <memory>
#include <vector>

#include "backends/target_dialect.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"

namespace guavacross::util {
class Metrics;
}

namespace guavacross::backends {

/// Sends the probes that the router orders and reports their results.
///
/// Make one on the control thread, then call `Start`. Every two milliseconds
/// while something is due, and less often otherwise, it takes the due probes,
/// sends each as one GET and reports the answer or its absence. Connections are
/// kept between probes of a path that the configuration names. It also lets the
/// router expire its waiting requests. A probe is never sent twice.
class ProbeRunner {
 public:
  /// `router` and `metrics` must outlive the runner.
  ProbeRunner(Router* router,
              Clock clock,
              util::Metrics* metrics,
              const TargetDialect* dialect = &OwnTargetDialect());
  ~ProbeRunner();
  ProbeRunner(const ProbeRunner&) = delete;
  ProbeRunner& operator=(const ProbeRunner&) = delete;

  /// No probe is sent before `first_probe_after` has passed.
  void Start(Duration first_probe_after = Duration::zero());
  /// Sends probes that the router has ordered beside those that are due.
  void Send(std::vector<ProbeOrder> orders);
  /// Abandons the probes in flight and reports them as failed.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_PROBE_RUNNER_H_
