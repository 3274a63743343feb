#include "callers/caller_worker.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "callers/address_answer.h"

namespace guavacross::callers {

namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
// The backend connection pool is swept less often than caller connections.
constexpr int kSweepsPerPoolSweep = 10;

constexpr int kOkStatus = 200;

backends::BackendPoolOptions PoolOptions(const CallerServerOptions& options) {
  backends::BackendPoolOptions pool;
  pool.m_max_connections_per_target =
      std::max(1, options.m_max_target_connections / options.m_workers);
  pool.m_source_ip = options.m_target_source_ip;
  return pool;
}

Error ShuttingDown() {
  return {.m_kind = ErrorKind::kShuttingDown,
          .m_text = "this instance is shutting down"};
}

}  // namespace

CallerWorker::CallerWorker(const CallerServerOptions& options,
                           const CallerServerHooks* hooks,
                           const ServerState* state)
    : m_options(options),
      m_hooks(hooks),
      m_state(state),
      m_pool(&m_sockets, hooks->m_clock, PoolOptions(options)),
      m_probes({.m_router = hooks->m_router,
                .m_pool = &m_pool,
                .m_set = &m_sockets,
                .m_clock = hooks->m_clock,
                .m_metrics = hooks->m_metrics,
                .m_dialect = hooks->m_target_dialect}),
      m_metrics(hooks->m_metrics),
      m_log(hooks->m_clock, options.m_log_requests),
      m_forwarder(forwarding::ForwardContext{
          .m_set = &m_sockets,
          .m_pool = &m_pool,
          .m_router = hooks->m_router,
          .m_metrics = &m_metrics,
          .m_ledger = hooks->m_ledger,
          .m_clock = hooks->m_clock,
          .m_tasks = m_tasks,
          .m_target_dialect = hooks->m_target_dialect,
          .m_caller_dialect = hooks->m_caller_dialect,
          .m_tenants = hooks->m_tenants,
          .m_log = &m_log,
          .m_relay_identity = hooks->m_relay_identity.has_value()
                                  ? &*hooks->m_relay_identity
                                  : nullptr}) {
  m_forwarder.SetOnEnded([this] {
    UpdateRequestCount();
    CheckDone();
  });
  ScheduleSweep();
}

CallerWorker::~CallerWorker() {
  m_on_done = nullptr;
  m_tasks.Stop();
  AbortAll();
  m_probes.Stop();
  // What was aborted refers to members of this worker.
  m_sockets.DeleteDeferred();
}

void CallerWorker::Accept(int descriptor, bool refuse, ConnectionKind kind) {
  auto connection = std::make_unique<CallerConnection>(this, descriptor, kind);
  CallerConnection* const accepted = connection.get();
  m_connections.emplace(accepted, std::move(connection));
  if (refuse) {
    accepted->Refuse({.m_kind = ErrorKind::kTooManyConnections,
                      .m_text = "this instance has too many connections"});
  } else {
    accepted->Start();
  }
}

void CallerWorker::Remove(CallerConnection* connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) {
    return;
  }
  m_sockets.DeleteLater(std::move(found->second));
  m_connections.erase(found);
  --m_connection_count;
  CheckDone();
}

void CallerWorker::Finish(std::function<void()> on_done) {
  m_on_done = std::move(on_done);
  CheckDone();
}

void CallerWorker::CheckDone() {
  // The count includes connections that are posted to this worker but not yet
  // accepted.
  if (m_on_done && m_connection_count == 0 && m_forwarder.in_flight() == 0) {
    std::exchange(m_on_done, nullptr)();
  }
}

void CallerWorker::RefuseWaiting(TimePoint end) {
  m_forwarder.RefuseWaiting(end, ShuttingDown());
}

void CallerWorker::EndUnanswered() {
  m_forwarder.EndUnanswered(ShuttingDown());
}

void CallerWorker::AbortAll() {
  while (!m_connections.empty()) {
    m_connections.begin()->second->Abort();
  }
  m_forwarder.AbandonAll();
}

void CallerWorker::UpdateRequestCount() {
  m_request_count = m_forwarder.in_flight();
}

forwarding::CompleteAnswer CallerWorker::AddressAnswer(
    const std::string& target) const {
  const auto service = http::QueryParameter(target, "service");
  if (!service.has_value()) {
    return forwarding::ErrorToAnswer(
        {.m_kind = ErrorKind::kBadRequest, .m_text = "the service is missing"},
        Outcome::kNotRun);
  }
  if (m_hooks->m_router->FindService(*service) == nullptr) {
    return forwarding::ErrorToAnswer({.m_kind = ErrorKind::kUnknownService,
                                      .m_text = "no service " + *service},
                                     Outcome::kNotRun);
  }
  const CallerLocation location{
      .m_region =
          http::QueryParameter(target, "region").value_or(m_options.m_region),
      .m_zone =
          http::QueryParameter(target, "zone").value_or(m_options.m_zone)};
  const std::vector<Member> members = AdvertisedMembers(
      m_hooks->m_members ? m_hooks->m_members() : std::vector<Member>(), Self(),
      m_state->m_leaving);
  const std::string identity =
      m_hooks->m_mint_identity ? m_hooks->m_mint_identity() : std::string();
  return forwarding::MakeAnswer(
      kOkStatus, Outcome::kDone, "application/json",
      AddressAnswerBody(*service, WeighAddresses(members, location),
                        m_options.m_address_lifetime, identity));
}

Member CallerWorker::Self() const {
  Member self;
  self.m_region = m_options.m_region;
  self.m_zone = m_options.m_zone;
  self.m_callers = m_state->m_endpoint;
  return self;
}

void CallerWorker::ScheduleSweep() {
  m_sweep_timer = m_hooks->m_clock.m_call_after(kSweepInterval, [this] {
    Sweep();
    ScheduleSweep();
  });
}

void CallerWorker::Sweep() {
  // `CallerConnection::Sweep` may remove the connection from `m_connections`,
  // so iterate over a copy.
  std::vector<CallerConnection*> connections;
  connections.reserve(m_connections.size());
  for (const auto& [connection, owned] : m_connections) {
    connections.push_back(connection);
  }
  const TimePoint now = m_hooks->m_clock.m_now();
  for (CallerConnection* const connection : connections) {
    connection->Sweep(now);
  }
  if (++m_sweeps % kSweepsPerPoolSweep == 0) {
    m_pool.Sweep();
  }
}

}  // namespace guavacross::callers
