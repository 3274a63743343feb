#ifndef GUAVACROSS_CALLERS_CALLER_WORKER_H_
#define GUAVACROSS_CALLERS_CALLER_WORKER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_map>

#include "backends/backend_pool.h"
#include "callers/caller_connection.h"
#include "callers/caller_server.h"
#include "forwarding/forward_metrics.h"
#include "forwarding/request_forwarder.h"
#include "forwarding/worker_post.h"
#include "net/socket_set.h"

namespace guavacross::callers {

/// The server's state that its workers read. Written on the control thread.
struct ServerState {
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_finishing{false};
  /// Set before the workers start.
  Endpoint m_endpoint;
};

/// One worker thread's share of the callers' connections, with the connections
/// to backend servers that their requests use. Lives on its thread, except for
/// the counts, which are thread safe.
class CallerWorker {
 public:
  /// `hooks` and `state` must outlive the worker.
  CallerWorker(const CallerServerOptions& options,
               const CallerServerHooks* hooks,
               const ServerState* state);
  ~CallerWorker();
  CallerWorker(const CallerWorker&) = delete;
  CallerWorker& operator=(const CallerWorker&) = delete;

  /// Takes over a descriptor. With `refuse` the caller is told that there are
  /// too many connections.
  /// On a connection that is `local_only` nothing is forwarded.
  void Accept(int descriptor, bool refuse, bool local_only = false);

  void SetLimits(const CallerLimits& limits) { m_options.m_limits = limits; }

  /// Calls `on_done` once no connection and no request is left.
  void Finish(std::function<void()> on_done);

  /// Ends everything at once.
  void AbortAll();

  const forwarding::WorkerPost& post() const { return m_post; }
  /// Connections handed over that have not ended. Thread safe.
  int connections() const { return m_connection_count; }
  /// Thread safe.
  int requests_in_flight() const { return m_request_count; }
  /// Counts a connection that is on its way to the worker. Thread safe.
  void CountConnection() { ++m_connection_count; }

 private:
  friend class CallerConnection;

  forwarding::WholeAnswer AddressAnswer(const std::string& target) const;
  // This instance as a member.
  Member Self() const;
  void Sweep();
  void ScheduleSweep();
  void Remove(CallerConnection* connection);
  void CheckDone();
  void UpdateRequestCount();

  CallerServerOptions m_options;
  const CallerServerHooks* m_hooks;
  const ServerState* m_state;
  forwarding::WorkerPost m_post;
  net::SocketSet m_sockets;
  backends::BackendPool m_pool;
  forwarding::ForwardMetrics m_metrics;
  forwarding::RequestLog m_log;
  forwarding::RequestForwarder m_forwarder;
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      m_connections;
  std::unique_ptr<Timer> m_sweep_timer;
  std::function<void()> m_on_done;
  int m_sweeps = 0;
  std::atomic<int> m_connection_count{0};
  std::atomic<int> m_request_count{0};
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_CALLER_WORKER_H_
