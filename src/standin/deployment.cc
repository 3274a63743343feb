#include "standin/deployment.h"

#include <QJsonArray>
#include <utility>

namespace guavacross::standin {

namespace {

QString ToQString(const std::string& text) {
  return QString::fromStdString(text);
}

std::vector<ServiceTime> ServiceTimesOf(const ExampleService& service) {
  std::vector<ServiceTime> times;
  for (const ExampleClass& entry : service.m_classes) {
    times.push_back(entry.m_service_time);
  }
  return times;
}

const ExampleService& FindService(const Example& example,
                                  const std::string& name) {
  for (const ExampleService& service : example.m_services) {
    if (service.m_name == name) {
      return service;
    }
  }
  return example.m_services.front();
}

}  // namespace

ServerThreads::ServerThreads(int threads) {
  for (int i = 0; i < threads; ++i) {
    m_threads.push_back(std::make_unique<QThread>());
    m_threads.back()->start();
  }
}

ServerThreads::~ServerThreads() {
  for (const auto& thread : m_threads) {
    thread->quit();
  }
  for (const auto& thread : m_threads) {
    thread->wait();
  }
  m_objects.clear();
}

Deployment::Deployment(DeploymentOptions options, Clock clock)
    : m_options(std::move(options)),
      // Offsets 0, 1 and 2 from the base port are used by the control server,
      // the log service and the instance list.
      m_targets(MakeTargets(m_options.m_example,
                            m_options.m_ip,
                            m_options.m_base_port + 3)),
      m_log_service("log-service", clock),
      m_instance_list("instance-list", clock),
      m_threads(m_options.m_threads),
      m_components({&m_log_service, &m_instance_list}) {
  std::uint64_t seed = m_options.m_seed;
  for (const ExampleTarget& target : m_targets) {
    BackendOptions server{.m_name = target.m_name,
                          .m_listen = target.m_address,
                          .m_service_times = ServiceTimesOf(FindService(
                              m_options.m_example, target.m_service)),
                          .m_seed = seed++};
    m_servers.push_back(m_threads.Adopt(
        std::make_unique<BackendServer>(std::move(server), clock)));
    m_components.push_back(m_servers.back());
  }
  m_control = std::make_unique<ControlServer>(m_components);
  m_control->AddJsonRoute("/deployment", [this] { return Describe(); });
}

Endpoint Deployment::control() const {
  return {.m_ip = m_options.m_ip, .m_port = m_options.m_base_port};
}

std::string Deployment::Start() {
  const auto endpoint_at = [this](int offset) {
    return Endpoint{
        .m_ip = m_options.m_ip,
        .m_port = static_cast<std::uint16_t>(m_options.m_base_port + offset)};
  };
  if (!m_log_service.Listen(endpoint_at(1))) {
    return "can't listen on " + ToString(endpoint_at(1));
  }
  if (!m_instance_list.Listen(endpoint_at(2))) {
    return "can't listen on " + ToString(endpoint_at(2));
  }
  for (std::size_t i = 0; i < m_servers.size(); ++i) {
    if (!m_servers[i]->Start()) {
      return "can't listen on " + ToString(m_targets[i].m_address);
    }
  }
  if (m_control->Listen(control()) == 0) {
    return "can't listen on " + ToString(control());
  }
  return {};
}

std::string Deployment::document() const {
  return MakeDocument(m_options.m_example, m_targets);
}

QJsonObject Deployment::Describe() const {
  const Example& example = m_options.m_example;
  QJsonArray zones;
  for (const std::string& zone : example.m_zones) {
    zones.append(ToQString(zone));
  }
  QJsonArray targets;
  for (const ExampleTarget& target : m_targets) {
    targets.append(
        QJsonObject{{"service", ToQString(target.m_service)},
                    {"name", ToQString(target.m_name)},
                    {"zone", ToQString(target.m_zone)},
                    {"address", ToQString(ToString(target.m_address))}});
  }
  return {{"name", ToQString(example.m_name)},
          {"region", ToQString(example.m_region)},
          {"zones", zones},
          {"control", ToQString(ToString(control()))},
          {"log_service", ToQString(ToString(log_service()))},
          {"instance_list", ToQString(ToString(instance_list()))},
          {"targets", targets},
          {"document", ToQString(document())}};
}

Component* Deployment::Find(const std::string& name) const {
  for (Component* component : m_components) {
    if (component->name() == name) {
      return component;
    }
  }
  return nullptr;
}

}  // namespace guavacross::standin
