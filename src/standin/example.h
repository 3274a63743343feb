#ifndef GUAVACROSS_STANDIN_EXAMPLE_H_
#define GUAVACROSS_STANDIN_EXAMPLE_H_

#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "standin/backend_server.h"

/// The example deployments: their services, backend servers and configuration
/// documents.
namespace guavacross::standin {

/// A class of requests with its settings and service time.
struct ExampleClass {
  std::string m_name;
  std::string m_method;
  std::string m_path_prefix;
  bool m_repeatable = true;
  bool m_hedge = false;
  bool m_bulk = false;
  int m_deadline_ms = 2000;
  int m_queue_wait_ms = 500;
  ServiceTime m_service_time;

  bool operator==(const ExampleClass&) const = default;
};

struct ExampleService {
  std::string m_name;
  std::string m_team;
  std::string m_profile;
  int m_targets = 0;
  double m_probes_per_second = 0;
  std::vector<ExampleClass> m_classes;

  bool operator==(const ExampleService&) const = default;
};

struct Example {
  std::string m_name;
  std::string m_region;
  std::vector<std::string> m_zones;
  std::vector<std::string> m_tenants;
  std::vector<ExampleService> m_services;

  bool operator==(const Example&) const = default;
};

Example DarkframeExample();
Example CedarbloomExample();

/// A backend server of an example.
struct ExampleTarget {
  std::string m_service;
  std::string m_name;
  std::string m_zone;
  Endpoint m_address;

  auto operator<=>(const ExampleTarget&) const = default;
};

/// Returns the backend servers, on consecutive ports of `ip` starting at
/// `first_port`.
std::vector<ExampleTarget> MakeTargets(const Example& example,
                                       const std::string& ip,
                                       std::uint16_t first_port);

/// Returns the configuration document in the schema of `guavacross/document.h`.
std::string MakeDocument(const Example& example,
                         const std::vector<ExampleTarget>& targets);

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_EXAMPLE_H_
