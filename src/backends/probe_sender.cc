#include "backends/probe_sender.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "guavacross/wire_names.h"
#include "http/message.h"
#include "util/metrics.h"

namespace guavacross::backends {

namespace {

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
    hooks.m_is_answer = [dialect](const http::ResponseHead& head) {
      // One with an id is a second response to an earlier request.
      const std::string& id_header = dialect->m_request_id_header;
      return id_header.empty() || !head.m_fields.Find(id_header).has_value();
    };
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
      m_load = m_dialect->m_read_load(head);
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

class ProbeSender::Impl {
 public:
  explicit Impl(const ProbeSenderContext& context)
      : m_context(context),
        m_answered(context.m_metrics->Counter("guavacross_probes_total",
                                              "Number of probes by result",
                                              {{"end", "answered"}})),
        m_failed(context.m_metrics->Counter("guavacross_probes_total",
                                            "Number of probes by result",
                                            {{"end", "failed"}})) {}

  void Send(std::vector<ProbeOrder> orders) {
    for (ProbeOrder& order : orders) {
      m_probes.push_back(std::make_unique<Probe>(
          m_context.m_pool, m_context.m_dialect, m_context.m_clock,
          std::move(order),
          [this](Probe* probe, std::optional<LoadReport> load) {
            OnDone(probe, std::move(load));
          }));
    }
  }

  void Stop() {
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
    m_context.m_set->DeleteLater(std::move(*found));
    m_probes.erase(found);
    (load.has_value() ? m_answered : m_failed).Increment();
    m_context.m_router->ReportProbe(
        probe->Report(m_context.m_clock.m_now(), std::move(load)));
  }

  ProbeSenderContext m_context;
  prometheus::Counter& m_answered;
  prometheus::Counter& m_failed;
  std::vector<std::unique_ptr<Probe>> m_probes;
};

ProbeSender::ProbeSender(const ProbeSenderContext& context)
    : m_impl(std::make_unique<Impl>(context)) {}

ProbeSender::~ProbeSender() = default;

void ProbeSender::Send(std::vector<ProbeOrder> orders) {
  m_impl->Send(std::move(orders));
}

void ProbeSender::Stop() {
  m_impl->Stop();
}

}  // namespace guavacross::backends
