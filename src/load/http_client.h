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
#include "util/handle.h"

namespace guavacross::load {

/// A complete answer.
struct ClientAnswer {
  http::ResponseHead m_head;
  /// The body's first bytes, up to what its client keeps.
  std::string m_body;
  std::uint64_t m_body_bytes = 0;
  /// The 64-bit XXH3 hash of the whole body.
  std::uint64_t m_body_hash = 0;

  bool operator==(const ClientAnswer&) const = default;
};

/// An HTTP client for tests, the demo and load: it sends each request exactly
/// once, reuses connections, and reports every failure as it is.
///
/// Lives on one thread with a Qt event loop. `Send` never blocks.
class HttpClient {
 public:
  static constexpr std::size_t kKeptBodyBytes = std::size_t{64} << 10;

  /// Errors: `kConnectFailed` (nothing was sent), `kBackendReset`,
  /// `kBackendTimeout`, `kBackendBadAnswer`.
  using Done = std::function<void(util::Expected<ClientAnswer>)>;

  /// `kept_body_bytes` bounds what is kept of an answer's body.
  explicit HttpClient(std::size_t kept_body_bytes = kKeptBodyBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends one request and calls `done` once. The head's framing is set from
  /// the body; `Host` is added if it is missing.
  void Send(const Endpoint& to,
            http::RequestHead head,
            std::string body,
            Duration timeout,
            Done done);

  /// Connections that are open at this moment.
  std::size_t OpenConnections() const;

 private:
  class Connection;
  void Recycle(Connection* connection, bool reusable);

  std::size_t m_kept_body_bytes;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> m_idle;
  std::map<Connection*, std::unique_ptr<Connection>> m_busy;
};

}  // namespace guavacross::load

#endif  // GUAVACROSS_LOAD_HTTP_CLIENT_H_
