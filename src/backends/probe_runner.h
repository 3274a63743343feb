#ifndef GUAVACROSS_BACKENDS_PROBE_RUNNER_H_
#define GUAVACROSS_BACKENDS_PROBE_RUNNER_H_

#include <memory>

#include "backends/target_dialect.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"

namespace guavacross::util {
class Metrics;
}

namespace guavacross::backends {

/// Sends the probes that the router requests and reports their results to it.
///
/// Create it on the control thread, then call `Start`. Every two milliseconds
/// while something is due, and less often otherwise, it takes the due probes,
/// sends each as one GET and reports the response or that there was none.
/// Connections are kept alive only between probes of a path set in the
/// configuration. It also makes the router expire its queued requests. A probe
/// is never retried.
class ProbeRunner {
 public:
  /// `router` and `metrics` must outlive the runner.
  ProbeRunner(Router* router,
              Clock clock,
              util::Metrics* metrics,
              const TargetDialect* dialect = &DefaultTargetDialect());
  ~ProbeRunner();
  ProbeRunner(const ProbeRunner&) = delete;
  ProbeRunner& operator=(const ProbeRunner&) = delete;

  /// Probes that become due are sent only once `first_probe_after` has passed.
  void Start(Duration first_probe_after = Duration::zero());
  /// Cancels the probes in flight and reports them as failed.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_PROBE_RUNNER_H_
