#include "standin/backend_server.h"

#include <QJsonArray>
#include <QTimer>
#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "guavacross/wire_names.h"
#include "standin/backend_job.h"
#include "standin/fault_table.h"

namespace guavacross::standin {

namespace {

// How long past load is kept for the fault `health_lag_ms`.
constexpr Duration kHealthHistoryDuration = std::chrono::minutes(1);

const std::vector<FaultField<BackendFaults>>& FaultFields() {
  using F = BackendFaults;
  static const std::vector<FaultField<F>> kFields = {
      {"draining", &F::m_draining},
      {"lying_health", &F::m_lying_health},
      {"health_lag_ms", &F::m_health_lag_ms},
      {"shed_over", &F::m_shed_over},
      {"straggle_factor", &F::m_straggle_factor},
      {"straggle_for_ms", &F::m_straggle_for_ms},
      {"fail_fast", &F::m_fail_fast},
      {"black_hole", &F::m_black_hole},
      {"refuse", &F::m_refuse},
      {"reset_before_run", &F::m_reset_before_run},
      {"reset_after_run", &F::m_reset_after_run},
      {"truncate", &F::m_truncate},
      {"reset_midway", &F::m_reset_midway},
      {"answer_late_ms", &F::m_answer_late_ms},
      {"surplus_bytes", &F::m_surplus_bytes},
      {"answer_twice", &F::m_answer_twice},
      {"answer_early", &F::m_answer_early},
      {"crash_ms", &F::m_crash_ms},
      {"ignore_cancel", &F::m_ignore_cancel},
  };
  return kFields;
}

bool HasCrashMark(const http::RequestHead& head) {
  return head.m_fields.Find(kCrashHeader).has_value() ||
         http::PathOf(head.m_target).find(kCrashPath) != std::string_view::npos;
}

}  // namespace

BackendServer::BackendServer(BackendOptions options, Clock clock)
    : m_options(std::move(options)),
      m_clock(std::move(clock)),
      m_service([this](const std::shared_ptr<Exchange>& e) { Handle(e); },
                this),
      m_random(m_options.m_seed),
      m_started_at(m_clock.m_now()),
      m_incarnation(static_cast<std::uint64_t>(
          m_clock.m_wall_now().time_since_epoch().count())) {
  m_service.m_on_connect = [this](QTcpSocket* socket) {
    if (m_faults.m_answer_early) {
      socket->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly");
    }
  };
}

BackendServer::~BackendServer() = default;

bool BackendServer::Start() {
  return CallOn(this, [this] {
    m_started_at = m_clock.m_now();
    RecordHealth();
    return m_service.Listen(m_options.m_listen);
  });
}

QJsonObject BackendServer::Faults() {
  return CallOn(this, [this] { return FaultsToJson(m_faults, FaultFields()); });
}

QString BackendServer::SetFaults(const QJsonObject& json) {
  return CallOn(this, [this, rest = QJsonObject(json)]() mutable {
    if (!ParseServiceTimes(&rest)) {
      return QString("wrong service_times");
    }
    QString error_text = FaultsFromJson(rest, FaultFields(), &m_faults);
    ApplyFaults();
    return error_text;
  });
}

// Removes the key `service_times` from `json` and applies it: a list of objects
// with `path_prefix`, `kind`, `mean_ms`, `slow_share` and `slow_ms`.
bool BackendServer::ParseServiceTimes(QJsonObject* json) {
  if (!json->contains("service_times")) {
    return true;
  }
  std::vector<ServiceTime> times;
  for (const QJsonValue entry : json->take("service_times").toArray()) {
    ServiceTime time;
    time.m_path_prefix = entry["path_prefix"].toString("/").toStdString();
    time.m_mean_ms = entry["mean_ms"].toDouble();
    time.m_slow_share = entry["slow_share"].toDouble();
    time.m_slow_ms = entry["slow_ms"].toDouble();
    const QString kind = entry["kind"].toString("fixed");
    if (kind == "fixed") {
      time.m_kind = ServiceTime::Kind::kFixed;
    } else if (kind == "bimodal") {
      time.m_kind = ServiceTime::Kind::kBimodal;
    } else if (kind != "exponential") {
      return false;
    }
    times.push_back(time);
  }
  m_options.m_service_times = times;
  return true;
}

void BackendServer::ApplyFaults() {
  if (m_faults.m_refuse) {
    m_service.StopListening();
    m_service.ResetAll();
  } else if (!m_down && m_service.endpoint().m_port != 0) {
    m_service.EnsureListening();
  }
  m_straggle_until = m_faults.m_straggle_for_ms > 0
                         ? m_clock.m_now() + std::chrono::milliseconds(
                                                 m_faults.m_straggle_for_ms)
                         : TimePoint::max();
  RecordHealth();
}

QJsonObject BackendServer::Counters() {
  return CallOn(this, [this] {
    const auto number = [](std::uint64_t n) { return static_cast<qint64>(n); };
    const CounterSet& c = m_counters;
    return QJsonObject{{"requests", number(c.m_requests)},
                       {"runs", number(c.m_runs)},
                       {"shed", number(c.m_shed)},
                       {"deadline_missed", number(c.m_deadline_missed)},
                       {"cancelled_queued", number(c.m_cancelled_queued)},
                       {"cancelled_running", number(c.m_cancelled_running)},
                       {"answered", number(c.m_answered)},
                       {"probes", number(c.m_probes)},
                       {"probe_ms", number(c.m_probe_ms)},
                       {"crashes", number(c.m_crashes)},
                       {"running", static_cast<int>(m_running.size())},
                       {"waiting", static_cast<int>(m_queue.size())},
                       {"max_running", c.m_max_running},
                       {"max_waiting", c.m_max_waiting},
                       {"connections", m_service.connections()},
                       {"accepted", number(m_service.accepted())},
                       {"incarnation", QString::number(m_incarnation)}};
  });
}

QJsonObject BackendServer::Runs() {
  return CallOn(this, [this] {
    QJsonObject runs;
    for (const auto& [identity, count] : m_runs) {
      runs[QString::fromStdString(identity)] = count;
    }
    return runs;
  });
}

void BackendServer::Handle(const std::shared_ptr<Exchange>& exchange) {
  const auto job = std::make_shared<Job>();
  job->m_exchange = exchange;
  job->m_arrived_at = m_clock.m_now();
  job->m_probe = http::PathOf(exchange->m_head.m_target) == kLoadPath;
  job->m_identity = RequestIdentity(exchange->m_head);
  ++(job->m_probe ? m_counters.m_probes : m_counters.m_requests);
  if (HandleFault(exchange)) {
    return;
  }
  const bool shed = !job->m_probe && m_faults.m_shed_over >= 0 &&
                    static_cast<int>(m_queue.size()) > m_faults.m_shed_over;
  if (shed) {
    ++m_counters.m_shed;
    Refuse(exchange, /*not_run=*/true);
    return;
  }
  Enqueue(job);
}

// Returns true if a fault has handled the request, which is then not run.
bool BackendServer::HandleFault(const std::shared_ptr<Exchange>& exchange) {
  if (m_faults.m_black_hole) {
    // No answer is sent, so the connection reads no further request.
    exchange->m_on_disconnected = [] {};
    return true;
  }
  if (m_faults.m_reset_before_run) {
    exchange->Reset();
    return true;
  }
  if (m_faults.m_fail_fast) {
    exchange->Answer(MakeHead(*exchange, 500), "fails fast");
    return true;
  }
  return false;
}

void BackendServer::Refuse(const std::shared_ptr<Exchange>& exchange,
                           bool not_run) {
  http::ResponseHead head = MakeHead(*exchange, 503);
  if (not_run) {
    head.m_fields.Set(kNotRunHeader, "1");
  }
  exchange->Answer(std::move(head), "refused");
}

void BackendServer::Enqueue(const JobPointer& job) {
  // The exchange owns this callback, so the callback holds a weak pointer to
  // avoid a reference cycle.
  job->m_exchange->m_on_disconnected = [this, weak = std::weak_ptr<Job>(job)] {
    if (const JobPointer cancelled = weak.lock()) {
      CancelJob(cancelled);
    }
  };
  if (job->m_probe) {
    m_queue.push_front(job);
  } else {
    m_queue.push_back(job);
  }
  StartQueuedJobs();
  m_counters.m_max_waiting =
      std::max(m_counters.m_max_waiting, static_cast<int>(m_queue.size()));
  RecordHealth();
}

void BackendServer::StartQueuedJobs() {
  while (!m_queue.empty() &&
         static_cast<int>(m_running.size()) < m_options.m_slots) {
    const JobPointer job = m_queue.front();
    m_queue.pop_front();
    const auto deadline =
        job->m_exchange->m_head.m_fields.Find(kDeadlineHeader);
    const auto deadline_ms =
        deadline.has_value() ? ParseNumber(*deadline) : std::nullopt;
    if (deadline_ms.has_value() &&
        m_clock.m_now() - job->m_arrived_at >
            std::chrono::milliseconds(*deadline_ms)) {
      ++m_counters.m_deadline_missed;
      Refuse(job->m_exchange, /*not_run=*/true);
      continue;
    }
    Run(job);
  }
}

void BackendServer::Run(const JobPointer& job) {
  job->m_running = true;
  m_running.insert(job);
  m_counters.m_max_running =
      std::max(m_counters.m_max_running, static_cast<int>(m_running.size()));
  int service_ms = m_options.m_probe_ms;
  if (job->m_probe) {
    m_counters.m_probe_ms += static_cast<std::uint64_t>(service_ms);
  } else {
    ++m_counters.m_runs;
    ++m_runs[job->m_identity];
    if (m_faults.m_crash_ms > 0 && HasCrashMark(job->m_exchange->m_head)) {
      // Deferred to the event loop: a connection's member function is still on
      // the stack, and `Crash` resets all connections.
      QTimer::singleShot(0, this, [this] { Crash(); });
      return;
    }
    service_ms = SampleServiceMs(*job->m_exchange);
  }
  if (service_ms <= 0) {
    FinishRun(job);
    return;
  }
  QTimer::singleShot(service_ms, Qt::PreciseTimer, this,
                     [this, job] { FinishRun(job); });
}

void BackendServer::FinishRun(const JobPointer& job) {
  if (!job->m_running) {
    return;
  }
  if (m_faults.m_answer_late_ms > 0 && !job->m_probe) {
    FreeSlot(job);
    QTimer::singleShot(m_faults.m_answer_late_ms, this,
                       [this, job] { AnswerJob(job); });
    return;
  }
  AnswerJob(job);
}

// Cancels a request whose caller has disconnected.
void BackendServer::CancelJob(const JobPointer& job) {
  job->m_cancelled = true;
  const auto waiting = std::find(m_queue.begin(), m_queue.end(), job);
  if (waiting != m_queue.end()) {
    m_queue.erase(waiting);
    ++m_counters.m_cancelled_queued;
    RecordHealth();
    return;
  }
  if (job->m_running) {
    ++m_counters.m_cancelled_running;
    const bool streaming = job->m_body_bytes > 0;
    if (!m_faults.m_ignore_cancel || streaming) {
      FreeSlot(job);
    }
  }
}

void BackendServer::FreeSlot(const JobPointer& job) {
  if (!job->m_running) {
    return;
  }
  job->m_running = false;
  m_running.erase(job);
  StartQueuedJobs();
  RecordHealth();
}

void BackendServer::Crash() {
  if (m_down) {
    return;
  }
  m_down = true;
  ++m_counters.m_crashes;
  m_service.StopListening();
  const auto running = std::exchange(m_running, {});
  const auto waiting = std::exchange(m_queue, {});
  for (const JobPointer& job : running) {
    job->m_running = false;
  }
  m_service.ResetAll();
  QTimer::singleShot(m_faults.m_crash_ms, this, [this] { Restart(); });
}

void BackendServer::Restart() {
  m_down = false;
  ++m_incarnation;
  m_started_at = m_clock.m_now();
  m_health_history.clear();
  RecordHealth();
  if (!m_faults.m_refuse) {
    m_service.EnsureListening();
  }
}

int BackendServer::SampleServiceMs(const Exchange& exchange) {
  double ms = 0;
  const std::string_view path = http::PathOf(exchange.m_head.m_target);
  if (const auto requested_ms = QueryNumber(exchange, "ms")) {
    ms = static_cast<double>(*requested_ms);
  } else {
    for (const ServiceTime& time : m_options.m_service_times) {
      if (!path.starts_with(time.m_path_prefix)) {
        continue;
      }
      ms = time.m_mean_ms;
      if (time.m_kind == ServiceTime::Kind::kExponential && ms > 0) {
        ms = std::exponential_distribution<double>(1 / ms)(m_random);
      } else if (time.m_kind == ServiceTime::Kind::kBimodal &&
                 std::uniform_real_distribution<double>()(m_random) <
                     time.m_slow_share) {
        ms = time.m_slow_ms;
      }
      break;
    }
  }
  // Randomly rounded up or down to whole milliseconds, which preserves the
  // mean.
  const double rounded_ms =
      std::floor(ms * ServiceTimeFactor() +
                 std::uniform_real_distribution<double>()(m_random));
  return static_cast<int>(rounded_ms);
}

double BackendServer::ServiceTimeFactor() {
  const TimePoint now = m_clock.m_now();
  double factor = now < m_straggle_until ? m_faults.m_straggle_factor : 1;
  const double uptime_ms = Milliseconds(now - m_started_at);
  if (uptime_ms < m_options.m_cold_ms) {
    factor *= 1 + (m_options.m_cold_factor - 1) *
                      (1 - uptime_ms / m_options.m_cold_ms);
  }
  return factor;
}

int BackendServer::InFlight() const {
  return static_cast<int>(m_running.size() + m_queue.size());
}

// Records the current load. Past states are kept only if probes report with a
// delay.
void BackendServer::RecordHealth() {
  const TimePoint now = m_clock.m_now();
  if (m_faults.m_health_lag_ms == 0) {
    m_health_history.clear();
  }
  m_health_history.push_back({.m_since = now,
                              .m_in_flight = InFlight(),
                              .m_draining = m_faults.m_draining});
  while (m_health_history.size() > 1 &&
         m_health_history[1].m_since < now - kHealthHistoryDuration) {
    m_health_history.pop_front();
  }
}

BackendServer::Health BackendServer::ReportedHealth() const {
  const TimePoint as_of =
      m_clock.m_now() - std::chrono::milliseconds(m_faults.m_health_lag_ms);
  for (auto health = m_health_history.rbegin();
       health != m_health_history.rend(); ++health) {
    if (health->m_since <= as_of) {
      return *health;
    }
  }
  return m_health_history.front();
}

}  // namespace guavacross::standin
