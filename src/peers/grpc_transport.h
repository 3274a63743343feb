#ifndef GUAVACROSS_PEERS_GRPC_TRANSPORT_H_
#define GUAVACROSS_PEERS_GRPC_TRANSPORT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "guavacross/identity.h"
#include "guavacross/time.h"
#include "peers.pb.h"

namespace guavacross::peers {

struct TransportOptions {
  /// Port 0 takes any free port.
  Endpoint m_listen;
  int m_max_message_bytes = 1 << 20;
  /// Maximum number of requests in progress; more are refused.
  int m_max_open_requests = 256;
};

struct TransportHooks {
  /// Queues a function to run on the control thread. Thread safe.
  std::function<void(std::function<void()>)> m_post;
  /// Handles a request, on the control thread; calls `respond` at most once.
  std::function<void(proto::PeerRequest,
                     std::function<void(const proto::PeerReply&)> respond)>
      m_on_request;
};

/// Messages and their bytes, without the overhead of gRPC and TCP.
struct TransportCounts {
  std::atomic<std::uint64_t> m_sent_messages{0};
  std::atomic<std::uint64_t> m_sent_bytes{0};
  std::atomic<std::uint64_t> m_received_messages{0};
  std::atomic<std::uint64_t> m_received_bytes{0};
  std::atomic<std::uint64_t> m_overload_refusals{0};
  /// Requests that failed although the peer was reachable: a message was too
  /// large, couldn't be read or was refused.
  std::atomic<std::uint64_t> m_failed_messages{0};
};

/// A gRPC server and the clients to other instances, on one completion queue
/// that one thread polls.
///
/// All functions must be called on the control thread; callbacks run there,
/// too.
class GrpcTransport {
 public:
  GrpcTransport(TransportOptions options, TransportHooks hooks);
  ~GrpcTransport();
  GrpcTransport(const GrpcTransport&) = delete;
  GrpcTransport& operator=(const GrpcTransport&) = delete;

  /// @return whether the address could be bound.
  bool Start();

  /// Cancels outstanding calls and ends the thread. No callback is called
  /// afterwards.
  void Stop();

  Endpoint listen_address() const;

  /// Sends a request once, without retries. `done` gets `std::nullopt` if it
  /// failed or timed out. After several time-outs in a row the connection is
  /// replaced by a new one.
  void Call(const Endpoint& peer,
            const proto::PeerRequest& request,
            Duration timeout,
            std::function<void(std::optional<proto::PeerReply>)> done);

  /// Replaces the connection if its last call failed: it may wait to connect
  /// again, and fail calls until then, although the peer can be reached.
  void RenewFailedConnection(const Endpoint& peer);

  const TransportCounts& counts() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_GRPC_TRANSPORT_H_
