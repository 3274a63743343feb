#ifndef GUAVACROSS_ROUTING_TESTING_PROBED_SERVICE_H_
#define GUAVACROSS_ROUTING_TESTING_PROBED_SERVICE_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/document.h"

namespace guavacross::routing::testing {

/// A service with one class, `read`, whose targets are probed before a request
/// is placed, for tests.
inline ServiceConfig ProbedService(std::string name,
                                   std::vector<TargetConfig> targets) {
  ServiceConfig service;
  service.m_name = std::move(name);
  service.m_targets = std::move(targets);
  service.m_classes = {{.m_name = "read", .m_claims = false}};
  service.m_classes.front().m_latency_objective =
      std::chrono::milliseconds(200);
  service.m_probe.m_probes_per_second = 10000;
  service.m_probe.m_probe_cost = Duration::zero();
  service.m_probe.m_path = "/health";
  service.m_probe.m_per_request = true;
  return service;
}

}  // namespace guavacross::routing::testing

#endif  // GUAVACROSS_ROUTING_TESTING_PROBED_SERVICE_H_
