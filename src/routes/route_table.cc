#include "guavacross/route_table.h"

#include <algorithm>

namespace guavacross {

RouteIndex::RouteIndex(const RouteTable& table) {
  for (const Route& route : table.m_routes) {
    m_by_host[route.m_host].push_back(&route);
  }
  for (auto& [host, routes] : m_by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->m_path_prefix.size() > b->m_path_prefix.size();
                     });
  }
}

const Route* RouteIndex::Find(std::string_view host,
                              std::string_view path) const {
  const auto routes = m_by_host.find(host.substr(0, host.find(':')));
  if (routes == m_by_host.end()) {
    return nullptr;
  }
  const auto found = std::find_if(
      routes->second.begin(), routes->second.end(), [path](const Route* route) {
        return path.starts_with(route->m_path_prefix);
      });
  return found == routes->second.end() ? nullptr : *found;
}

}  // namespace guavacross
