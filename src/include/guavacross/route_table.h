#ifndef GUAVACROSS_ROUTE_TABLE_H_
#define GUAVACROSS_ROUTE_TABLE_H_

#include <cstddef>
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
  /// Runs at most once; its bodies are large.
  kUpload,
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
  /// Empty if the route's row names no usable service; its requests are then
  /// refused as not run.
  std::vector<ServiceShare> m_shares;
  /// Whether requests need no key although the table has tenants.
  bool m_public = false;

  bool operator==(const Route&) const = default;
};

/// A service that the operators declare; its targets register themselves.
struct RoutedService {
  std::string m_name;
  std::string m_health_path;
  /// Most connections to one target from all instances together.
  int m_max_connections = 0;
  /// Requests per second that a cold target takes from all instances together;
  /// 0 for no limit.
  double m_cold_rate = 0;
  /// How long a target stays cold after a start, if it doesn't say.
  Duration m_cold_time{};

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

/// An organisation whose callers identify themselves with keys.
struct Tenant {
  std::string m_name;
  std::vector<std::string> m_keys;
  /// Goes before the priority of the route; 0 is the highest.
  int m_priority = 0;
  /// Requests per second over all instances; 0 for no limit.
  double m_rate = 0;
  /// Requests beyond the rate that may be saved up.
  double m_burst = 0;

  bool operator==(const Tenant&) const = default;
};

/// One complete version of the operators' configuration.
struct RouteTable {
  /// Increases with each change.
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<RoutedService> m_services;
  RequestLimits m_limits;
  /// Whether requests need a tenant's key, except on public routes.
  bool m_has_tenants = false;
  std::vector<Tenant> m_tenants;
  /// Rows and values that couldn't be read and were replaced by a safe reading
  /// or left out. At most `kMaxProblems` are kept.
  std::vector<std::string> m_problems;
  std::size_t m_problem_count = 0;

  static constexpr std::size_t kMaxProblems = 8;

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

/// Where an entry of a backend server, or its removal, came from.
struct EntrySource {
  /// The instance that passed it on; empty if it was read from the store.
  std::string m_peer;
  /// The store's era and the entry's offset in it.
  std::uint64_t m_era = 0;
  std::uint64_t m_offset = 0;

  bool operator==(const EntrySource&) const = default;
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
