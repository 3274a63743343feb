#ifndef GUAVACROSS_LOAD_HTTP_CLIENT_H_
#define GUAVACROSS_LOAD_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/time.h"
#include "http/message.h"
#include "net/socket_set.h"
#include "util/handle.h"

namespace guavacross::load {

/// A complete answer.
struct ClientAnswer {
  http::ResponseHead m_head;
  /// The start of the body, up to the client's `kept_body_bytes`.
  std::string m_body;
  std::uint64_t m_body_bytes = 0;
  /// The 64-bit XXH3 hash of the whole body.
  std::uint64_t m_body_hash = 0;

  bool operator==(const ClientAnswer&) const = default;
};

/// An HTTP client for tests, the demo and the load generator. It sends each
/// request once without retries, reuses connections and reports every failure
/// to the caller.
///
/// Must be used on one thread with a Qt event loop. `Send` never blocks.
class HttpClient {
 public:
  static constexpr std::size_t kKeptBodyBytes = std::size_t{64} << 10;

  /// Errors: `kConnectFailed` (nothing was sent), `kBackendReset`,
  /// `kBackendTimeout`, `kBackendBadAnswer`.
  using Done = std::function<void(util::Expected<ClientAnswer>)>;

  /// `kept_body_bytes` limits how much of an answer's body is stored.
  explicit HttpClient(std::size_t kept_body_bytes = kKeptBodyBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends one request and calls `done` once. The body framing in the head is
  /// set from `body`; `Host` is added if it is missing.
  void Send(const Endpoint& to,
            http::RequestHead head,
            std::string body,
            Duration timeout,
            Done done);

  /// The number of connections that are idle or in use.
  std::size_t OpenConnections() const;

 private:
  class Connection;
  void ReleaseConnection(Connection* connection);

  std::size_t m_kept_body_bytes;
  net::SocketSet m_sockets;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> m_idle;
  std::map<Connection*, std::unique_ptr<Connection>> m_busy;
};

}  // namespace guavacross::load

#endif  // GUAVACROSS_LOAD_HTTP_CLIENT_H_
