#include "backends/probe_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "backends/backend_pool.h"
#include "guavacross/wire_names.h"
#include "http/message.h"
#include "net/socket_set.h"
#include "util/metrics.h"

namespace guavacross::backends {

namespace {

// How often the router is asked for due probes.
constexpr Duration kTickInterval = std::chrono::milliseconds(2);
// The interval while nothing is due; bounds how late a probe that becomes due
// in the meantime can be.
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(10);
// The interval while no request is in flight either, so that none can be
// queued.
constexpr Duration kNoTrafficTickInterval = std::chrono::milliseconds(50);

// How often connections that exceeded the idle limit are closed.
constexpr Duration kSweepInterval = std::chrono::seconds(1);

constexpr int kOkStatus = 200;

// One probe in flight.
class Probe {
 public:
  // Called once, from the event loop, with the probe's result.
  using DoneHook = std::function<void(Probe*, std::optional<LoadReport>)>;

  Probe(BackendPool* pool,
        const TargetDialect* dialect,
        const Clock& clock,
        ProbeOrder order,
        DoneHook on_done)
      : m_dialect(dialect),
        m_order(std::move(order)),
        m_sent_at(clock.m_now()),
        m_on_done(std::move(on_done)) {
    AttemptHooks hooks;
    hooks.m_on_head = [this](const http::ResponseHead& head) { OnHead(head); };
    hooks.m_on_body = [](std::string_view) {};
    hooks.m_on_end = [this] { Finish(m_load); };
    hooks.m_on_failure = [this](const AttemptFailure&) {
      Finish(std::nullopt);
    };
    m_attempt = pool->Start(Request(), std::move(hooks));
    m_timer =
        clock.m_call_after(m_order.m_timeout, [this] { Finish(std::nullopt); });
  }

  ProbeReport Report(TimePoint now, std::optional<LoadReport> load) const {
    return ProbeReport{.m_service = m_order.m_service,
                       .m_target = m_order.m_target,
                       .m_load = std::move(load),
                       .m_latency = now - m_sent_at,
                       .m_answered = m_answered};
  }

 private:
  AttemptRequest Request() const {
    AttemptRequest request;
    request.m_address = m_order.m_address;
    request.m_head.m_method = "GET";
    request.m_head.m_target =
        m_order.m_path.empty() ? kLoadPath : m_order.m_path;
    request.m_head.m_fields.Add("Host", ToString(m_order.m_address));
    // Probes of the default path are too rare to keep a connection open.
    request.m_head.m_keep_alive = !m_order.m_path.empty();
    return request;
  }

  void OnHead(const http::ResponseHead& head) {
    const std::string responder = m_dialect->m_read_target(head.m_fields);
    const bool from_other_target =
        !responder.empty() && responder != m_order.m_target;
    m_answered = !from_other_target;
    // A configured path is a health check, whose status may be wrong either
    // way; the load fields sent with it are valid regardless.
    const bool load_is_valid =
        head.m_status == kOkStatus || !m_order.m_path.empty();
    if (load_is_valid && !from_other_target) {
      m_load = m_dialect->m_read_load(head.m_fields);
    }
  }

  void Finish(std::optional<LoadReport> load) {
    m_timer.reset();
    m_attempt->Cancel();
    m_on_done(this, std::move(load));
  }

  const TargetDialect* m_dialect;
  ProbeOrder m_order;
  TimePoint m_sent_at;
  DoneHook m_on_done;
  std::optional<LoadReport> m_load;
  bool m_answered = false;
  std::unique_ptr<Attempt> m_attempt;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace

class ProbeRunner::Impl {
 public:
  Impl(Router* router,
       Clock clock,
       util::Metrics* metrics,
       const TargetDialect* dialect)
      : m_router(router),
        m_clock(std::move(clock)),
        m_dialect(dialect),
        m_pool(&m_sockets, m_clock, {.m_max_connections_per_target = 1}),
        m_answered(metrics->Counter("guavacross_probes_total",
                                    "Number of probes by result",
                                    {{"end", "answered"}})),
        m_failed(metrics->Counter("guavacross_probes_total",
                                  "Number of probes by result",
                                  {{"end", "failed"}})) {}

  void Start(Duration first_probe_after) {
    m_first_probe_at = m_clock.m_now() + first_probe_after;
    Tick();
  }

  void Tick() {
    m_router->ExpireWaiters();
    if (m_clock.m_now() >= m_first_probe_at) {
      Send(m_router->TakeDueProbes());
    }
    const TimePoint now = m_clock.m_now();
    if (now - m_swept_at >= kSweepInterval) {
      m_swept_at = now;
      m_pool.Sweep();
    }
    m_timer = m_clock.m_call_after(UntilNextTick(), [this] { Tick(); });
  }

  void Send(std::vector<ProbeOrder> orders) {
    for (ProbeOrder& order : orders) {
      m_probes.push_back(std::make_unique<Probe>(
          &m_pool, m_dialect, m_clock, std::move(order),
          [this](Probe* probe, std::optional<LoadReport> load) {
            OnDone(probe, std::move(load));
          }));
    }
  }

  Duration UntilNextTick() const {
    const std::optional<TimePoint> next = m_router->NextDue();
    if (!next.has_value()) {
      return m_router->InFlight().empty() ? kNoTrafficTickInterval
                                          : kIdleTickInterval;
    }
    return std::clamp(*next - m_clock.m_now(), kTickInterval,
                      kIdleTickInterval);
  }

  void Stop() {
    m_timer.reset();
    while (!m_probes.empty()) {
      OnDone(m_probes.back().get(), std::nullopt);
    }
  }

 private:
  void OnDone(Probe* probe, std::optional<LoadReport> load) {
    const auto found =
        std::find_if(m_probes.begin(), m_probes.end(),
                     [probe](const auto& each) { return each.get() == probe; });
    if (found == m_probes.end()) {
      return;
    }
    m_sockets.DeleteLater(std::move(*found));
    m_probes.erase(found);
    (load.has_value() ? m_answered : m_failed).Increment();
    m_router->ReportProbe(probe->Report(m_clock.m_now(), std::move(load)));
  }

  Router* m_router;
  Clock m_clock;
  const TargetDialect* m_dialect;
  net::SocketSet m_sockets;
  BackendPool m_pool;
  prometheus::Counter& m_answered;
  prometheus::Counter& m_failed;
  std::vector<std::unique_ptr<Probe>> m_probes;
  TimePoint m_first_probe_at;
  TimePoint m_swept_at;
  std::unique_ptr<Timer> m_timer;
};

ProbeRunner::ProbeRunner(Router* router,
                         Clock clock,
                         util::Metrics* metrics,
                         const TargetDialect* dialect)
    : m_impl(
          std::make_unique<Impl>(router, std::move(clock), metrics, dialect)) {}

ProbeRunner::~ProbeRunner() = default;

void ProbeRunner::Start(Duration first_probe_after) {
  m_impl->Start(first_probe_after);
}

void ProbeRunner::Send(std::vector<ProbeOrder> orders) {
  m_impl->Send(std::move(orders));
}

void ProbeRunner::Stop() {
  m_impl->Stop();
}

}  // namespace guavacross::backends
