#include "backends/probe_runner.h"

#include <algorithm>
#include <utility>

#include "backends/backend_pool.h"
#include "backends/probe_sender.h"
#include "net/socket_set.h"

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

}  // namespace

class ProbeRunner::Impl {
 public:
  Impl(Router* router,
       Clock clock,
       util::Metrics* metrics,
       const TargetDialect* dialect)
      : m_router(router),
        m_clock(std::move(clock)),
        m_pool(&m_sockets, m_clock, {.m_max_connections_per_target = 1}),
        m_sender({.m_router = router,
                  .m_pool = &m_pool,
                  .m_set = &m_sockets,
                  .m_clock = m_clock,
                  .m_metrics = metrics,
                  .m_dialect = dialect}) {}

  void Start(Duration first_probe_after) {
    m_first_probe_at = m_clock.m_now() + first_probe_after;
    Tick();
  }

  void Tick() {
    m_router->ExpireWaiters();
    if (m_clock.m_now() >= m_first_probe_at) {
      m_sender.Send(m_router->TakeDueProbes());
    }
    const TimePoint now = m_clock.m_now();
    if (now - m_swept_at >= kSweepInterval) {
      m_swept_at = now;
      m_pool.Sweep();
    }
    m_timer = m_clock.m_call_after(UntilNextTick(), [this] { Tick(); });
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
    m_sender.Stop();
  }

 private:
  Router* m_router;
  Clock m_clock;
  net::SocketSet m_sockets;
  BackendPool m_pool;
  ProbeSender m_sender;
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

void ProbeRunner::Stop() {
  m_impl->Stop();
}

}  // namespace guavacross::backends
