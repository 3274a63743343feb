#ifndef GUAVACROSS_STANDIN_BACKEND_SERVER_H_
#define GUAVACROSS_STANDIN_BACKEND_SERVER_H_

#include <QObject>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "guavacross/time.h"
#include "standin/component.h"
#include "standin/http_service.h"

namespace guavacross::standin {

/// Distribution of the time that requests occupy a slot.
struct ServiceTime {
  enum class Kind { kFixed, kExponential, kBimodal };
  /// Applies to paths with this prefix.
  std::string m_path_prefix = "/";
  Kind m_kind = Kind::kExponential;
  double m_mean_ms = 2;
  /// With `kBimodal`: the fraction of slow requests and their service time.
  double m_slow_share = 0;
  double m_slow_ms = 0;

  bool operator==(const ServiceTime&) const = default;
};

/// Faults that can be injected into a backend server. Times are in
/// milliseconds.
struct BackendFaults {
  /// Reports draining on answers and probes, but continues to serve.
  bool m_draining = false;
  /// Probes never report draining; answers to requests do.
  bool m_lying_health = false;
  /// Probes report load and draining state with this delay.
  int m_health_lag_ms = 0;
  /// Refuses requests, marked as not run, when more than this many are queued;
  /// -1 disables shedding.
  int m_shed_over = -1;
  /// Multiplies service times, for `m_straggle_for_ms` or, if that is 0,
  /// without a time limit.
  double m_straggle_factor = 1;
  int m_straggle_for_ms = 0;
  /// Answers 500 immediately.
  bool m_fail_fast = false;
  /// Reads requests, but neither runs nor answers them.
  bool m_black_hole = false;
  /// Refuses new connections; open ones are reset when this is enabled.
  bool m_refuse = false;
  /// Reset the connection on each request, before or after running it.
  bool m_reset_before_run = false;
  bool m_reset_after_run = false;
  /// Closes the connection after half of the body.
  bool m_truncate = false;
  /// Resets the connection after half of the body.
  bool m_reset_midway = false;
  /// Delays each answer by this after the run ends; the slot is already free.
  int m_answer_late_ms = 0;
  /// Sends extra bytes after the end of each answer.
  bool m_surplus_bytes = false;
  /// Sends each answer twice.
  bool m_answer_twice = false;
  /// Sends an answer as soon as a connection opens, before any request.
  bool m_answer_early = false;
  /// Downtime after a request that is marked to crash the server; 0 ignores
  /// the mark.
  int m_crash_ms = 1000;
  /// Continues to run a request whose caller has disconnected.
  bool m_ignore_cancel = false;

  bool operator==(const BackendFaults&) const = default;
};

struct BackendOptions {
  std::string m_name = "backend";
  Endpoint m_listen;
  int m_slots = 4;
  std::vector<ServiceTime> m_service_times = {ServiceTime{}};
  /// After a start, service times are multiplied by a factor that decreases
  /// linearly from `m_cold_factor` to 1 over this time; 0 disables warm-up.
  int m_cold_ms = 0;
  double m_cold_factor = 3;
  /// Time for which one probe occupies a slot.
  int m_probe_ms = 6;
  std::uint64_t m_seed = 1;

  bool operator==(const BackendOptions&) const = default;
};

/// A header, and a substring of the path, that each mark a request as crashing
/// the backend server that runs it.
inline constexpr char kCrashHeader[] = "X-Crash";
inline constexpr char kCrashPath[] = "/crash";

/// A simulated backend server with fault injection. It runs requests on a
/// limited number of slots and queues the others.
///
/// A request's query may contain `bytes` (size of the answer), `ms` (service
/// time) and `rate` (bytes per second of the answer). The answer's body is
/// `load::AnswerBytes` of the request's identity: its `Idempotency-Key`, or
/// else its `X-Request-Id`. Every start of a run is counted by that identity.
///
/// Construct it, move it to its thread, then call `Start`.
class BackendServer : public QObject, public Component {
 public:
  BackendServer(BackendOptions options, Clock clock);
  ~BackendServer() override;

  /// Starts listening. Returns false if the address is not available. Thread
  /// safe.
  bool Start();
  Endpoint endpoint() const { return m_service.endpoint(); }

  std::string name() const override { return m_options.m_name; }
  QJsonObject Faults() override;
  QString SetFaults(const QJsonObject& json) override;
  QJsonObject Counters() override;
  QJsonObject Runs() override;

 private:
  struct Job;
  using JobPointer = std::shared_ptr<Job>;
  struct Health {
    TimePoint m_since;
    int m_in_flight = 0;
    bool m_draining = false;
  };
  struct CounterSet {
    std::uint64_t m_requests = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_deadline_missed = 0;
    std::uint64_t m_cancelled_queued = 0;
    std::uint64_t m_cancelled_running = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_probes = 0;
    std::uint64_t m_probe_ms = 0;
    std::uint64_t m_crashes = 0;
    int m_max_running = 0;
    int m_max_waiting = 0;
  };

  void Handle(const std::shared_ptr<Exchange>& exchange);
  bool HandleFault(const std::shared_ptr<Exchange>& exchange);
  void Enqueue(const JobPointer& job);
  void StartQueuedJobs();
  void Run(const JobPointer& job);
  void FinishRun(const JobPointer& job);
  void CancelJob(const JobPointer& job);
  void FreeSlot(const JobPointer& job);
  void AnswerJob(const JobPointer& job);
  void AnswerProbe(const JobPointer& job);
  void SendBody(const JobPointer& job);
  void StreamBody(const JobPointer& job);
  void Refuse(const std::shared_ptr<Exchange>& exchange, bool not_run);
  http::ResponseHead MakeHead(const Exchange& exchange, int status) const;
  void Crash();
  void Restart();
  void ApplyFaults();
  int SampleServiceMs(const Exchange& exchange);
  double ServiceTimeFactor();
  int InFlight() const;
  void RecordHealth();
  Health ReportedHealth() const;
  bool ParseServiceTimes(QJsonObject* json);

  BackendOptions m_options;
  Clock m_clock;
  BackendFaults m_faults;
  HttpService m_service;
  std::deque<JobPointer> m_queue;
  std::unordered_set<JobPointer> m_running;
  std::unordered_map<std::string, int> m_runs;
  std::deque<Health> m_health_history;
  std::mt19937_64 m_random;
  CounterSet m_counters;
  TimePoint m_started_at;
  TimePoint m_straggle_until = TimePoint::max();
  std::uint64_t m_incarnation;
  bool m_down = false;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_BACKEND_SERVER_H_
