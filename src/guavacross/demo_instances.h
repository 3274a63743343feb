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
/// They talk to each other and to everything else over loopback, as separate
/// processes would. All functions belong to one thread.
class DemoInstances {
 public:
  DemoInstances() = default;
  ~DemoInstances();
  DemoInstances(const DemoInstances&) = delete;
  DemoInstances& operator=(const DemoInstances&) = delete;

  /// Starts one instance. Errors: as for `Instance::Start`.
  Result<bool> Start(const InstanceSettings& settings);

  /// Whether every instance serves requests.
  bool AllReady() const;

  /// Shuts one instance down gracefully and waits for the end, running this
  /// thread's event loop meanwhile.
  void Shutdown(std::size_t index);

 private:
  struct Running {
    std::unique_ptr<QThread> m_thread;
    // Lives on `m_thread`, and is made and destroyed there.
    std::unique_ptr<serve::Instance> m_instance;
    // An object on the thread, through which functions are called there.
    std::unique_ptr<QObject> m_context;
  };

  std::vector<Running> m_running;
};

/// Settings for `count` instances of a deployment on successive ports of `ip`.
std::vector<InstanceSettings> DemoSettings(
    const std::string& region,
    const std::vector<std::string>& zones,
    const Endpoint& log_service,
    const Endpoint& instance_list,
    const std::string& ip,
    int first_port,
    int count);

/// The instances as the platform's instance list shows them.
QJsonArray ListEntries(const std::vector<InstanceSettings>& settings);

}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_DEMO_INSTANCES_H_
