#ifndef GUAVACROSS_FORWARDING_REQUEST_FORWARDER_H_
#define GUAVACROSS_FORWARDING_REQUEST_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "backends/backend_pool.h"
#include "backends/target_dialect.h"
#include "forwarding/caller_dialect.h"
#include "forwarding/forward_metrics.h"
#include "forwarding/own_answer.h"
#include "forwarding/relay.h"
#include "forwarding/request_log.h"
#include "forwarding/worker_task_queue.h"
#include "guavacross/document.h"
#include "guavacross/ledger.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"
#include "http/message.h"
#include "net/socket_set.h"
#include "net/stream.h"

namespace guavacross::forwarding {

/// A caller's request after classification.
struct ForwardRequest {
  http::RequestHead m_head;
  std::shared_ptr<const ServiceConfig> m_service;
  /// Points into `m_service`.
  const ClassConfig* m_class = nullptr;
  /// A declared tenant or `other`.
  std::string m_tenant;
  /// The tenant of the caller's key; see `BackendFields::m_tenant`.
  std::optional<std::string> m_verified_tenant;
  /// The tenant as the caller named it: keys of different undeclared tenants
  /// must not collide.
  std::string m_key_tenant;
  TimePoint m_arrived;
  /// When the caller stops waiting for the start of the answer.
  TimePoint m_deadline = TimePoint::max();
  /// The waiting time that the caller stated; zero if it stated none.
  Duration m_caller_timeout{};
  int m_hops = 0;
  /// Set if a peer has passed the request on.
  std::optional<RelayMark> m_relay;
};

/// Callbacks that deliver the answer to the caller. Either `m_on_answer` is
/// called, or `m_on_head`, `m_on_body` and then `m_on_end` or `m_on_abort`.
/// None is called after the end. All but `m_unsent` may be called from within
/// the exchange's functions.
struct AnswerHooks {
  std::function<void(const CompleteAnswer&)> m_on_answer;
  std::function<void(const http::ResponseHead&)> m_on_head;
  std::function<void(std::string_view)> m_on_body;
  std::function<void()> m_on_end;
  /// The answer can't be completed: the caller must not take it for complete.
  std::function<void()> m_on_abort;
  /// More of the request's body can be taken.
  std::function<void()> m_on_body_wanted;
  /// The caller's connection if the answer's body is written to it unchanged;
  /// otherwise null.
  std::function<net::Stream*()> m_raw_stream;
  /// Bytes of the answer that are buffered for the caller.
  std::function<std::size_t()> m_unsent;
};

/// Admits requests within the limits of their tenants. Both functions are
/// thread safe.
struct TenantAccess {
  /// Calls back once, from any thread: with nothing if the request is admitted,
  /// else with the refusal. `past_objective`: see `Router::IsPastObjective`.
  std::function<void(const std::string& tenant,
                     bool past_objective,
                     std::function<void(std::optional<Error>)>)>
      m_admit;
  /// An admitted request hasn't run.
  std::function<void(const std::string& tenant)> m_give_back;
};

/// Dependencies that the requests of one worker share. The objects pointed to
/// must outlive it.
struct ForwardContext {
  net::SocketSet* m_set = nullptr;
  backends::BackendPool* m_pool = nullptr;
  Router* m_router = nullptr;
  ForwardMetrics* m_metrics = nullptr;
  LedgerAccess m_ledger;
  Clock m_clock;
  WorkerTaskQueue m_tasks;
  /// Header names and formats used with backend servers and callers.
  const backends::TargetDialect* m_target_dialect =
      &backends::DefaultTargetDialect();
  const CallerDialect* m_caller_dialect = &DefaultCallerDialect();
  /// Empty if tenants have no limits.
  TenantAccess m_tenants;
  /// May be null.
  RequestLog* m_log = nullptr;
  /// Null if requests aren't passed on to peers. Owned by the server.
  const RelayIdentity* m_relay_identity = nullptr;
};

class Exchange;

/// Forwards the requests of one worker to backend servers.
///
/// `Begin` returns the `Exchange` of a new request, to which the caller's
/// connection passes the body. The forwarder owns the exchanges, since one may
/// outlive its caller's connection: a non-repeatable request that may have been
/// sent runs to its end so that its answer is recorded. Use only on the
/// worker's thread.
class RequestForwarder {
 public:
  explicit RequestForwarder(ForwardContext context);
  /// Abandons the exchanges that haven't ended.
  ~RequestForwarder();
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  /// @return the exchange, valid until one of the hooks that end the answer has
  ///     been called or `Exchange::OnCallerDisconnected` has returned. It never
  ///     ends within `Begin`: call `Exchange::Start` next.
  Exchange* Begin(ForwardRequest request, AnswerHooks hooks);

  /// Refuses the requests that haven't been sent to a target and may wait
  /// beyond `end`.
  void RefuseWaiting(TimePoint end, const Error& error);

  /// Answers the requests whose answer hasn't begun with `error`; those that
  /// may have run as unknown.
  void EndUnanswered(const Error& error);

  /// Ends all exchanges without an answer; claims that may have run end as
  /// unknown.
  void AbandonAll();

  /// Number of requests that haven't ended, including those whose caller has
  /// disconnected.
  int in_flight() const { return static_cast<int>(m_exchanges.size()); }

  /// Called whenever an exchange has ended.
  void SetOnEnded(std::function<void()> on_ended) {
    m_on_ended = std::move(on_ended);
  }

 private:
  friend class Exchange;

  void Claim(std::uint64_t id,
             const RequestKey& key,
             std::uint64_t fingerprint);
  void Admit(std::uint64_t id, const std::string& tenant, bool past_objective);
  std::uint64_t Acquire(std::uint64_t id,
                        std::uint64_t generation,
                        const std::shared_ptr<const RequestTraits>& traits,
                        const std::vector<std::string>& targets_to_avoid);
  void OnAdmitted(std::uint64_t id,
                  const std::string& tenant,
                  const std::optional<Error>& refusal);
  void OnClaim(std::uint64_t id, const RequestKey& key, ClaimDecision decision);
  void OnGrant(std::uint64_t id,
               std::uint64_t generation,
               const std::shared_ptr<const RequestTraits>& traits,
               util::Expected<Grant> grant);
  void Remove(std::uint64_t id);
  // Calls a function for each exchange, which may end it.
  void ForEach(const std::function<void(Exchange*)>& call);

  ForwardContext m_context;
  std::uint64_t m_next_id = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
  std::function<void()> m_on_ended;
};

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_REQUEST_FORWARDER_H_
