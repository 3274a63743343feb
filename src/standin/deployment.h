#ifndef GUAVACROSS_STANDIN_DEPLOYMENT_H_
#define GUAVACROSS_STANDIN_DEPLOYMENT_H_

#include <QJsonObject>
#include <QThread>
#include <memory>
#include <string>
#include <vector>

#include "standin/backend_server.h"
#include "standin/control_server.h"
#include "standin/example.h"
#include "standin/instance_list.h"
#include "standin/log_service.h"

namespace guavacross::standin {

/// A thread pool for backend servers.
///
/// Each object passed to `Adopt` is owned by the pool, runs on one of its
/// threads and is destroyed with it.
class ServerThreads {
 public:
  explicit ServerThreads(int threads);
  ~ServerThreads();
  ServerThreads(const ServerThreads&) = delete;
  ServerThreads& operator=(const ServerThreads&) = delete;

  /// Moves a server to one of the threads, in round-robin order.
  template <class Server>
  Server* Adopt(std::unique_ptr<Server> server) {
    Server* adopted = server.get();
    adopted->moveToThread(m_threads[m_next].get());
    m_next = (m_next + 1) % m_threads.size();
    m_objects.push_back(std::move(server));
    return adopted;
  }

 private:
  std::vector<std::unique_ptr<QThread>> m_threads;
  std::vector<std::unique_ptr<QObject>> m_objects;
  std::size_t m_next = 0;
};

struct DeploymentOptions {
  Example m_example;
  std::string m_ip = "127.0.0.1";
  /// The control server's port. The log service, the instance list and the
  /// backend servers use the ports that follow it.
  std::uint16_t m_base_port = 7700;
  int m_threads = 3;
  std::uint64_t m_seed = 1;

  bool operator==(const DeploymentOptions&) const = default;
};

/// The platform services and the backend servers of an example deployment, in
/// one process. Must be created and destroyed on a thread with an event loop.
class Deployment {
 public:
  Deployment(DeploymentOptions options, Clock clock);

  /// Starts listening on all addresses. Returns an error message, or an empty
  /// string on success.
  std::string Start();

  /// Returns all addresses and the configuration document, as served at
  /// `GET /deployment`.
  QJsonObject Describe() const;

  Endpoint control() const;
  Endpoint log_service() const { return m_log_service.endpoint(); }
  Endpoint instance_list() const { return m_instance_list.endpoint(); }
  const std::vector<ExampleTarget>& targets() const { return m_targets; }
  std::string document() const;
  /// Returns the named component, or null. Used to set faults from within this
  /// process.
  Component* Find(const std::string& name) const;

 private:
  DeploymentOptions m_options;
  std::vector<ExampleTarget> m_targets;
  LogService m_log_service;
  InstanceList m_instance_list;
  ServerThreads m_threads;
  std::vector<BackendServer*> m_servers;
  std::vector<Component*> m_components;
  std::unique_ptr<ControlServer> m_control;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_DEPLOYMENT_H_
