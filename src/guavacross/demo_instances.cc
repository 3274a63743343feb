#include "guavacross/demo_instances.h"

#include <QEventLoop>
#include <QJsonObject>
#include <QMetaObject>
#include <QObject>
#include <QThread>
#include <utility>

#include "serve/instance.h"
#include "util/handle.h"
#include "util/qt_clock.h"

namespace guavacross::commands {

namespace {

constexpr int kPortsPerInstance = 3;

// Calls a function on the thread of `context` and waits until it returns.
template <class Call>
void RunOnThreadOf(QObject* context, Call call) {
  QMetaObject::invokeMethod(context, std::move(call),
                            Qt::BlockingQueuedConnection);
}

QString ToQString(const std::string& text) {
  return QString::fromStdString(text);
}

}  // namespace

DemoInstances::~DemoInstances() {
  for (Running& running : m_running) {
    RunOnThreadOf(running.m_context.get(),
                  [&running] { running.m_instance.reset(); });
    running.m_thread->quit();
    running.m_thread->wait();
  }
}

Result<bool> DemoInstances::Start(const InstanceSettings& settings) {
  Running running;
  running.m_thread = std::make_unique<QThread>();
  running.m_context = std::make_unique<QObject>();
  running.m_context->moveToThread(running.m_thread.get());
  running.m_thread->start();
  util::Expected<bool> started;
  RunOnThreadOf(running.m_context.get(), [&] {
    running.m_instance =
        std::make_unique<serve::Instance>(settings, util::QtClock());
    started = util::Catch([&] { return running.m_instance->Start(); });
  });
  m_running.push_back(std::move(running));
  if (!started) {
    return Fail(started.m_error);
  }
  return true;
}

bool DemoInstances::AllReady() const {
  bool all = true;
  for (const Running& running : m_running) {
    RunOnThreadOf(running.m_context.get(), [&all, &running] {
      all = all && running.m_instance->ready();
    });
  }
  return all;
}

void DemoInstances::Shutdown(std::size_t index) {
  QEventLoop loop;
  Running& running = m_running[index];
  QMetaObject::invokeMethod(running.m_context.get(), [&running, &loop] {
    running.m_instance->Shutdown([&loop] {
      QMetaObject::invokeMethod(&loop, &QEventLoop::quit, Qt::QueuedConnection);
    });
  });
  loop.exec();
}

std::vector<InstanceSettings> MakeDemoSettings(
    const std::string& region,
    const std::vector<std::string>& zones,
    const Endpoint& log_service,
    const Endpoint& instance_list,
    const std::string& ip,
    int first_port,
    int count) {
  std::vector<InstanceSettings> all;
  for (int i = 0; i < count; ++i) {
    const auto port = [&](int offset) {
      return Endpoint{.m_ip = ip,
                      .m_port = static_cast<std::uint16_t>(
                          first_port + i * kPortsPerInstance + offset)};
    };
    InstanceSettings settings;
    settings.m_name = "entry-" + std::to_string(i + 1);
    settings.m_region = region;
    settings.m_zone = zones[static_cast<std::size_t>(i) % zones.size()];
    settings.m_callers = port(0);
    settings.m_operators = port(1);
    settings.m_peers = port(2);
    settings.m_log_service = log_service;
    settings.m_instance_list = instance_list;
    settings.m_workers = 1;
    all.push_back(std::move(settings));
  }
  return all;
}

QJsonArray ToInstanceList(const std::vector<InstanceSettings>& settings) {
  QJsonArray entries;
  for (const InstanceSettings& instance : settings) {
    entries.append(
        QJsonObject{{"name", ToQString(instance.m_name)},
                    {"region", ToQString(instance.m_region)},
                    {"zone", ToQString(instance.m_zone)},
                    {"callers", ToQString(ToString(instance.m_callers))},
                    {"peers", ToQString(ToString(instance.m_peers))},
                    {"leaving", false}});
  }
  return entries;
}

}  // namespace guavacross::commands
