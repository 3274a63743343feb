#include "serve/route_status.h"

#include <QJsonArray>
#include <optional>

namespace guavacross::serve {

namespace {

std::string StateName(const TargetStatus& target) {
  if (target.m_draining) {
    return "draining";
  }
  if (target.m_ejected) {
    return "ejected";
  }
  return target.m_slow_start ? "slow-start" : "usable";
}

std::optional<double> ReadAge(const feed::StreamState& stream, TimePoint now) {
  if (!stream.m_read_at.has_value()) {
    return std::nullopt;
  }
  return Seconds(now - *stream.m_read_at);
}

void RaiseCounterTo(prometheus::Counter* counter, std::uint64_t total) {
  counter->Increment(static_cast<double>(total) - counter->Value());
}

QJsonObject ToJson(const TargetStatus& target, const RouteStatus& status) {
  QJsonObject json{
      {"name", QString::fromStdString(target.m_name)},
      {"zone", QString::fromStdString(target.m_zone)},
      {"address", QString::fromStdString(ToString(target.m_address))},
      {"state", QString::fromStdString(StateName(target))},
      {"in_flight", target.m_in_flight},
      {"slots", target.m_slots}};
  if (target.m_pause_left > Duration::zero()) {
    json["pause_left_s"] = Seconds(target.m_pause_left);
  }
  if (target.m_cold_left > Duration::zero()) {
    json["cold_left_s"] = Seconds(target.m_cold_left);
    json["cold_share_per_s"] = target.m_cold_share;
  }
  if (target.m_request_limit > 0) {
    json["request_limit_per_s"] = target.m_request_limit;
    json["request_share_per_s"] = target.m_request_share;
  }
  const auto age = status.m_entry_ages.find(target.m_name);
  if (age != status.m_entry_ages.end()) {
    json["entry_age_s"] = Seconds(age->second);
  }
  return json;
}

QJsonArray ServicesToJson(const RouteStatus& status) {
  QJsonArray services;
  for (const ServiceStatus& service : status.m_services) {
    QJsonArray targets;
    for (const TargetStatus& target : service.m_targets) {
      targets.append(ToJson(target, status));
    }
    services.append(
        QJsonObject{{"name", QString::fromStdString(service.m_name)},
                    {"waiting", service.m_queued},
                    {"crowded", service.m_crowded},
                    {"targets", targets}});
  }
  return services;
}

QJsonArray StreamsToJson(const RouteStatus& status, TimePoint now) {
  QJsonArray streams;
  for (const feed::StreamState& stream : status.m_streams) {
    QJsonObject json{{"name", QString::fromStdString(stream.m_stream)},
                     {"read_to", static_cast<qint64>(stream.m_read_to)},
                     {"reads_itself", stream.m_reaches_store}};
    if (const auto age = ReadAge(stream, now)) {
      json["read_age_s"] = *age;
    }
    streams.append(json);
  }
  return streams;
}

}  // namespace

QJsonObject ToJson(const RouteStatus& status, TimePoint now) {
  QJsonArray evacuated_zones;
  for (const std::string& zone : status.m_evacuated_zones) {
    evacuated_zones.append(QString::fromStdString(zone));
  }
  QJsonArray peers;
  for (const Member& peer : status.m_peers) {
    peers.append(QJsonObject{
        {"name", QString::fromStdString(peer.m_id.m_name)},
        {"zone", QString::fromStdString(peer.m_zone)},
        {"state",
         QString::fromStdString(std::string(MemberStateName(peer.m_state)))},
        {"config_version", static_cast<qint64>(peer.m_config_version)}});
  }
  return {{"instance", QString::fromStdString(status.m_name)},
          {"region", QString::fromStdString(status.m_region)},
          {"zone", QString::fromStdString(status.m_zone)},
          {"ready", status.m_ready},
          {"leaving", status.m_leaving},
          {"configuration",
           QJsonObject{{"version", static_cast<qint64>(status.m_version)},
                       {"in_force_s", Seconds(status.m_in_force_for)},
                       {"unreadable_parts",
                        static_cast<qint64>(status.m_config_problems)}}},
          {"evacuated_zones", evacuated_zones},
          {"store",
           QJsonObject{{"reachable", status.m_store_error.empty()},
                       {"error", QString::fromStdString(status.m_store_error)},
                       {"streams", StreamsToJson(status, now)}}},
          {"services", ServicesToJson(status)},
          {"peers", peers}};
}

void SetGauges(const RouteStatus& status,
               TimePoint now,
               util::Metrics* metrics) {
  const auto set = [metrics](const char* name, const char* help, double value,
                             const util::Metrics::Labels& labels = {}) {
    metrics->Gauge(name, help, labels).Set(value);
  };
  set("guavacross_ready", "Whether callers are directed to this instance",
      status.m_ready ? 1 : 0);
  set("guavacross_config_version", "Version of the configuration in force",
      static_cast<double>(status.m_version));
  set("guavacross_config_unreadable_parts",
      "Parts of the configuration in force that couldn't be read",
      static_cast<double>(status.m_config_problems));
  set("guavacross_evacuated_zones", "Zones whose targets get no requests",
      static_cast<double>(status.m_evacuated_zones.size()));
  set("guavacross_config_in_force_seconds",
      "Time since the configuration took effect",
      Seconds(status.m_in_force_for));
  set("guavacross_store_reachable",
      "Whether any instance has read the store recently",
      status.m_store_error.empty() ? 1 : 0);
  for (const feed::StreamState& stream : status.m_streams) {
    if (const auto age = ReadAge(stream, now)) {
      set("guavacross_stream_read_age_seconds",
          "Time since any instance last read the stream", *age,
          {{"stream", stream.m_stream}});
    }
  }
  for (const ServiceStatus& service : status.m_services) {
    std::map<std::string, int> by_state{
        {"usable", 0}, {"ejected", 0}, {"draining", 0}, {"slow-start", 0}};
    int in_flight = 0;
    for (const TargetStatus& target : service.m_targets) {
      ++by_state[StateName(target)];
      in_flight += target.m_in_flight;
    }
    for (const auto& [state, count] : by_state) {
      set("guavacross_targets", "Targets by state", count,
          {{"service", service.m_name}, {"state", state}});
    }
    const util::Metrics::Labels labels{{"service", service.m_name}};
    set("guavacross_attempts_in_flight", "Attempts of this instance in flight",
        in_flight, labels);
    set("guavacross_waiting_requests", "Requests queued for a target",
        service.m_queued, labels);
    set("guavacross_crowded",
        "Whether the targets are so full that requests wait for a free slot "
        "instead",
        service.m_crowded ? 1 : 0, labels);
    RaiseCounterTo(&metrics->Counter("guavacross_retries_total",
                                     "Retries charged to the budget", labels),
                   service.m_retries);
    const std::uint64_t by_choice =
        service.m_left_zone - service.m_left_empty_zone;
    for (const auto& [reason, count] :
         {std::pair("cheaper-elsewhere", by_choice),
          std::pair("no-target-here", service.m_left_empty_zone)}) {
      util::Metrics::Labels with_reason = labels;
      with_reason.emplace("reason", reason);
      RaiseCounterTo(
          &metrics->Counter("guavacross_left_zone_total",
                            "Attempts sent to another availability zone, by "
                            "service and why",
                            with_reason),
          count);
    }
    RaiseCounterTo(&metrics->Counter("guavacross_hedges_total",
                                     "Hedges charged to the budget", labels),
                   service.m_hedges);
  }
}

}  // namespace guavacross::serve
