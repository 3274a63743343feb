#ifndef GUAVACROSS_ROUTES_SERVICE_PLAN_H_
#define GUAVACROSS_ROUTES_SERVICE_PLAN_H_

#include <string>
#include <vector>

#include "guavacross/document.h"
#include "guavacross/route_table.h"

namespace guavacross::routes {

/// The budgets that all instances of a deployment share.
struct SharedBudgets {
  /// Retries and hedges as a share of a service's requests, 0 to 1.
  double m_retry_share = 0.1;
  /// Retries beyond that share within one budget window, over all instances.
  int m_retry_extra = 0;
  /// Probes of one target a second, from all instances.
  double m_probes_per_target_second = 1;

  bool operator==(const SharedBudgets&) const = default;
};

/// The configuration of one service, made from the route table and the
/// service's registered targets: a class for each route that sends requests
/// there. Draining targets are left out. Pure.
ServiceConfig PlanService(const RouteTable& table,
                          const RoutedService& service,
                          const std::vector<RegisteredTarget>& targets,
                          const SharedBudgets& budgets);

}  // namespace guavacross::routes

#endif  // GUAVACROSS_ROUTES_SERVICE_PLAN_H_
