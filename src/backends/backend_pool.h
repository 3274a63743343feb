#ifndef GUAVACROSS_BACKENDS_BACKEND_POOL_H_
#define GUAVACROSS_BACKENDS_BACKEND_POOL_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "backends/attempt.h"
#include "backends/backend_connection.h"
#include "guavacross/time.h"
#include "net/socket_set.h"

namespace guavacross::backends {

struct BackendPoolOptions {
  int m_max_connections_per_target = 32;
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// How long an idle connection is kept, if the backend server sent no
  /// keep-alive timeout.
  Duration m_max_idle = std::chrono::seconds(30);
  /// Longest idle time of a connection that counts as fresh, if the backend
  /// server sent no keep-alive timeout.
  Duration m_max_fresh_idle = std::chrono::seconds(1);
  std::size_t m_max_header_bytes = std::size_t{32} << 10;
  /// IP address from which connections are made; empty for the system's choice.
  std::string m_source_ip;

  bool operator==(const BackendPoolOptions&) const = default;
};

/// One worker's connections to backend servers.
///
/// `Start` sends a request on an idle connection or a new one; at the target's
/// connection limit it queues the request for the next connection that becomes
/// available. Call `Sweep` about once a second. Not thread safe.
class BackendPool {
 public:
  /// `set` must outlive the pool; attempts must not. Attempts passed to
  /// `set->DeleteLater` are destroyed with the pool at the latest.
  BackendPool(net::SocketSet* set, Clock clock, BackendPoolOptions options);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Sends a request. No hook is called before this function returns.
  std::unique_ptr<Attempt> Start(AttemptRequest request, AttemptHooks hooks);

  /// Closes connections that were idle, or draining a discarded response,
  /// for too long.
  void Sweep();

  /// Number of open connections, including idle ones.
  int connections() const;

 private:
  friend class Attempt;
  friend class BackendConnection;

  struct Target {
    std::vector<std::unique_ptr<BackendConnection>> m_connections;
    // Most recently used last.
    std::vector<BackendConnection*> m_idle;
    std::deque<Attempt*> m_waiting;
  };

  // The idle connection last used that can carry the attempt, or null. Closes
  // those that are of no use any more.
  BackendConnection* TakeIdle(Target* target, const Attempt& attempt);
  void StartOn(Target* target, Attempt* attempt);
  void RemoveWaiting(Attempt* attempt);
  // Called by connections.
  void OnIdle(BackendConnection* connection);
  void CloseIdle(const Endpoint& address);
  void Retire(BackendConnection* connection);
  void StartNextWaiting(Target* target);

  net::SocketSet* m_set;
  Clock m_clock;
  BackendPoolOptions m_options;
  std::map<Endpoint, Target> m_targets;
};

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_BACKEND_POOL_H_
