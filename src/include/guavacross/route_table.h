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

/// Routes by host and path, and backend servers that register themselves.
///
/// A deployment whose operators publish routes, and whose backend servers
/// register themselves, is described by a `RouteTable` and a list of
/// `RegisteredTarget`. All types are values that don't change once created.
namespace guavacross {

/// How often a route's requests may run, and the size of their answers.
enum class RouteKind {
  /// May run more than once.
  kRepeatable,
  /// Runs at most once.
  kAtMostOnce,
  /// May run more than once; its answers are large.
  kDownload,
};

/// A service's share of a route's requests.
struct ServiceShare {
  std::string m_service;
  /// Relative to the route's other shares; at least 0.
  int m_weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

/// Routes the requests for one host and path prefix to services.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_path_prefix;
  RouteKind m_kind = RouteKind::kRepeatable;
  /// Longest time from a request's arrival to its answer.
  Duration m_deadline{};
  /// Latency objective: the time within which an answer is worth most to the
  /// caller.
  Duration m_latency_objective{};
  /// Priority among a service's routes; 0 is the highest.
  int m_priority = 0;
  /// Most backend servers to which one request may be sent.
  int m_max_attempts = 1;
  /// At least one.
  std::vector<ServiceShare> m_shares;

  bool operator==(const Route&) const = default;
};

/// A service that the operators declare; its targets register themselves.
struct RoutedService {
  std::string m_name;
  std::string m_health_path;
  /// Most connections to one target from all instances together.
  int m_max_connections = 0;

  bool operator==(const RoutedService&) const = default;
};

/// Limits on callers' requests and connections.
struct RequestLimits {
  std::int64_t m_max_header_bytes = 16 << 10;
  std::int64_t m_max_body_bytes = 1 << 20;
  /// Longest time from the first byte of a request to the end of its header.
  Duration m_header_time = std::chrono::seconds(10);
  /// How long a connection without a request is kept open.
  Duration m_idle_time = std::chrono::seconds(75);

  bool operator==(const RequestLimits&) const = default;
};

/// One complete version of the operators' configuration.
struct RouteTable {
  /// Increases with each change.
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<RoutedService> m_services;
  RequestLimits m_limits;

  bool operator==(const RouteTable&) const = default;
};

/// Indexes a table's routes by host, so that only the routes of a request's
/// host are searched. Refers to the table, which must outlive it. Thread safe
/// once constructed.
class RouteIndex {
 public:
  explicit RouteIndex(const RouteTable& table);

  /// The route of the host with the longest matching prefix of `path`, or null.
  /// A port in `host` is ignored.
  const Route* Find(std::string_view host, std::string_view path) const;

 private:
  // Each host's routes are sorted by prefix length, longest first.
  std::map<std::string, std::vector<const Route*>, std::less<>> m_by_host;
};

/// One run of a backend server that has registered itself.
struct RegisteredTarget {
  /// The target's name, unique among the targets of all services.
  std::string m_id;
  /// Identifies one run; greater for a later run of the same id.
  std::uint64_t m_incarnation = 0;
  /// Sequence number of the run's latest heartbeat.
  std::uint64_t m_heartbeat = 0;
  std::string m_service;
  Endpoint m_address;
  std::string m_zone;
  /// The target's software version.
  std::string m_release;
  int m_slots = 1;
  bool m_draining = false;
  /// Remaining warm-up time after the target's start.
  Duration m_warm_up_left{};

  bool operator==(const RegisteredTarget&) const = default;
};

}  // namespace guavacross

#endif  // GUAVACROSS_ROUTE_TABLE_H_
