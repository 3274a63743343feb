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
/// one service and has that service's name. Sections are published one by one;
/// `ParseSection` parses the text of one and `ParseDocument` a whole document.
/// All types are values that don't change after parsing.
namespace guavacross {

/// A service's preference between probing cost and tail latency.
enum class Profile {
  /// Few probes, at the price of a longer latency tail.
  kMeasuringFirst,
  /// A short latency tail, using the whole probe budget.
  kTailFirst,
};

/// A backend server that the document declares.
struct TargetConfig {
  std::string m_name;
  Endpoint m_address;
  std::string m_zone;
  /// Number of requests that the backend server runs concurrently.
  int m_slots = 4;
  /// Identifies the run of a backend server that registers itself; 0 if
  /// unknown. Another run under the same name counts as another server.
  std::uint64_t m_incarnation = 0;
  /// Remaining warm-up time of a backend server that has just started.
  Duration m_warm_up_left{};

  bool operator==(const TargetConfig&) const = default;
};

/// The configuration of one class of a service's requests.
struct ClassConfig {
  std::string m_name;
  /// HTTP methods of the class; empty means any.
  std::vector<std::string> m_methods;
  /// Prefix of the class's paths.
  std::string m_path_prefix = "/";
  /// Whether a request may safely run more than once.
  bool m_repeatable = true;
  /// Whether a hedge (a second copy) may be sent when the first is slow.
  bool m_hedge = false;
  /// Whether answers are large downloads, which get a separate share of slots.
  bool m_bulk = false;
  /// Longest time from the request's arrival to the start of its answer; zero
  /// means none. An answer that has started is not aborted by it unless it
  /// stops.
  Duration m_deadline = std::chrono::seconds(10);
  /// Whether an answer with a length ends at the deadline even if it still
  /// arrives. Otherwise one that has begun may go on as long as it doesn't
  /// stop.
  bool m_limit_whole_answer = false;
  /// Most requests that may wait for a slot on one instance.
  int m_queue_limit = 64;
  /// Longest wait for a slot.
  Duration m_queue_wait = std::chrono::seconds(1);
  /// Weight of the class's share of the service's slots under contention.
  int m_weight = 1;
  std::int64_t m_max_body_bytes = 1 << 20;
  /// Whether a non-repeatable request is claimed under its caller's key, so
  /// that copies of it are recognised. Otherwise each request is independent.
  bool m_claims = true;
  /// Latency objective: the time within which an answer is worth most; zero
  /// means none.
  Duration m_latency_objective{};
  /// Most targets to which one request may be sent; 0 uses the service's limit.
  int m_max_attempts = 0;

  bool operator==(const ClassConfig&) const = default;
};

/// The weight of a tenant's share of a service under contention.
struct TenantConfig {
  std::string m_name;
  int m_weight = 1;

  bool operator==(const TenantConfig&) const = default;
};

/// The probe budget, for all instances together.
struct ProbeConfig {
  double m_probes_per_second = 10;
  /// Largest share of the backend servers' slot time for probes, 0 to 1.
  double m_time_share = 0.01;
  /// Time that one probe takes on a backend server.
  Duration m_probe_cost = std::chrono::milliseconds(6);
  Duration m_timeout = std::chrono::milliseconds(250);
  /// The path that probes request; empty for the default.
  std::string m_path;
  /// Whether some targets are probed for each request before one is chosen,
  /// rather than all of them periodically. For targets whose speed changes
  /// faster than the budget allows all of them to be probed.
  bool m_per_request = false;

  bool operator==(const ProbeConfig&) const = default;
};

struct RetryConfig {
  /// Retries and hedges together, as a share of requests, 0 to 1.
  double m_budget_share = 0.1;
  /// Most attempts per request, including the first.
  int m_max_attempts = 3;
  /// Largest unused retry budget, in retries, that all instances together may
  /// accumulate; 0 gives each instance the default limit.
  double m_shared_max_balance = 0;

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
  /// Requests per second that a cold target takes from all instances together;
  /// 0 for no limit.
  double m_max_rate = 0;
  /// Time over which a cold target's share grows from a tenth to its full
  /// share.
  Duration m_window = std::chrono::seconds(5);

  bool operator==(const SlowStartConfig&) const = default;
};

/// A service: the content of one section.
struct ServiceConfig {
  std::string m_name;
  std::string m_team;
  Profile m_profile = Profile::kTailFirst;
  /// The header that identifies a request and that every answer echoes; empty
  /// if the backend servers echo none.
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

/// A section of a document: its name, its team and its TOML text.
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
/// Pure: the result depends on the arguments alone. Thread safe.
Result<ServiceConfig> ParseSection(std::string_view name,
                                   std::string_view toml,
                                   int schema = kDocumentSchema);

/// Parses and checks a document: `[section.NAME]` tables.
///
/// Errors: as for `ParseSection`. Thread safe.
Result<std::vector<ServiceConfig>> ParseDocument(std::string_view toml);

/// Splits a valid document into its sections' texts, each of which
/// `ParseSection` accepts.
Result<std::vector<SectionText>> SplitDocument(std::string_view toml);

/// The class that a request belongs to, or null if none matches.
const ClassConfig* FindClass(const ServiceConfig& service,
                             std::string_view method,
                             std::string_view path);

}  // namespace guavacross

#endif  // GUAVACROSS_DOCUMENT_H_
