#include "load/load_generator.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cmath>
#include <utility>

#include "guavacross/wire_names.h"
#include "load/answer_body.h"

namespace guavacross::load {

namespace {

constexpr Duration kAddressTimeout = std::chrono::seconds(2);
// Delay before a failed address query is repeated.
constexpr Duration kAddressRetryDelay = std::chrono::milliseconds(200);
constexpr int kMaxAddressAttempts = 20;

// Returns whether the answer echoes the request's identity and its body is
// intact.
bool AnswerMatchesRequest(const ClientAnswer& answer,
                          const std::string& request_id) {
  const auto& fields = answer.m_head.m_fields;
  if (fields.Find(kRequestIdHeader) != std::string_view(request_id)) {
    return false;
  }
  const auto hash = fields.Find(kBodyHashHeader);
  return !hash.has_value() || *hash == FormatHash(answer.m_body_hash);
}

}  // namespace

// The addresses of a service, and the requests that wait for them.
struct LoadGenerator::Addresses {
  struct Weighted {
    Endpoint m_endpoint;
    double m_weight = 1;
  };
  std::vector<Weighted> m_list;
  TimePoint m_valid_until{};
  bool m_query_pending = false;
  int m_failed_attempts = 0;
  std::vector<std::function<void(const Endpoint&)>> m_waiting_requests;
  std::unique_ptr<Timer> m_retry;
};

// The scheduled time of a class's next request.
struct LoadGenerator::Arrival {
  TimePoint m_due;
};

double ClassResult::Percentile(double percentile) const {
  if (m_latencies_ms.empty()) {
    return 0;
  }
  std::vector<float> sorted = m_latencies_ms;
  const double rank =
      std::ceil(percentile / 100.0 * static_cast<double>(sorted.size()));
  const std::size_t index = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::max(rank, 1.0)) - 1, 0, sorted.size() - 1);
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

LoadGenerator::LoadGenerator(LoadPlan plan, Clock clock, OnDone on_done)
    : m_plan(std::move(plan)),
      m_clock(std::move(clock)),
      m_on_done(std::move(on_done)),
      m_random(m_plan.m_seed) {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start() {
  m_started = m_clock.m_now();
  m_arrivals.assign(m_plan.m_classes.size(), Arrival{m_started});
  for (std::size_t i = 0; i < m_plan.m_classes.size(); ++i) {
    m_results[m_plan.m_classes[i].m_name];
    ScheduleNext(i);
  }
  SendDueRequests();
}

void LoadGenerator::ScheduleNext(std::size_t class_index) {
  std::exponential_distribution<double> interarrival_time(
      m_plan.m_classes[class_index].m_rate);
  m_arrivals[class_index].m_due += FromSeconds(interarrival_time(m_random));
}

void LoadGenerator::SendDueRequests() {
  const TimePoint end = m_started + m_plan.m_duration;
  const TimePoint now = m_clock.m_now();
  TimePoint next = end;
  for (std::size_t i = 0; i < m_arrivals.size(); ++i) {
    Arrival& arrival = m_arrivals[i];
    while (arrival.m_due <= now && arrival.m_due < end) {
      SendRequest(m_plan.m_classes[i], arrival.m_due);
      ScheduleNext(i);
    }
    next = std::min(next, arrival.m_due);
  }
  if (now >= end) {
    m_timer.reset();
    FinishIfDone();
    return;
  }
  // Timers have millisecond resolution and round up. Rounding down here sends
  // requests on time, at the cost of polling during the last millisecond.
  const Duration delay = std::chrono::floor<std::chrono::milliseconds>(
      std::max(next - now, Duration::zero()));
  m_timer = m_clock.m_call_after(delay, [this] { SendDueRequests(); });
}

void LoadGenerator::SendRequest(const LoadClass& load_class, TimePoint due) {
  ++m_in_flight;
  ++m_results[load_class.m_name].m_sent;
  if (m_plan.m_direct) {
    SendTo(m_plan.m_endpoints[m_next_entry++ % m_plan.m_endpoints.size()],
           load_class, due);
    return;
  }
  ResolveAddress(load_class, [this, &load_class, due](const Endpoint& to) {
    SendTo(to, load_class, due);
  });
}

void LoadGenerator::SendTo(const Endpoint& to,
                           const LoadClass& load_class,
                           TimePoint due) {
  const std::string id =
      "r" + std::to_string(m_plan.m_seed) + "-" + std::to_string(m_next_id++);
  http::RequestHead head;
  head.m_method = load_class.m_method;
  head.m_target = load_class.m_target;
  head.m_fields = {{"Host", load_class.m_service},
                   {kServiceHeader, load_class.m_service},
                   {kTenantHeader, load_class.m_tenant},
                   {kRequestIdHeader, id}};
  if (load_class.m_with_idempotency_key) {
    head.m_fields.Add(kIdempotencyKeyHeader, id);
  }
  m_client.Send(
      to, std::move(head), std::string(load_class.m_body_bytes, 'b'),
      load_class.m_timeout,
      [this, &load_class, id, due](const util::Expected<ClientAnswer>& answer) {
        RecordResult(load_class, id, due, answer);
      });
}

void LoadGenerator::ResolveAddress(
    const LoadClass& load_class,
    std::function<void(const Endpoint&)> on_address) {
  auto& addresses = m_addresses[load_class.m_service];
  if (addresses == nullptr) {
    addresses = std::make_unique<Addresses>();
  }
  const bool fresh = m_clock.m_now() < addresses->m_valid_until;
  if (!fresh && !addresses->m_query_pending) {
    QueryAddresses(load_class.m_service);
  }
  if (!addresses->m_list.empty() && (fresh || addresses->m_query_pending)) {
    // An expired list remains in use until its replacement arrives.
    on_address(PickAddress(*addresses));
    return;
  }
  addresses->m_waiting_requests.push_back(std::move(on_address));
}

void LoadGenerator::QueryAddresses(const std::string& service) {
  m_addresses[service]->m_query_pending = true;
  const Endpoint& entry =
      m_plan.m_endpoints[m_next_entry++ % m_plan.m_endpoints.size()];
  http::RequestHead head;
  head.m_method = "GET";
  head.m_target = std::string(kAddressesPath) + "?service=" + service +
                  "&zone=" + m_plan.m_zone;
  m_client.Send(entry, std::move(head), "", kAddressTimeout,
                [this, service](const util::Expected<ClientAnswer>& answer) {
                  HandleAddressAnswer(service, answer);
                });
}

void LoadGenerator::HandleAddressAnswer(
    const std::string& service,
    const util::Expected<ClientAnswer>& answer) {
  Addresses& addresses = *m_addresses[service];
  std::vector<Addresses::Weighted> list;
  QJsonObject root;
  if (answer && answer.m_value->m_head.m_status == 200) {
    root = QJsonDocument::fromJson(
               QByteArray::fromStdString(answer.m_value->m_body))
               .object();
  }
  for (const auto& value : root["addresses"].toArray()) {
    const QJsonObject entry = value.toObject();
    Addresses::Weighted weighted;
    weighted.m_weight = entry["weight"].toDouble(1);
    if (ParseEndpoint(entry["address"].toString().toStdString(),
                      &weighted.m_endpoint)) {
      list.push_back(weighted);
    }
  }
  const bool failed = list.empty();
  if (failed && ++addresses.m_failed_attempts < kMaxAddressAttempts) {
    addresses.m_retry = m_clock.m_call_after(
        kAddressRetryDelay, [this, service] { QueryAddresses(service); });
    return;
  }
  addresses.m_query_pending = false;
  addresses.m_failed_attempts = 0;
  if (failed) {
    // Without an address list, fall back to the configured entry instances.
    for (const Endpoint& entry : m_plan.m_endpoints) {
      list.push_back({.m_endpoint = entry});
    }
  }
  addresses.m_list = std::move(list);
  addresses.m_valid_until =
      m_clock.m_now() +
      std::chrono::milliseconds(root["keep_for_ms"].toInt(1000));
  const auto waiting = std::exchange(addresses.m_waiting_requests, {});
  for (const auto& on_address : waiting) {
    on_address(PickAddress(addresses));
  }
}

Endpoint LoadGenerator::PickAddress(const Addresses& addresses) {
  double total = 0;
  for (const auto& entry : addresses.m_list) {
    total += entry.m_weight;
  }
  double remaining_weight =
      std::uniform_real_distribution<double>(0, total)(m_random);
  for (const auto& entry : addresses.m_list) {
    remaining_weight -= entry.m_weight;
    if (remaining_weight <= 0) {
      return entry.m_endpoint;
    }
  }
  return addresses.m_list.back().m_endpoint;
}

void LoadGenerator::RecordResult(const LoadClass& load_class,
                                 const std::string& request_id,
                                 TimePoint due,
                                 const util::Expected<ClientAnswer>& answer) {
  ClassResult& result = m_results[load_class.m_name];
  std::string outcome = "unknown";
  if (!answer) {
    const bool unsent = answer.m_error.m_kind == ErrorKind::kConnectFailed;
    outcome = unsent ? "not-run" : "unknown";
    ++result.m_reasons["caller:" +
                       std::string(AnswerFor(answer.m_error.m_kind).m_name)];
  } else if (const auto reason =
                 answer.m_value->m_head.m_fields.Find(kReasonHeader)) {
    ++result.m_reasons[std::string(*reason)];
    outcome = std::string(
        answer.m_value->m_head.m_fields.Find(kOutcomeHeader).value_or(""));
  } else {
    outcome = "done";
    ++result.m_answered;
    result.m_wrong += AnswerMatchesRequest(*answer.m_value, request_id) ? 0 : 1;
    result.m_server_errors += answer.m_value->m_head.m_status >= 500 ? 1 : 0;
    if (due >= m_started + m_plan.m_warm_up) {
      result.m_latencies_ms.push_back(
          static_cast<float>(Milliseconds(m_clock.m_now() - due)));
    }
  }
  result.m_not_run += outcome == "not-run" ? 1 : 0;
  result.m_unknown += outcome == "unknown" ? 1 : 0;
  if (load_class.m_with_idempotency_key) {
    result.m_outcomes[request_id] = outcome;
  }
  --m_in_flight;
  FinishIfDone();
}

void LoadGenerator::FinishIfDone() {
  const bool all_finished = m_timer == nullptr && m_in_flight == 0;
  if (!all_finished || m_finished) {
    return;
  }
  m_finished = true;
  m_on_done();
}

}  // namespace guavacross::load
