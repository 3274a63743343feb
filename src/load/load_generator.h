#ifndef GUAVACROSS_LOAD_LOAD_GENERATOR_H_
#define GUAVACROSS_LOAD_LOAD_GENERATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/time.h"
#include "load/http_client.h"

namespace guavacross::load {

/// A class of requests that the generator sends.
struct LoadClass {
  std::string m_name;
  std::string m_service;
  std::string m_tenant;
  std::string m_method = "GET";
  std::string m_target = "/";
  /// Whether to send an `Idempotency-Key` with each request.
  bool m_with_idempotency_key = false;
  std::size_t m_body_bytes = 0;
  /// Requests per second; arrivals are a Poisson process.
  double m_rate = 1;
  Duration m_timeout = std::chrono::seconds(30);

  bool operator==(const LoadClass&) const = default;
};

/// The requests to send, their destinations and the duration.
struct LoadPlan {
  /// Entry instances that are queried for addresses; with `m_direct`, the
  /// servers that receive the requests in round-robin order.
  std::vector<Endpoint> m_endpoints;
  bool m_direct = false;
  /// The callers' availability zone, sent with address queries.
  std::string m_zone;
  std::vector<LoadClass> m_classes;
  Duration m_duration = std::chrono::seconds(5);
  /// Latencies of requests due in this initial period are not recorded.
  Duration m_warm_up = Duration::zero();
  std::uint64_t m_seed = 1;

  bool operator==(const LoadPlan&) const = default;
};

/// Counts and latencies of one class's requests.
struct ClassResult {
  std::uint64_t m_sent = 0;
  /// Complete answers from backend servers.
  std::uint64_t m_answered = 0;
  std::uint64_t m_not_run = 0;
  std::uint64_t m_unknown = 0;
  /// Answers that belong to another request or are corrupted.
  std::uint64_t m_wrong = 0;
  /// Answers from backend servers with status 500 or above.
  std::uint64_t m_server_errors = 0;
  /// Failures by reason: those of answers that guavacross generated itself, and
  /// `caller:` with an error name for requests that got no complete answer.
  std::map<std::string, std::uint64_t> m_reasons;
  /// Latency of each answered request in milliseconds, measured from its
  /// scheduled send time. Measuring from the actual send would hide delays of
  /// a slow client (coordinated omission, G. Tene).
  std::vector<float> m_latencies_ms;
  /// Outcomes of requests with an idempotency key, by request identity.
  std::map<std::string, std::string> m_outcomes;

  /// Returns the given percentile (0 to 100) of the latencies, or 0 if there
  /// are none.
  double Percentile(double percentile) const;
};

/// Open-loop load generator: sends each request at its scheduled time, whether
/// or not earlier ones have been answered. Verifies that each answer echoes
/// `X-Request-Id` and that its body matches `X-Body-Hash` if the server sends
/// it.
///
/// Must be used on one thread with a Qt event loop. `Start` returns
/// immediately; `on_done` is called once all requests have finished.
class LoadGenerator {
 public:
  using OnDone = std::function<void()>;

  LoadGenerator(LoadPlan plan, Clock clock, OnDone on_done);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  void Start();

  const std::map<std::string, ClassResult>& results() const {
    return m_results;
  }

 private:
  struct Addresses;
  struct Arrival;

  void ScheduleNext(std::size_t class_index);
  void SendDueRequests();
  void SendRequest(const LoadClass& load_class, TimePoint due);
  void SendTo(const Endpoint& to, const LoadClass& load_class, TimePoint due);
  void ResolveAddress(const LoadClass& load_class,
                      std::function<void(const Endpoint&)> on_address);
  void QueryAddresses(const std::string& service);
  void HandleAddressAnswer(const std::string& service,
                           const util::Expected<ClientAnswer>& answer);
  Endpoint PickAddress(const Addresses& addresses);
  void RecordResult(const LoadClass& load_class,
                    const std::string& request_id,
                    TimePoint due,
                    const util::Expected<ClientAnswer>& answer);
  void FinishIfDone();

  LoadPlan m_plan;
  Clock m_clock;
  OnDone m_on_done;
  HttpClient m_client;
  std::mt19937_64 m_random;
  TimePoint m_started;
  bool m_finished = false;
  std::uint64_t m_next_id = 0;
  std::uint64_t m_in_flight = 0;
  std::size_t m_next_entry = 0;
  std::vector<Arrival> m_arrivals;
  std::map<std::string, std::unique_ptr<Addresses>> m_addresses;
  std::map<std::string, ClassResult> m_results;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace guavacross::load

#endif  // GUAVACROSS_LOAD_LOAD_GENERATOR_H_
