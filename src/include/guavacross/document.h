#ifndef GUAVACROSS_DOCUMENT_H_
#define GUAVACROSS_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "guavacross/time.h"

/// The configuration document: what operators declare about each service.
///
/// A document is a list of sections. A section belongs to one team, describes
/// one service and bears that service's name. Sections are published one by
/// one; `ParseSection` reads the text of one and `ParseDocument` a whole
/// document. All types are values that are not changed once parsed.
namespace guavacross {

/// Which of the two costs a service would rather pay.
enum class Profile {
  /// Spend little on measuring, accept a longer tail.
  kMeasuringFirst,
  /// Keep the tail short, spend the whole probe budget.
  kTailFirst,
};

/// A backend server as the document declares it.
struct TargetConfig {
  std::string m_name;
  Endpoint m_address;
  std::string m_zone;
  /// Requests that the backend server runs at one time.
  int m_slots = 4;
  /// The run of a backend server that registers itself; 0 if it isn't told.
  /// Another run under the same name is another server.
  std::uint64_t m_incarnation = 0;
  /// How much longer a backend server that has just started stays slow.
  Duration m_warm_up_left{};

  bool operator==(const TargetConfig&) const = default;
};

/// The rule for one class of a service's requests.
struct ClassConfig {
  std::string m_name;
  /// HTTP methods that belong to the class; empty means any.
  std::vector<std::string> m_methods;
  /// Paths that belong to the class start with this.
  std::string m_path_prefix = "/";
  /// Whether running a request twice does no harm.
  bool m_repeatable = true;
  /// Whether a second copy may be sent when the first is slow.
  bool m_hedge = false;
  /// Whether answers are large downloads, which get a separate share of slots.
  bool m_bulk = false;
  /// Time from the request's arrival to the start of its answer; zero means
  /// none. A started answer is never cut off by it.
  Duration m_deadline = std::chrono::seconds(10);
  /// Requests that may wait for a slot on one instance.
  int m_queue_limit = 64;
  /// Longest wait for a slot.
  Duration m_queue_wait = std::chrono::seconds(1);
  /// Share of the service's slots under contention, against other classes.
  int m_weight = 1;
  std::int64_t m_max_body_bytes = 1 << 20;
  /// Whether a non-repeatable request is claimed under its caller's key, so
  /// that a copy of it is recognised. Otherwise each request stands alone.
  bool m_claims = true;
  /// Time within which an answer is worth most; zero if none is stated.
  Duration m_objective{};
  /// Targets to which one request may be sent; 0 leaves it to the service.
  int m_max_attempts = 0;

  bool operator==(const ClassConfig&) const = default;
};

/// A tenant's share of a service under contention.
struct TenantConfig {
  std::string m_name;
  int m_weight = 1;

  bool operator==(const TenantConfig&) const = default;
};

/// What measuring load may cost, over all instances together.
struct ProbeConfig {
  double m_probes_per_second = 10;
  /// Share of the backend servers' slot time that probes may take, 0 to 1.
  double m_time_share = 0.01;
  /// Time that one probe takes on a backend server.
  Duration m_probe_cost = std::chrono::milliseconds(6);
  Duration m_timeout = std::chrono::milliseconds(250);
  /// The path that probes ask; empty for the usual one.
  std::string m_path;
  /// Whether some targets are probed for each request before one is chosen,
  /// rather than all of them from time to time. For targets whose speed changes
  /// faster than the budget lets them be probed in turn.
  bool m_before_placing = false;

  bool operator==(const ProbeConfig&) const = default;
};

struct RetryConfig {
  /// Retries and hedges together, as a share of requests, 0 to 1.
  double m_budget_share = 0.1;
  /// Attempts for one request, the first included.
  int m_max_attempts = 3;
  /// Retries that all instances together may save up; 0 leaves each instance
  /// the usual savings.
  double m_shared_savings = 0;

  bool operator==(const RetryConfig&) const = default;
};

struct HedgeConfig {
  /// The latency percentile, 0 to 100, after which a hedge is sent.
  double m_percentile = 95;
  Duration m_min_delay = std::chrono::milliseconds(5);

  bool operator==(const HedgeConfig&) const = default;
};

struct EjectionConfig {
  int m_consecutive_errors = 5;
  Duration m_base_time = std::chrono::seconds(1);
  Duration m_max_time = std::chrono::seconds(30);
  /// Largest share of the targets that may be ejected at once, 0 to 1.
  double m_max_share = 0.5;

  bool operator==(const EjectionConfig&) const = default;
};

struct SlowStartConfig {
  /// Time over which a cold target's share grows from a tenth to all of it.
  Duration m_window = std::chrono::seconds(5);

  bool operator==(const SlowStartConfig&) const = default;
};

/// A service: the content of one section.
struct ServiceConfig {
  std::string m_name;
  std::string m_team;
  Profile m_profile = Profile::kTailFirst;
  /// The header that identifies a request and that every answer repeats; empty
  /// if the backend servers repeat none.
  std::string m_request_id_header;
  std::vector<TargetConfig> m_targets;
  /// In order of precedence: a request belongs to the first that matches.
  std::vector<ClassConfig> m_classes;
  std::vector<TenantConfig> m_tenants;
  ProbeConfig m_probe;
  RetryConfig m_retry;
  HedgeConfig m_hedge;
  EjectionConfig m_ejection;
  SlowStartConfig m_slow_start;

  bool operator==(const ServiceConfig&) const = default;
};

/// A section of a document: its name, its team and its own TOML text.
struct SectionText {
  std::string m_name;
  std::string m_team;
  std::string m_toml;

  bool operator==(const SectionText&) const = default;
};

/// The schema version that this release writes.
inline constexpr int kDocumentSchema = 1;

/// Parses and checks one section's text under `schema`.
///
/// Errors: `kBadDocument`, whose text starts with `line L, column C: KEY:`.
/// The verdict depends on the arguments alone. Thread safe.
Result<ServiceConfig> ParseSection(std::string_view name,
                                   std::string_view toml,
                                   int schema = kDocumentSchema);

/// Parses and checks a document: `[section.NAME]` tables.
///
/// Errors: as for `ParseSection`. Thread safe.
Result<std::vector<ServiceConfig>> ParseDocument(std::string_view toml);

/// Splits a checked document into its sections' texts, each of which
/// `ParseSection` accepts.
Result<std::vector<SectionText>> SplitDocument(std::string_view toml);

/// The class that a request belongs to, or null if none matches.
const ClassConfig* FindClass(const ServiceConfig& service,
                             std::string_view method,
                             std::string_view path);

}  // namespace guavacross

#endif  // GUAVACROSS_DOCUMENT_H_
