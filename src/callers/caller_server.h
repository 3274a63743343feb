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

/// Bounds on what one caller's connection may use.
struct CallerLimits {
  std::size_t m_max_header_bytes = std::size_t{16} << 10;
  /// Longest time from a request's first byte to the end of its head.
  Duration m_header_time = std::chrono::seconds(10);
  /// Longest time without a byte of a body that is being read.
  Duration m_body_progress_time = std::chrono::seconds(20);
  /// Longest time in which a caller takes no byte of an answer.
  Duration m_stall_time = std::chrono::minutes(5);
  /// How long a connection without a request is kept.
  Duration m_idle_time = std::chrono::seconds(75);

  bool operator==(const CallerLimits&) const = default;
};

struct CallerServerOptions {
  /// Where callers connect; port 0 picks a free one.
  Endpoint m_listen;
  int m_workers = 2;
  int m_max_connections = 10000;
  /// Connections to one backend server, over all workers.
  int m_max_target_connections = 64;
  std::string m_region;
  std::string m_zone;
  /// How long callers may keep an address answer.
  Duration m_address_lifetime = std::chrono::seconds(5);
  /// Longest time that `Finish` waits for open requests; zero means no bound.
  Duration m_shutdown_limit = Duration::zero();
  CallerLimits m_limits;
  /// Further addresses, where only `CallerServerHooks::m_answer_locally` is
  /// asked and nothing is forwarded.
  std::vector<Endpoint> m_local_listen;
  /// Whether a caller that closes its direction is taken to have left.
  bool m_half_close_is_leaving = false;
  /// Whether answers close their connections once the server is leaving.
  bool m_close_while_leaving = false;
  /// Whether requests are told of in the log.
  bool m_log_requests = false;

  bool operator==(const CallerServerOptions&) const = default;
};

/// What the server needs from the rest of the program. The pointers must
/// outlive the server; the functions must be thread safe.
struct CallerServerHooks {
  Router* m_router = nullptr;
  LedgerAccess m_ledger;
  util::Metrics* m_metrics = nullptr;
  Clock m_clock;
  /// All known entry instances, this one included.
  std::function<std::vector<Member>()> m_members;
  /// An identity for a caller's non-repeatable requests, handed out with
  /// address answers. May be empty.
  std::function<std::string()> m_mint_identity;
  /// Finds out what a request is; the document's rules if empty.
  std::function<Result<forwarding::ForwardRequest>(const http::RequestHead&,
                                                   TimePoint now)>
      m_classify;
  /// Answers a request without a backend server, or gives nothing. Set, it
  /// takes the place of the paths of the project's own interface.
  std::function<std::optional<forwarding::WholeAnswer>(
      const http::RequestHead&)>
      m_answer_locally;
  /// How backend servers and callers are spoken to.
  const backends::TargetDialect* m_target_dialect =
      &backends::OwnTargetDialect();
  const forwarding::CallerDialect* m_caller_dialect =
      &forwarding::OwnCallerDialect();
};

struct CallerServerStatus {
  int m_connections = 0;
  int m_requests_in_flight = 0;
  bool m_ready = false;
  bool m_leaving = false;

  bool operator==(const CallerServerStatus&) const = default;
};

/// Serves callers: accepts their connections, forwards their requests to
/// backend servers and answers which addresses to use.
///
/// Make one on the control thread and call `Start`, then `SetReady(true)` once
/// configuration is in force. For a graceful shutdown call `BeginLeaving`, wait
/// for as long as an address answer may be kept, then call `StopAccepting` and
/// `Finish`. All functions belong to the control thread, whose event loop must
/// run.
class CallerServer {
 public:
  CallerServer(CallerServerOptions options, CallerServerHooks hooks);
  /// Aborts what is still open and joins the workers.
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Listens and starts the workers. Errors: `kBadSettings`.
  Result<void> Start();

  /// The address that the server listens on, with its real port.
  Endpoint endpoint() const;

  /// Until ready, requests are refused as `kNotReady` and not run.
  void SetReady(bool ready);

  /// Replaces the bounds on what callers may send.
  void SetLimits(const CallerLimits& limits);

  /// Leaves this instance out of its address answers; requests are still
  /// accepted.
  void BeginLeaving();

  void StopAccepting();

  /// Closes idle connections, waits until every open request has ended, and
  /// calls `on_done` once. Answers from here on close their connections.
  void Finish(std::function<void()> on_done);

  CallerServerStatus status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_CALLER_SERVER_H_
