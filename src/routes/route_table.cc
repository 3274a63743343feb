#include "guavacross/route_table.h"

namespace guavacross {

std::string_view RouteKindName(RouteKind kind) {
  switch (kind) {
    case RouteKind::kRepeatable:
      return "repeatable";
    case RouteKind::kOnce:
      return "once";
    case RouteKind::kDownload:
      break;
  }
  return "download";
}

const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view path) {
  const std::string_view name = host.substr(0, host.find(':'));
  const Route* best = nullptr;
  for (const Route& route : table.m_routes) {
    const bool longer = best == nullptr ||
                        route.m_path_prefix.size() > best->m_path_prefix.size();
    if (longer && route.m_host == name &&
        path.starts_with(route.m_path_prefix)) {
      best = &route;
    }
  }
  return best;
}

}  // namespace guavacross
