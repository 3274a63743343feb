#ifndef GUAVACROSS_BACKENDS_PROBE_SENDER_H_
#define GUAVACROSS_BACKENDS_PROBE_SENDER_H_

#include <memory>
#include <vector>

#include "backends/backend_pool.h"
#include "backends/target_dialect.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"
#include "net/socket_set.h"

namespace guavacross::util {
class Metrics;
}

namespace guavacross::backends {

/// Dependencies of a `ProbeSender`; the objects must outlive it.
struct ProbeSenderContext {
  Router* m_router = nullptr;
  BackendPool* m_pool = nullptr;
  net::SocketSet* m_set = nullptr;
  Clock m_clock;
  util::Metrics* m_metrics = nullptr;
  const TargetDialect* m_dialect = &DefaultTargetDialect();
};

/// Sends probes on a pool's connections and reports their results to the
/// router.
///
/// A probe is one GET and never retried. With a pool that requests use too, a
/// request is sent on the connection on which its target has just answered.
/// Connections are kept alive only after probes of a path set in the
/// configuration. Not thread safe.
class ProbeSender {
 public:
  explicit ProbeSender(const ProbeSenderContext& context);
  /// Drops the probes in flight without a report.
  ~ProbeSender();
  ProbeSender(const ProbeSender&) = delete;
  ProbeSender& operator=(const ProbeSender&) = delete;

  void Send(std::vector<ProbeOrder> orders);
  /// Cancels the probes in flight and reports them as failed.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_PROBE_SENDER_H_
