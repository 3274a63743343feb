#include "routing/testing/pool_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <utility>

#include "policy/random.h"
#include "util/manual_clock.h"

namespace guavacross::routing::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRouterCheckInterval = milliseconds(5);
constexpr Duration kPeerExchangeInterval = milliseconds(100);
constexpr Duration kFaultPeriod = seconds(2);
constexpr Duration kConnectFailure = milliseconds(1);

// An attempt that has been sent to a target.
struct Job {
  std::size_t m_instance = 0;
  std::uint64_t m_request = 0;
  Grant m_grant;
  bool m_running = false;
  bool m_ended = false;
};
using JobPtr = std::shared_ptr<Job>;

struct ModelTarget {
  std::deque<JobPtr> m_queue;
  int m_running = 0;
  double m_service_time_factor = 1;
  bool m_fails = false;
  bool m_crashed = false;
  bool m_draining = false;
  int m_incarnation_number = 1;

  int in_flight() const { return m_running + static_cast<int>(m_queue.size()); }
};

struct Request {
  std::size_t m_instance = 0;
  TimePoint m_arrived;
  int m_attempts = 0;
  int m_open_attempts = 0;
  bool m_done = false;
  std::vector<std::string> m_targets_used;
  std::vector<JobPtr> m_jobs;
};

class Model {
 public:
  explicit Model(const ModelOptions& options)
      : m_options(options), m_random(options.m_seed) {
    m_targets.resize(options.m_targets);
    for (int i = 0; i < options.m_instances; ++i) {
      m_routers.push_back(std::make_unique<Router>(
          RouterOptions{.m_policy = options.m_policy,
                        .m_disabled = options.m_disabled,
                        .m_seed = options.m_seed + 100 + i,
                        .m_clock = m_clock.clock()},
          RouterHooks{.m_on_drain = [this](const DrainNotice& notice) {
            After(m_options.m_message_delay,
                  [=, this] { BroadcastDrain(notice); });
          }}));
      m_routers.back()->SetInstanceCount(options.m_instances);
      m_routers.back()->Configure(Config());
    }
  }

  ModelResult Run() {
    m_end = m_clock.now() + m_options.m_duration;
    Arrive();
    Tick();
    ExchangeCounts();
    UpdateFault(0);
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_clock.Advance(event.m_time - m_clock.now());
      event.m_call();
    }
    return Finish();
  }

 private:
  struct Event {
    TimePoint m_time;
    std::uint64_t m_order;
    std::function<void()> m_call;

    bool operator<(const Event& other) const {
      return m_time != other.m_time ? m_time > other.m_time
                                    : m_order > other.m_order;
    }
  };

  ServiceConfig Config() const {
    ServiceConfig config;
    config.m_name = "model";
    config.m_profile = m_options.m_profile;
    for (int i = 0; i < m_options.m_targets; ++i) {
      config.m_targets.push_back(
          {.m_name = std::to_string(i), .m_slots = m_options.m_slots});
    }
    config.m_classes = {{.m_name = "read", .m_hedge = true}};
    return config;
  }

  void BroadcastDrain(const DrainNotice& notice) {
    for (const auto& router : m_routers) {
      router->LearnDrain(notice);
    }
  }

  void After(Duration delay, std::function<void()> call) {
    m_events.push({m_clock.now() + delay, m_next_order++, std::move(call)});
  }

  bool IsRunning() const { return m_clock.now() < m_end; }

  double Exponential(double mean) {
    return -mean * std::log(1 - m_random.Uniform());
  }

  void Arrive() {
    if (!IsRunning()) {
      return;
    }
    const double capacity = m_options.m_targets * m_options.m_slots /
                            Seconds(m_options.m_mean_service_time);
    After(FromSeconds(Exponential(1 / (capacity * m_options.m_load))),
          [this] { Arrive(); });
    const std::uint64_t id = m_next_request++;
    Request& request = m_requests[id];
    request.m_instance = m_random.Uniform() < m_options.m_first_instance_share
                             ? 0
                             : m_random.Below(m_routers.size());
    request.m_arrived = m_clock.now();
    ++m_result.m_requests;
    RequestTarget(id);
  }

  RequestTraits Traits(std::uint64_t id) const {
    return {.m_service = "model",
            .m_class_name = "read",
            .m_tenant = "tenant",
            .m_fingerprint = id + 1,
            .m_deadline = m_requests.at(id).m_arrived + seconds(10)};
  }

  void RequestTarget(std::uint64_t id) {
    Request& request = m_requests[id];
    ++request.m_open_attempts;
    m_routers[request.m_instance]->Acquire(
        Traits(id), request.m_targets_used,
        [this, id](const util::Expected<Grant>& answer) {
          if (answer) {
            Send(id, *answer.m_value);
          } else {
            EndAttempt(id, /*answered=*/false, /*refused=*/true);
          }
        });
  }

  void Send(std::uint64_t id, const Grant& grant) {
    Request& request = m_requests[id];
    const std::size_t target = std::stoul(grant.m_target);
    const auto job = std::make_shared<Job>();
    job->m_instance = request.m_instance;
    job->m_request = id;
    job->m_grant = grant;
    request.m_jobs.push_back(job);
    request.m_targets_used.push_back(grant.m_target);
    ++request.m_attempts;
    if (request.m_done) {
      Report(job, AttemptEnd::kCancelled, {});
      return;
    }
    CountIfDraining(target);
    After(m_options.m_message_delay, [=, this] { Receive(target, job); });
    const auto delay = m_routers[job->m_instance]->HedgeDelay(Traits(id));
    if (request.m_attempts == 1 && delay) {
      After(*delay, [this, id] { Hedge(id); });
    }
  }

  void CountIfDraining(std::size_t target) {
    if (m_targets[target].m_draining &&
        m_drain_reported_at != TimePoint::max() &&
        m_clock.now() > m_drain_reported_at + milliseconds(100)) {
      ++m_result.m_sent_to_draining;
    }
  }

  void Hedge(std::uint64_t id) {
    Request& request = m_requests[id];
    if (!request.m_done && request.m_open_attempts == 1 &&
        m_routers[request.m_instance]->TryChargeHedge(Traits(id),
                                                      request.m_attempts)) {
      RequestTarget(id);
    }
  }

  void Receive(std::size_t index, const JobPtr& job) {
    ModelTarget& target = m_targets[index];
    if (job->m_ended) {
      return;
    }
    if (target.m_crashed) {
      After(kConnectFailure,
            [=, this] { Report(job, AttemptEnd::kConnectFailed, {}); });
      return;
    }
    if (target.m_fails) {
      const LoadReport load{.m_in_flight = target.in_flight()};
      After(m_options.m_message_delay,
            [=, this] { Report(job, AttemptEnd::kServerError, load); });
      return;
    }
    target.m_queue.push_back(job);
    m_result.m_peak_in_flight =
        std::max(m_result.m_peak_in_flight, target.in_flight());
    StartQueued(index);
  }

  void StartQueued(std::size_t index) {
    ModelTarget& target = m_targets[index];
    while (target.m_running < m_options.m_slots && !target.m_queue.empty()) {
      const JobPtr job = target.m_queue.front();
      target.m_queue.pop_front();
      job->m_running = true;
      ++target.m_running;
      const double mean = Seconds(m_options.m_mean_service_time);
      After(FromSeconds(Exponential(mean) * target.m_service_time_factor),
            [=, this] { Complete(index, job); });
    }
  }

  void Complete(std::size_t index, const JobPtr& job) {
    if (job->m_ended) {
      return;
    }
    ModelTarget& target = m_targets[index];
    const LoadReport load{
        .m_in_flight = target.in_flight(),
        .m_draining = target.m_draining,
        .m_incarnation = std::to_string(target.m_incarnation_number)};
    job->m_running = false;
    job->m_ended = true;
    --target.m_running;
    StartQueued(index);
    After(m_options.m_message_delay,
          [=, this] { Report(job, AttemptEnd::kAnswered, load); });
  }

  void Report(const JobPtr& job, AttemptEnd end, const LoadReport& load) {
    if (load.m_draining && m_drain_reported_at == TimePoint::max()) {
      m_drain_reported_at = m_clock.now();
    }
    job->m_ended = true;
    const AttemptReport report{
        .m_end = end,
        .m_latency = m_clock.now() - job->m_grant.m_granted_at,
        .m_load = load};
    const std::uint64_t id = job->m_request;
    m_routers[job->m_instance]->Release(job->m_grant, Traits(id), report);
    if (end == AttemptEnd::kCancelled) {
      --m_requests[id].m_open_attempts;
    } else if (end == AttemptEnd::kAnswered || !Retry(id, end)) {
      EndAttempt(id, end == AttemptEnd::kAnswered, /*refused=*/false);
    }
  }

  bool Retry(std::uint64_t id, AttemptEnd end) {
    Request& request = m_requests[id];
    if (request.m_done || !m_routers[request.m_instance]->TryChargeRetry(
                              Traits(id), request.m_attempts, end)) {
      return false;
    }
    --request.m_open_attempts;
    RequestTarget(id);
    return true;
  }

  void EndAttempt(std::uint64_t id, bool answered, bool refused) {
    Request& request = m_requests[id];
    --request.m_open_attempts;
    if (request.m_done || (!answered && request.m_open_attempts > 0)) {
      return;
    }
    request.m_done = true;
    if (answered) {
      ++m_result.m_answered;
      m_answered_in_time += IsRunning() ? 1 : 0;
      m_result.m_latencies_ms.push_back(
          Milliseconds(m_clock.now() - request.m_arrived));
    } else {
      ++(refused ? m_result.m_refused : m_result.m_failed);
    }
    CancelOthers(request);
  }

  void CancelOthers(const Request& request) {
    for (const JobPtr& job : std::vector<JobPtr>(request.m_jobs)) {
      if (job->m_ended) {
        continue;
      }
      const std::size_t index = std::stoul(job->m_grant.m_target);
      ModelTarget& target = m_targets[index];
      std::erase(target.m_queue, job);
      target.m_running -= job->m_running ? 1 : 0;
      Report(job, AttemptEnd::kCancelled, {});
      StartQueued(index);
    }
  }

  void Tick() {
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
      m_routers[i]->ExpireWaiters();
      for (const ProbeOrder& order : m_routers[i]->TakeDueProbes()) {
        Probe(i, order);
      }
    }
    if (IsRunning()) {
      After(kRouterCheckInterval, [this] { Tick(); });
    }
  }

  void Probe(std::size_t instance, const ProbeOrder& order) {
    const Duration round_trip = 2 * m_options.m_message_delay;
    After(round_trip, [=, this] {
      const ModelTarget& target = m_targets[std::stoul(order.m_target)];
      ProbeReport report{.m_service = order.m_service,
                         .m_target = order.m_target,
                         .m_latency = round_trip};
      if (!target.m_crashed) {
        report.m_load = {
            .m_in_flight = target.in_flight(),
            .m_draining = target.m_draining,
            .m_incarnation = std::to_string(target.m_incarnation_number)};
      }
      m_routers[instance]->ReportProbe(report);
    });
  }

  void ExchangeCounts() {
    for (std::size_t from = 0; from < m_routers.size(); ++from) {
      const auto counts = m_routers[from]->InFlight();
      for (std::size_t to = 0; to < m_routers.size(); ++to) {
        if (to != from) {
          m_routers[to]->SetPeerInFlight(
              std::to_string(from), "model",
              counts.empty() ? std::vector<std::pair<std::string, int>>{}
                             : counts.front().second);
        }
      }
    }
    if (IsRunning()) {
      After(kPeerExchangeInterval, [this] { ExchangeCounts(); });
    }
  }

  void UpdateFault(int period) {
    const std::size_t third = m_targets.size() / 3;
    switch (m_options.m_fault) {
      case ModelFault::kNone:
        return;
      case ModelFault::kStraggler:
        for (ModelTarget& target : m_targets) {
          target.m_service_time_factor = 1;
        }
        m_targets[m_random.Below(m_targets.size())].m_service_time_factor = 10;
        break;
      case ModelFault::kFailFast:
        m_targets[0].m_fails = true;
        break;
      case ModelFault::kDraining:
        m_targets[0].m_draining = period >= 1;
        break;
      case ModelFault::kNoisyNeighbours:
        for (std::size_t i = 0; i < m_targets.size(); i += 2) {
          m_targets[i].m_service_time_factor = 1 + m_random.Uniform() / 2;
        }
        break;
      case ModelFault::kLostCapacity:
        for (std::size_t i = 0; period == 1 && i < third; ++i) {
          CrashTarget(i);
        }
        break;
      case ModelFault::kColdRestart:
        for (std::size_t i = 0; i < third; ++i) {
          m_targets[i].m_incarnation_number = period >= 1 ? 2 : 1;
          m_targets[i].m_service_time_factor = period == 1 ? 5 : 1;
        }
        break;
    }
    if (IsRunning()) {
      const bool is_noise = m_options.m_fault == ModelFault::kNoisyNeighbours;
      After(is_noise ? kFaultPeriod / 10 : kFaultPeriod,
            [this, period] { UpdateFault(period + 1); });
    }
  }

  void CrashTarget(std::size_t index) {
    ModelTarget& target = m_targets[index];
    target.m_crashed = true;
    for (Request* request : OpenRequests()) {
      for (const JobPtr& job : std::vector<JobPtr>(request->m_jobs)) {
        if (!job->m_ended && std::stoul(job->m_grant.m_target) == index) {
          Report(job, AttemptEnd::kReset, {});
        }
      }
    }
    target.m_queue.clear();
    target.m_running = 0;
  }

  std::vector<Request*> OpenRequests() {
    std::vector<Request*> open;
    for (auto& [id, request] : m_requests) {
      if (!request.m_done) {
        open.push_back(&request);
      }
    }
    return open;
  }

  ModelResult Finish() {
    for (const auto& router : m_routers) {
      const ServiceStatus status = router->Status().front();
      m_result.m_retries += status.m_retries;
      m_result.m_hedges += status.m_hedges;
      m_result.m_probes += status.m_probes_sent;
      m_result.m_probes_allowed += status.m_probes_allowed;
    }
    std::sort(m_result.m_latencies_ms.begin(), m_result.m_latencies_ms.end());
    const double capacity = m_options.m_targets * m_options.m_slots /
                            Seconds(m_options.m_mean_service_time);
    m_result.m_goodput = static_cast<double>(m_answered_in_time) /
                         (capacity * Seconds(m_options.m_duration));
    return std::move(m_result);
  }

  const ModelOptions m_options;
  util::ManualClock m_clock;
  policy::Random m_random;
  std::vector<ModelTarget> m_targets;
  std::vector<std::unique_ptr<Router>> m_routers;
  std::map<std::uint64_t, Request> m_requests;
  std::priority_queue<Event> m_events;
  TimePoint m_end;
  TimePoint m_drain_reported_at = TimePoint::max();
  std::uint64_t m_answered_in_time = 0;
  std::uint64_t m_next_order = 0;
  std::uint64_t m_next_request = 0;
  ModelResult m_result;
};

}  // namespace

double ModelResult::Percentile(double percentile) const {
  if (m_latencies_ms.empty()) {
    return 0;
  }
  const double index =
      percentile / 100 * static_cast<double>(m_latencies_ms.size() - 1);
  return m_latencies_ms[static_cast<std::size_t>(index)];
}

ModelResult RunModel(const ModelOptions& options) {
  return Model(options).Run();
}

}  // namespace guavacross::routing::testing
