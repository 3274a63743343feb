#ifndef GUAVACROSS_ROUTE_TABLE_H_
#define GUAVACROSS_ROUTE_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/time.h"

/// Routes by host and path, and the backend servers that register themselves.
///
/// A deployment whose operators publish routes, and whose backend servers
/// announce themselves, is described by a `RouteTable` and a list of
/// `RegisteredTarget`. All types are values that are not changed once made.
namespace guavacross {

/// What may be done with a route's requests.
enum class RouteKind {
  /// May run more than once.
  kRepeatable,
  /// Runs at most once.
  kOnce,
  /// May run more than once; its answers are large.
  kDownload,
};

/// A service's part of a route's requests.
struct ServiceShare {
  std::string m_service;
  /// Against the other shares of the route; at least 0.
  int m_weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

/// Where the requests of one host under one path prefix go.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_path_prefix;
  RouteKind m_kind = RouteKind::kRepeatable;
  /// Longest time from a request's arrival to its answer.
  Duration m_deadline{};
  /// Time within which an answer is worth most to the caller.
  Duration m_objective{};
  /// Rank against the other routes of a service; 0 is the most urgent.
  int m_priority = 0;
  /// Backend servers to which one request may be sent.
  int m_max_attempts = 1;
  /// At least one.
  std::vector<ServiceShare> m_shares;

  bool operator==(const Route&) const = default;
};

/// A service as the operators declare it; its targets register themselves.
struct RoutedService {
  std::string m_name;
  std::string m_health_path;
  /// Connections that one target accepts from all instances together.
  int m_max_connections = 0;

  bool operator==(const RoutedService&) const = default;
};

/// Bounds on what callers may send.
struct RequestLimits {
  std::int64_t m_max_header_bytes = 16 << 10;
  std::int64_t m_max_body_bytes = 1 << 20;
  /// Longest time from the first byte of a request to the end of its head.
  Duration m_header_time = std::chrono::seconds(10);
  /// How long a connection without a request is kept.
  Duration m_idle_time = std::chrono::seconds(75);

  bool operator==(const RequestLimits&) const = default;
};

/// One version of the operators' configuration, whole.
struct RouteTable {
  /// Rises with each change.
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<RoutedService> m_services;
  RequestLimits m_limits;

  bool operator==(const RouteTable&) const = default;
};

/// The routes of a table by host, so that a request looks only at those of its
/// own. Refers to the table, which must outlive it. Thread safe once made.
class RouteIndex {
 public:
  explicit RouteIndex(const RouteTable& table);

  /// The route of the host with the longest prefix that begins `path`, or null.
  /// A port in `host` is left aside.
  const Route* Find(std::string_view host, std::string_view path) const;

 private:
  // Longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> m_by_host;
};

/// One run of a backend server that has registered itself.
struct RegisteredTarget {
  /// Its name, unique among the targets of all services.
  std::string m_id;
  /// Identifies one run; a later run of the same id has a greater one.
  std::uint64_t m_incarnation = 0;
  /// Rises with each heartbeat of a run.
  std::uint64_t m_heartbeat = 0;
  std::string m_service;
  Endpoint m_address;
  std::string m_zone;
  /// The version of its software.
  std::string m_release;
  int m_slots = 1;
  bool m_draining = false;
  /// How much longer it stays slow after its start.
  Duration m_warm_up_left{};

  bool operator==(const RegisteredTarget&) const = default;
};

}  // namespace guavacross

#endif  // GUAVACROSS_ROUTE_TABLE_H_
