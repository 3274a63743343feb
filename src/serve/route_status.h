#ifndef GUAVACROSS_SERVE_ROUTE_STATUS_H_
#define GUAVACROSS_SERVE_ROUTE_STATUS_H_

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "feed/shared_records.h"
#include "guavacross/membership.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"
#include "util/metrics.h"

namespace guavacross::serve {

/// A snapshot of a route instance's state, for operators.
struct RouteStatus {
  std::string m_name;
  std::string m_region;
  std::string m_zone;
  bool m_ready = false;
  bool m_leaving = false;
  /// Version of the configuration in force; 0 if there is none.
  std::uint64_t m_version = 0;
  Duration m_in_force_for{};
  /// Why the store counts as lost; empty while it is reachable.
  std::string m_store_error;
  std::vector<feed::StreamState> m_streams;
  std::vector<ServiceStatus> m_services;
  /// Time since each target's entry was last updated, by target name.
  std::map<std::string, Duration> m_entry_ages;
  std::vector<Member> m_peers;
  std::set<std::string> m_evacuated_zones;
  /// Parts of the configuration in force that couldn't be read.
  std::size_t m_config_problems = 0;

  bool operator==(const RouteStatus&) const = default;
};

/// The status as JSON, as read by `guavacross status`. `now` must come from the
/// same clock as the streams' read times. Thread safe.
QJsonObject ToJson(const RouteStatus& status, TimePoint now);

/// Sets the metrics that show the status. Targets are counted by service and
/// state; there are no series for single targets, so that the number of series
/// stays bounded.
void SetGauges(const RouteStatus& status,
               TimePoint now,
               util::Metrics* metrics);

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_ROUTE_STATUS_H_
