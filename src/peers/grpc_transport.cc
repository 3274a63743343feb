#include "peers/grpc_transport.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "peers.grpc.pb.h"
#include "util/log.h"

namespace guavacross::peers {

namespace {

constexpr int kInitialReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 1000;

// Consecutive time-outs after which a connection is replaced: it may no longer
// carry data while new ones work. A single time-out may be due to a slow peer.
constexpr int kTimeoutsBeforeReconnect = 2;

// A call whose completed steps the completion queue reports.
class PendingCall {
 public:
  virtual ~PendingCall() = default;
  // `ok` is false if the step failed or the queue is shutting down. Returns
  // whether the call has ended and may be destroyed.
  virtual bool OnDone(bool ok) = 0;
};

grpc::ChannelArguments ChannelOptions(int max_message_bytes) {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(max_message_bytes);
  arguments.SetMaxSendMessageSize(max_message_bytes);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   kInitialReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   kInitialReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return arguments;
}

}  // namespace

// `m_mutex` guards the state shared by the queue's thread and the control
// thread. No other lock is taken and no callback runs while it is held.
struct GrpcTransport::Impl {
  using Stub = proto::Peers::Stub;
  using Respond = std::function<void(const proto::PeerReply&)>;

  class ServerCall;
  class ClientCall;

  struct CallResult {
    bool m_failed = false;
    bool m_timed_out = false;
    // Why a message couldn't be sent, handled or read; empty if the peer was
    // only unreachable.
    std::string m_error;
  };

  // The client's side of one peer.
  struct Connection {
    std::unique_ptr<Stub> m_stub;
    bool m_last_call_failed = false;
    // Consecutive requests that timed out.
    int m_consecutive_timeouts = 0;
    // The last error that was logged, so that a message that fails each time is
    // logged once.
    std::string m_logged_error;
  };

  TransportOptions m_options;
  TransportHooks m_hooks;
  TransportCounts m_counts;
  Endpoint m_listen_address;
  proto::Peers::AsyncService m_service;
  std::unique_ptr<grpc::ServerCompletionQueue> m_queue;
  std::unique_ptr<grpc::Server> m_server;
  std::thread m_thread;
  // Used on the control thread only.
  std::map<Endpoint, Connection> m_connections;
  // Posted functions check this token, which the control thread resets.
  std::shared_ptr<int> m_alive;

  std::mutex m_mutex;
  bool m_stopping = false;
  std::unordered_map<PendingCall*, std::unique_ptr<PendingCall>>
      m_pending_calls;
  int m_open_requests = 0;

  void PollQueue();
  void AcceptNext();
  void Post(std::function<void()> call);
  void CancelClientCalls();
  void OnCallEnded(const Endpoint& peer, const CallResult& result);
};

// One request from a peer: waits for it, passes it to the hook, sends the
// reply.
class GrpcTransport::Impl::ServerCall : public PendingCall {
 public:
  explicit ServerCall(Impl* impl) : m_impl(impl), m_writer(&m_context) {}

  // Requires that `m_mutex` is held and `m_stopping` is false.
  void Wait() {
    m_impl->m_service.RequestExchange(&m_context, &m_request, &m_writer,
                                      m_impl->m_queue.get(),
                                      m_impl->m_queue.get(), this);
  }

  bool OnDone(bool ok) override {
    if (m_has_request || !ok) {
      UncountRequest();
      return true;
    }
    m_has_request = true;
    m_impl->AcceptNext();
    m_impl->m_counts.m_received_messages += 1;
    m_impl->m_counts.m_received_bytes += m_request.ByteSizeLong();
    if (CountAndCheckLimit()) {
      m_impl->m_counts.m_overload_refusals += 1;
      Finish(nullptr);
      return false;
    }
    m_impl->Post([this, impl = m_impl] {
      impl->m_hooks.m_on_request(
          std::move(m_request),
          [this, impl, alive = std::weak_ptr<int>(impl->m_alive)](
              const proto::PeerReply& reply) {
            if (!alive.expired()) {
              Finish(&reply);
            }
          });
    });
    return false;
  }

 private:
  bool CountAndCheckLimit() {
    const std::lock_guard lock(m_impl->m_mutex);
    m_is_counted = true;
    return ++m_impl->m_open_requests > m_impl->m_options.m_max_open_requests;
  }

  void UncountRequest() {
    if (m_is_counted) {
      const std::lock_guard lock(m_impl->m_mutex);
      --m_impl->m_open_requests;
    }
  }

  // Sends the reply; null refuses the request.
  void Finish(const proto::PeerReply* reply) {
    const std::lock_guard lock(m_impl->m_mutex);
    if (m_impl->m_stopping || m_is_finished) {
      return;
    }
    m_is_finished = true;
    if (reply == nullptr) {
      m_writer.FinishWithError(
          grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, "too many"), this);
      return;
    }
    m_impl->m_counts.m_sent_messages += 1;
    m_impl->m_counts.m_sent_bytes += reply->ByteSizeLong();
    m_writer.Finish(*reply, grpc::Status::OK, this);
  }

  Impl* m_impl;
  grpc::ServerContext m_context;
  proto::PeerRequest m_request;
  grpc::ServerAsyncResponseWriter<proto::PeerReply> m_writer;
  bool m_has_request = false;
  bool m_is_counted = false;
  bool m_is_finished = false;
};

// One request to a peer.
class GrpcTransport::Impl::ClientCall : public PendingCall {
 public:
  using Done = std::function<void(std::optional<proto::PeerReply>)>;

  ClientCall(Impl* impl, Endpoint peer, Done done)
      : m_impl(impl), m_peer(std::move(peer)), m_done(std::move(done)) {}

  // Requires that `m_mutex` is held and `m_stopping` is false.
  void Begin(Stub* stub, const proto::PeerRequest& request, Duration timeout) {
    m_context.set_deadline(
        std::chrono::system_clock::now() +
        std::chrono::ceil<std::chrono::milliseconds>(timeout));
    m_reader = stub->AsyncExchange(&m_context, request, m_impl->m_queue.get());
    m_reader->Finish(&m_reply, &m_status, this);
  }

  bool OnDone(bool ok) override {
    std::optional<proto::PeerReply> reply;
    if (ok && m_status.ok()) {
      m_impl->m_counts.m_received_messages += 1;
      m_impl->m_counts.m_received_bytes += m_reply.ByteSizeLong();
      reply = std::move(m_reply);
    }
    CallResult result{.m_failed = !reply.has_value(),
                      .m_timed_out = m_status.error_code() ==
                                     grpc::StatusCode::DEADLINE_EXCEEDED,
                      .m_error = Error(ok)};
    if (!result.m_error.empty()) {
      m_impl->m_counts.m_failed_messages += 1;
    }
    m_impl->Post([impl = m_impl, peer = m_peer, result = std::move(result),
                  done = std::move(m_done), reply = std::move(reply)] {
      impl->OnCallEnded(peer, result);
      done(reply);
    });
    return true;
  }

  void Cancel() { m_context.TryCancel(); }

 private:
  std::string Error(bool ok) const {
    switch (m_status.error_code()) {
      case grpc::StatusCode::OK:
        return ok ? "" : "the reply can't be read";
      case grpc::StatusCode::CANCELLED:
      case grpc::StatusCode::DEADLINE_EXCEEDED:
      case grpc::StatusCode::UNAVAILABLE:
        return "";
      default:
        return m_status.error_message();
    }
  }

  Impl* m_impl;
  Endpoint m_peer;
  Done m_done;
  grpc::ClientContext m_context;
  std::unique_ptr<grpc::ClientAsyncResponseReader<proto::PeerReply>> m_reader;
  proto::PeerReply m_reply;
  grpc::Status m_status;
};

void GrpcTransport::Impl::Post(std::function<void()> call) {
  {
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
      return;
    }
  }
  m_hooks.m_post([alive = std::weak_ptr<int>(m_alive), call = std::move(call)] {
    if (!alive.expired()) {
      call();
    }
  });
}

void GrpcTransport::Impl::AcceptNext() {
  const std::lock_guard lock(m_mutex);
  if (m_stopping) {
    return;
  }
  auto call = std::make_unique<ServerCall>(this);
  ServerCall* waiting = call.get();
  m_pending_calls.emplace(waiting, std::move(call));
  waiting->Wait();
}

void GrpcTransport::Impl::PollQueue() {
  void* tag = nullptr;
  bool ok = false;
  while (m_queue->Next(&tag, &ok)) {
    PendingCall* pending = static_cast<PendingCall*>(tag);
    if (!pending->OnDone(ok)) {
      continue;
    }
    std::unique_ptr<PendingCall> ended;
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending_calls.find(pending);
    ended = std::move(found->second);
    m_pending_calls.erase(found);
  }
}

void GrpcTransport::Impl::CancelClientCalls() {
  const std::lock_guard lock(m_mutex);
  for (const auto& [pending, owner] : m_pending_calls) {
    if (auto* call = dynamic_cast<ClientCall*>(pending)) {
      call->Cancel();
    }
  }
}

// Requests in progress keep using the connection that is replaced.
void GrpcTransport::Impl::OnCallEnded(const Endpoint& peer,
                                      const CallResult& result) {
  const auto found = m_connections.find(peer);
  if (found == m_connections.end()) {
    return;
  }
  found->second.m_last_call_failed = result.m_failed;
  if (!result.m_error.empty() &&
      std::exchange(found->second.m_logged_error, result.m_error) !=
          result.m_error) {
    util::LogWarning("peers", "a message to or from a peer failed",
                     {{"peer", ToString(peer)}, {"why", result.m_error}});
  }
  int& unanswered = found->second.m_consecutive_timeouts;
  unanswered = result.m_timed_out ? unanswered + 1 : 0;
  if (unanswered >= kTimeoutsBeforeReconnect) {
    util::LogChange(
        "peers", "connection replaced",
        {{"peer", ToString(peer)}, {"unanswered", std::to_string(unanswered)}});
    m_connections.erase(found);
  }
}

GrpcTransport::GrpcTransport(TransportOptions options, TransportHooks hooks)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_options = std::move(options);
  m_impl->m_hooks = std::move(hooks);
  m_impl->m_alive = std::make_shared<int>(0);
}

GrpcTransport::~GrpcTransport() {
  Stop();
}

bool GrpcTransport::Start() {
  grpc::ServerBuilder builder;
  int port = 0;
  const Endpoint& listen = m_impl->m_options.m_listen;
  builder.AddListeningPort(ToString(listen), grpc::InsecureServerCredentials(),
                           &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(m_impl->m_options.m_max_message_bytes);
  builder.RegisterService(&m_impl->m_service);
  m_impl->m_queue = builder.AddCompletionQueue();
  m_impl->m_server = builder.BuildAndStart();
  if (m_impl->m_server == nullptr || port == 0) {
    m_impl->m_server.reset();
    m_impl->m_queue->Shutdown();
    void* tag = nullptr;
    bool ok = false;
    while (m_impl->m_queue->Next(&tag, &ok)) {
    }
    return false;
  }
  m_impl->m_listen_address = {.m_ip = listen.m_ip,
                              .m_port = static_cast<std::uint16_t>(port)};
  m_impl->AcceptNext();
  m_impl->m_thread = std::thread([impl = m_impl.get()] { impl->PollQueue(); });
  return true;
}

void GrpcTransport::Stop() {
  m_impl->m_alive.reset();
  if (!m_impl->m_thread.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(m_impl->m_mutex);
    m_impl->m_stopping = true;
  }
  m_impl->CancelClientCalls();
  m_impl->m_server->Shutdown(std::chrono::system_clock::now());
  m_impl->m_queue->Shutdown();
  m_impl->m_thread.join();
  // Requests that were never answered don't complete on the queue.
  m_impl->m_pending_calls.clear();
  m_impl->m_server.reset();
  m_impl->m_connections.clear();
}

Endpoint GrpcTransport::listen_address() const {
  return m_impl->m_listen_address;
}

void GrpcTransport::Call(
    const Endpoint& peer,
    const proto::PeerRequest& request,
    Duration timeout,
    std::function<void(std::optional<proto::PeerReply>)> done) {
  if (!m_impl->m_thread.joinable()) {
    return;
  }
  std::unique_ptr<Impl::Stub>& stub = m_impl->m_connections[peer].m_stub;
  if (stub == nullptr) {
    stub = proto::Peers::NewStub(grpc::CreateCustomChannel(
        "ipv4:" + ToString(peer), grpc::InsecureChannelCredentials(),
        ChannelOptions(m_impl->m_options.m_max_message_bytes)));
  }
  m_impl->m_counts.m_sent_messages += 1;
  m_impl->m_counts.m_sent_bytes += request.ByteSizeLong();
  auto call =
      std::make_unique<Impl::ClientCall>(m_impl.get(), peer, std::move(done));
  Impl::ClientCall* started = call.get();
  const std::lock_guard lock(m_impl->m_mutex);
  m_impl->m_pending_calls.emplace(started, std::move(call));
  started->Begin(stub.get(), request, timeout);
}

void GrpcTransport::RenewFailedConnection(const Endpoint& peer) {
  const auto found = m_impl->m_connections.find(peer);
  if (found != m_impl->m_connections.end() &&
      found->second.m_last_call_failed) {
    m_impl->m_connections.erase(found);
  }
}

const TransportCounts& GrpcTransport::counts() const {
  return m_impl->m_counts;
}

}  // namespace guavacross::peers
