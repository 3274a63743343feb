#ifndef GUAVACROSS_SERVE_ROUTE_STATUS_H_
#define GUAVACROSS_SERVE_ROUTE_STATUS_H_

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "feed/shared_records.h"
#include "guavacross/membership.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"
#include "util/metrics.h"

namespace guavacross::serve {

/// What a route instance knows and does at one moment, for operators.
struct RouteStatus {
  std::string m_name;
  std::string m_region;
  std::string m_zone;
  bool m_ready = false;
  bool m_leaving = false;
  /// The configuration in force; 0 if there is none.
  std::uint64_t m_version = 0;
  Duration m_in_force_for{};
  /// Why the store counts as lost; empty if it doesn't.
  std::string m_store_error;
  std::vector<feed::StreamState> m_streams;
  std::vector<ServiceStatus> m_services;
  /// Time since each target's entry was last told, by the target's name.
  std::map<std::string, Duration> m_entry_ages;
  std::vector<Member> m_peers;

  bool operator==(const RouteStatus&) const = default;
};

/// The status as JSON, as `guavacross status` reads it. `now` is the time of
/// the clock that dates the streams' reads. Thread safe.
QJsonObject ToJson(const RouteStatus& status, TimePoint now);

/// Sets the gauges of `metrics` to the status: one series for each service and
/// state, none for single targets, so that their number stays bounded.
void SetGauges(const RouteStatus& status,
               TimePoint now,
               util::Metrics* metrics);

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_ROUTE_STATUS_H_
