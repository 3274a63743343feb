#include "backends/probe_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "backends/load_fields.h"
#include "guavacross/wire_names.h"
#include "http/message.h"
#include "http/message_reader.h"
#include "net/socket_set.h"
#include "net/stream.h"
#include "util/handle.h"
#include "util/metrics.h"

namespace guavacross::backends {

namespace {

// How often the router is asked for due probes.
constexpr Duration kTickInterval = std::chrono::milliseconds(2);
// While nothing is due. What becomes due meanwhile is late by this at most.
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(10);
// While nothing is in flight either, so that nothing can be waiting.
constexpr Duration kUnusedTickInterval = std::chrono::milliseconds(50);

constexpr http::ReadLimits kLimits{.m_max_header_bytes = std::size_t{8} << 10,
                                   .m_max_body_bytes = std::size_t{64} << 10};

constexpr int kOkStatus = 200;

std::string ProbeText(const Endpoint& address) {
  http::RequestHead head;
  head.m_method = "GET";
  head.m_target = kLoadPath;
  head.m_fields.Add("Host", ToString(address));
  head.m_keep_alive = false;
  return http::Serialize(head);
}

// One probe in flight, on a connection of its own.
class Probe {
 public:
  // Called once, from the event loop, with the probe's result.
  using DoneHook = std::function<void(Probe*, std::optional<LoadReport>)>;

  Probe(net::SocketSet* set,
        const Clock& clock,
        ProbeOrder order,
        DoneHook on_done)
      : m_set(set),
        m_order(std::move(order)),
        m_sent_at(clock.m_now()),
        m_on_done(std::move(on_done)),
        m_reader(MakeReader()) {
    net::Stream::Hooks hooks;
    hooks.m_on_connected = [this] { m_stream->SetReading(true); };
    hooks.m_on_readable = [this] { OnReadable(); };
    hooks.m_on_closed = [this] { Finish(std::nullopt); };
    m_stream = net::Stream::Connect(set, m_order.m_address, std::move(hooks));
    // A connect that fails at once is reported from the event loop as well.
    const Duration limit =
        m_stream != nullptr ? m_order.m_timeout : Duration::zero();
    if (m_stream != nullptr) {
      m_stream->Write(ProbeText(m_order.m_address));
    }
    m_timer = clock.m_call_after(limit, [this] { Finish(std::nullopt); });
  }

  ProbeReport Report(TimePoint now, std::optional<LoadReport> load) const {
    return ProbeReport{.m_service = m_order.m_service,
                       .m_target = m_order.m_target,
                       .m_load = std::move(load),
                       .m_latency = now - m_sent_at};
  }

 private:
  http::MessageReader MakeReader() {
    http::MessageReader::Hooks hooks;
    hooks.m_on_response = [this](const http::ResponseHead& head) {
      if (head.m_status == kOkStatus) {
        m_load = ReadLoad(head.m_fields);
      }
    };
    return http::MessageReader::ForResponse(kLimits, /*no_body=*/false,
                                            std::move(hooks));
  }

  void OnReadable() {
    const net::Stream::ReadResult read = m_stream->Read(m_set->scratch());
    if (read.m_status == net::Stream::ReadStatus::kNothingYet) {
      return;
    }
    const bool failed =
        read.m_status != net::Stream::ReadStatus::kBytes ||
        !util::Catch([&] { return m_reader.Feed(read.m_bytes); });
    if (failed) {
      Finish(std::nullopt);
    } else if (m_reader.done()) {
      Finish(m_load);
    }
  }

  void Finish(std::optional<LoadReport> load) {
    m_timer.reset();
    if (m_stream != nullptr) {
      m_stream->Abort();
    }
    m_on_done(this, std::move(load));
  }

  net::SocketSet* m_set;
  ProbeOrder m_order;
  TimePoint m_sent_at;
  DoneHook m_on_done;
  http::MessageReader m_reader;
  std::optional<LoadReport> m_load;
  std::unique_ptr<net::Stream> m_stream;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace

class ProbeRunner::Impl {
 public:
  Impl(Router* router, Clock clock, util::Metrics* metrics)
      : m_router(router),
        m_clock(std::move(clock)),
        m_answered(metrics->Counter("guavacross_probes_total",
                                    "Probes by how they ended",
                                    {{"end", "answered"}})),
        m_failed(metrics->Counter("guavacross_probes_total",
                                  "Probes by how they ended",
                                  {{"end", "failed"}})) {}

  void Start(Duration first_probe_after) {
    m_first_probe_at = m_clock.m_now() + first_probe_after;
    Tick();
  }

  void Tick() {
    m_router->ExpireWaiters();
    if (m_clock.m_now() >= m_first_probe_at) {
      SendDueProbes();
    }
    m_timer = m_clock.m_call_after(UntilNextTick(), [this] { Tick(); });
  }

  void SendDueProbes() {
    for (ProbeOrder& order : m_router->TakeDueProbes()) {
      m_probes.push_back(std::make_unique<Probe>(
          &m_sockets, m_clock, std::move(order),
          [this](Probe* probe, std::optional<LoadReport> load) {
            OnDone(probe, std::move(load));
          }));
    }
  }

  Duration UntilNextTick() const {
    const std::optional<TimePoint> next = m_router->NextDue();
    if (!next.has_value()) {
      return m_router->InFlight().empty() ? kUnusedTickInterval
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
  prometheus::Counter& m_answered;
  prometheus::Counter& m_failed;
  net::SocketSet m_sockets;
  std::vector<std::unique_ptr<Probe>> m_probes;
  TimePoint m_first_probe_at;
  std::unique_ptr<Timer> m_timer;
};

ProbeRunner::ProbeRunner(Router* router, Clock clock, util::Metrics* metrics)
    : m_impl(std::make_unique<Impl>(router, std::move(clock), metrics)) {}

ProbeRunner::~ProbeRunner() = default;

void ProbeRunner::Start(Duration first_probe_after) {
  m_impl->Start(first_probe_after);
}

void ProbeRunner::Stop() {
  m_impl->Stop();
}

}  // namespace guavacross::backends
