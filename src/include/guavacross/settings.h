#ifndef GUAVACROSS_SETTINGS_H_
#define GUAVACROSS_SETTINGS_H_

#include <set>
#include <string>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"

namespace guavacross {

/// Settings of one entry instance, read from TOML and overridden by flags.
struct InstanceSettings {
  std::string m_name;
  std::string m_region;
  std::string m_zone;
  /// Where callers connect.
  Endpoint m_callers;
  /// Where operators read status and metrics.
  Endpoint m_operators;
  /// Where other instances connect (gRPC).
  Endpoint m_peers;
  /// The platform's log service and instance list (HTTP).
  Endpoint m_log_service;
  Endpoint m_instance_list;
  /// Worker threads that forward callers' requests.
  int m_workers = 2;
  /// Most connections from callers that may be open at one time.
  int m_max_caller_connections = 10000;
  /// Most connections to one backend server that may be open at one time.
  int m_max_target_connections = 64;
  /// How long a caller may cache an address answer; a graceful shutdown keeps
  /// accepting connections for this long.
  Duration m_address_lifetime = std::chrono::seconds(5);
  /// Longest graceful shutdown; zero means no limit.
  Duration m_shutdown_limit = Duration::zero();
  /// Shortest time for which the platform's log service retains a record. The
  /// configuration snapshot is rewritten four times within it.
  Duration m_log_retention = std::chrono::hours(1);
  std::string m_log_level = "info";
  /// How targets are chosen; all policies but the default are baselines for
  /// comparison.
  ChoicePolicy m_choice_policy = ChoicePolicy::kGuavacross;
  /// Parts of the policy that are disabled, for measurements only.
  std::set<Mechanism> m_disabled_mechanisms;

  bool operator==(const InstanceSettings&) const = default;
};

/// Parses and checks settings.
///
/// `toml` is the file's text; `overrides` holds `key=value` lines in TOML that
/// take precedence over it. Errors: `kBadSettings`, with line, column and key.
Result<InstanceSettings> ParseSettings(
    std::string_view toml,
    const std::vector<std::string>& overrides);

}  // namespace guavacross

#endif  // GUAVACROSS_SETTINGS_H_
