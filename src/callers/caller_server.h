#ifndef GUAVACROSS_CALLERS_CALLER_SERVER_H_
#define GUAVACROSS_CALLERS_CALLER_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "backends/target_dialect.h"
#include "forwarding/caller_dialect.h"
#include "forwarding/request_forwarder.h"
#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "guavacross/ledger.h"
#include "guavacross/membership.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"

namespace guavacross::util {
class Metrics;
}

namespace guavacross::callers {

/// Size and time limits of one caller's connection.
struct CallerLimits {
  std::size_t m_max_header_bytes = std::size_t{16} << 10;
  /// Longest time from a request's first byte to the end of its head.
  Duration m_header_time = std::chrono::seconds(10);
  /// Longest time without a byte of a request body that is being read.
  Duration m_body_progress_time = std::chrono::seconds(20);
  /// Longest time in which a caller accepts no byte of a response.
  Duration m_stall_time = std::chrono::minutes(5);
  /// How long an idle connection is kept.
  Duration m_idle_time = std::chrono::seconds(75);

  bool operator==(const CallerLimits&) const = default;
};

struct CallerServerOptions {
  /// The address for callers; port 0 picks a free one.
  Endpoint m_listen;
  int m_workers = 2;
  int m_max_connections = 10000;
  /// Limit of connections to one backend server, over all workers.
  int m_max_target_connections = 64;
  /// IP address from which backend servers are connected to; empty for the
  /// system's choice.
  std::string m_target_source_ip;
  std::string m_region;
  std::string m_zone;
  /// How long callers may cache an address response.
  Duration m_address_lifetime = std::chrono::seconds(5);
  /// Longest time that `Finish` waits for open requests; zero means no limit.
  /// Those that are left are answered then, as not run if they haven't been
  /// sent.
  Duration m_shutdown_limit = Duration::zero();
  /// How long these answers may take to be sent before connections are reset.
  Duration m_last_answer_time = std::chrono::milliseconds(100);
  CallerLimits m_limits;
  /// The address on which peers pass on requests; port 0 disables it.
  Endpoint m_peer_listen;
  /// Additional addresses on which all requests are answered by
  /// `CallerServerHooks::m_answer_locally` and none is forwarded.
  std::vector<Endpoint> m_local_listen;
  /// Whether a half-close by the caller counts as a disconnect, which cancels
  /// its request.
  bool m_half_close_is_disconnect = false;
  /// Whether connections are closed after their next response once the server
  /// is leaving.
  bool m_close_while_leaving = false;
  /// Requests of one connection that are worked on at the same time, if its
  /// caller pipelines repeatable ones; with 1, each waits for the one before.
  int m_max_pipelined = 1;
  /// Whether requests are logged.
  bool m_log_requests = false;

  bool operator==(const CallerServerOptions&) const = default;
};

/// Dependencies and callbacks of the server. The pointers must outlive the
/// server; the functions must be thread safe.
struct CallerServerHooks {
  Router* m_router = nullptr;
  LedgerAccess m_ledger;
  util::Metrics* m_metrics = nullptr;
  Clock m_clock;
  /// All known entry instances, this one included.
  std::function<std::vector<Member>()> m_members;
  /// Issues an identity for a caller's non-repeatable requests, sent with an
  /// address response. May be empty.
  std::function<std::string()> m_mint_identity;
  /// Classifies a request; if empty, `Classify` is used. `relay` is set if a
  /// peer has passed it on.
  std::function<Result<forwarding::ForwardRequest>(
      const http::RequestHead&,
      TimePoint now,
      const std::optional<forwarding::RelayMark>& relay)>
      m_classify;
  /// Answers a request without a backend server, or returns nothing. If set, it
  /// replaces the built-in health, readiness and address paths.
  std::function<std::optional<forwarding::CompleteAnswer>(
      const http::RequestHead&)>
      m_answer_locally;
  forwarding::TenantAccess m_tenants;
  /// How this instance presents itself to its peers, if requests are passed on
  /// between them.
  std::optional<forwarding::RelayIdentity> m_relay_identity;
  /// The HTTP conventions used with backend servers and callers.
  const backends::TargetDialect* m_target_dialect =
      &backends::DefaultTargetDialect();
  const forwarding::CallerDialect* m_caller_dialect =
      &forwarding::DefaultCallerDialect();
};

struct CallerServerStatus {
  int m_connections = 0;
  int m_requests_in_flight = 0;
  bool m_ready = false;
  bool m_leaving = false;

  bool operator==(const CallerServerStatus&) const = default;
};

/// Serves callers: accepts their connections, forwards their requests to
/// backend servers and tells callers which addresses to use.
///
/// Create it on the control thread and call `Start`, then `SetReady(true)` once
/// a configuration is in force. For a graceful shutdown call `BeginLeaving`,
/// wait for as long as address responses may be cached, then call
/// `StopAccepting` and `Finish`. All functions must be called on the control
/// thread, whose event loop must run.
class CallerServer {
 public:
  CallerServer(CallerServerOptions options, CallerServerHooks hooks);
  /// Aborts open connections and requests and joins the workers.
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Listens and starts the workers. Errors: `kBadSettings`.
  Result<void> Start();

  /// The address that the server listens on, with the actual port.
  Endpoint endpoint() const;

  /// Until ready, requests are refused as `kNotReady` and not forwarded.
  void SetReady(bool ready);

  /// Replaces the limits of the callers' connections.
  void SetLimits(const CallerLimits& limits);

  /// Sends probes on a worker's connections to backend servers; a request for a
  /// target is then sent on the connection of its probe. Thread safe, also
  /// while the server is being destroyed by another thread.
  void SendProbes(std::vector<ProbeOrder> orders);

  /// Leaves this instance out of its address responses; requests are still
  /// accepted.
  void BeginLeaving();

  void StopAccepting();

  /// Closes idle connections, waits until every open request has ended, and
  /// calls `on_done` once. From now on each connection is closed after its
  /// response.
  void Finish(std::function<void()> on_done);

  CallerServerStatus status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_CALLER_SERVER_H_
