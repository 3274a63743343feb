#ifndef GUAVACROSS_GUAVACROSS_DEMO_INSTANCES_H_
#define GUAVACROSS_GUAVACROSS_DEMO_INSTANCES_H_

#include <QJsonArray>
#include <QObject>
#include <QThread>
#include <memory>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/settings.h"
#include "serve/instance.h"

namespace guavacross::commands {

/// Entry instances in this process, each with a control thread of its own.
///
/// They communicate over loopback, as separate processes would. Not thread
/// safe: all functions must be called on one thread.
class DemoInstances {
 public:
  DemoInstances() = default;
  ~DemoInstances();
  DemoInstances(const DemoInstances&) = delete;
  DemoInstances& operator=(const DemoInstances&) = delete;

  /// Starts one instance. Errors: as for `Instance::Start`.
  Result<bool> Start(const InstanceSettings& settings);

  /// Returns whether every instance is ready to serve requests.
  bool AllReady() const;

  /// Shuts down one instance gracefully. Runs this thread's event loop until
  /// the instance has finished.
  void Shutdown(std::size_t index);

 private:
  struct Running {
    std::unique_ptr<QThread> m_thread;
    // Created, used and destroyed on `m_thread`.
    std::unique_ptr<serve::Instance> m_instance;
    // Belongs to `m_thread`; used to call functions on that thread.
    std::unique_ptr<QObject> m_context;
  };

  std::vector<Running> m_running;
};

/// Returns settings for `count` instances of a deployment, on consecutive ports
/// of `ip`.
std::vector<InstanceSettings> MakeDemoSettings(
    const std::string& region,
    const std::vector<std::string>& zones,
    const Endpoint& log_service,
    const Endpoint& instance_list,
    const std::string& ip,
    int first_port,
    int count);

/// Returns the instances in the format of the platform's instance list.
QJsonArray ToInstanceList(const std::vector<InstanceSettings>& settings);

}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_DEMO_INSTANCES_H_
