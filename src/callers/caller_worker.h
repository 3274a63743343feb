#ifndef GUAVACROSS_CALLERS_CALLER_WORKER_H_
#define GUAVACROSS_CALLERS_CALLER_WORKER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "backends/backend_pool.h"
#include "backends/probe_sender.h"
#include "callers/caller_connection.h"
#include "callers/caller_server.h"
#include "forwarding/forward_metrics.h"
#include "forwarding/request_forwarder.h"
#include "forwarding/worker_task_queue.h"
#include "net/socket_set.h"

namespace guavacross::callers {

/// Server state that is read by the workers and written on the control thread.
struct ServerState {
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_shutting_down{false};
  /// Set before the workers start.
  Endpoint m_endpoint;
};

/// The caller connections of one worker thread, with the backend connections
/// that their requests use. Not thread safe: to be used on its own thread,
/// except for `tasks`, `CountConnection` and the counts.
class CallerWorker {
 public:
  /// `hooks` and `state` must outlive the worker.
  CallerWorker(const CallerServerOptions& options,
               const CallerServerHooks* hooks,
               const ServerState* state);
  ~CallerWorker();
  CallerWorker(const CallerWorker&) = delete;
  CallerWorker& operator=(const CallerWorker&) = delete;

  /// Takes ownership of an accepted descriptor. With `refuse` the caller gets
  /// the error `kTooManyConnections`.
  void Accept(int descriptor, bool refuse, ConnectionKind kind);

  /// Sends probes on the connections that requests use.
  void SendProbes(std::vector<ProbeOrder> orders) {
    m_probes.Send(std::move(orders));
  }

  void SetLimits(const CallerLimits& limits) { m_options.m_limits = limits; }

  /// Calls `on_done` once no connection and no request is open.
  void Finish(std::function<void()> on_done);

  /// Refuses the requests that haven't been sent and may wait beyond `end`.
  void RefuseWaiting(TimePoint end);

  /// Answers the requests whose answer hasn't begun.
  void EndUnanswered();

  /// Aborts all connections and requests.
  void AbortAll();

  const forwarding::WorkerTaskQueue& tasks() const { return m_tasks; }
  /// Number of open connections, including those counted but not yet accepted.
  /// Thread safe.
  int connections() const { return m_connection_count; }
  /// Thread safe.
  int requests_in_flight() const { return m_request_count; }
  /// Counts a connection that is on its way to the worker. Thread safe.
  void CountConnection() { ++m_connection_count; }

 private:
  friend class CallerConnection;

  forwarding::CompleteAnswer AddressAnswer(const std::string& target) const;
  // This instance as an entry of the member list.
  Member Self() const;
  void Sweep();
  void ScheduleSweep();
  void Remove(CallerConnection* connection);
  void CheckDone();
  void UpdateRequestCount();

  CallerServerOptions m_options;
  const CallerServerHooks* m_hooks;
  const ServerState* m_state;
  forwarding::WorkerTaskQueue m_tasks;
  net::SocketSet m_sockets;
  backends::BackendPool m_pool;
  backends::ProbeSender m_probes;
  forwarding::ForwardMetrics m_metrics;
  forwarding::RequestLog m_log;
  forwarding::RequestForwarder m_forwarder;
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      m_connections;
  std::unique_ptr<Timer> m_sweep_timer;
  std::function<void()> m_on_done;
  int m_sweeps = 0;
  // Requests that wait for their turn to be answered.
  int m_pipelined_count = 0;
  std::atomic<int> m_connection_count{0};
  std::atomic<int> m_request_count{0};
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_CALLER_WORKER_H_
