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
  /// Requests being answered at one time; more are refused.
  int m_max_open_requests = 256;
};

struct TransportHooks {
  /// Runs a function on the control thread, later. Thread safe.
  std::function<void(std::function<void()>)> m_post;
  /// A request came in; `respond` is called at most once. On the control
  /// thread.
  std::function<void(proto::PeerRequest,
                     std::function<void(const proto::PeerReply&)> respond)>
      m_on_request;
};

/// Bytes of messages, without what gRPC and TCP add.
struct TransportCounts {
  std::atomic<std::uint64_t> m_sent_messages{0};
  std::atomic<std::uint64_t> m_sent_bytes{0};
  std::atomic<std::uint64_t> m_received_messages{0};
  std::atomic<std::uint64_t> m_received_bytes{0};
  std::atomic<std::uint64_t> m_overload_refusals{0};
};

/// A gRPC server and the clients to other instances, on one completion queue
/// that one thread serves.
///
/// All functions are for the control thread, and so are all callbacks.
class GrpcTransport {
 public:
  GrpcTransport(TransportOptions options, TransportHooks hooks);
  ~GrpcTransport();
  GrpcTransport(const GrpcTransport&) = delete;
  GrpcTransport& operator=(const GrpcTransport&) = delete;

  /// @return whether the address could be bound.
  bool Start();

  /// Cancels what is under way and ends the thread. No callback comes
  /// afterwards.
  void Stop();

  Endpoint listen_address() const;

  /// Sends a request once. `done` gets nothing if no answer came in time. After
  /// some such requests in a row the connection is replaced by a new one.
  void Call(const Endpoint& peer,
            const proto::PeerRequest& request,
            Duration timeout,
            std::function<void(std::optional<proto::PeerReply>)> done);

  /// Closes the connection to an address that no member has any more.
  void Forget(const Endpoint& peer);

  const TransportCounts& counts() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_GRPC_TRANSPORT_H_
