#ifndef GUAVACROSS_NET_CLIENT_CONNECTION_H_
#define GUAVACROSS_NET_CLIENT_CONNECTION_H_

#include <QObject>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "http/message_reader.h"
#include "net/socket_set.h"
#include "net/stream.h"

namespace guavacross::net {

/// One connection to an HTTP server, carrying one request at a time.
///
/// It sends each request once, has no time limit of its own, and can be used
/// again only after a complete response with no bytes after it. Hooks are
/// called from the event loop, never from within a function of the connection.
/// A hook must not destroy its connection, but may pass it to
/// `SocketSet::DeleteLater`. Not thread safe.
class ClientConnection {
 public:
  struct Hooks {
    /// The head of the response; interim responses are skipped.
    std::function<void(const http::ResponseHead&)> m_on_head;
    std::function<void(std::string_view)> m_on_body;
    /// Called once and last, without an error if the response is complete.
    /// Errors: `kConnectFailed`, with which nothing was sent; `kBackendReset`;
    /// those of `http::MessageReader::Feed`.
    std::function<void(const std::optional<Error>&)> m_on_end;
  };

  ClientConnection(SocketSet* set, Endpoint to);

  /// Sends the serialized `request`; the connection must be new or reusable.
  /// `to_head` states that it is a HEAD request.
  void Send(std::string_view request,
            bool to_head,
            const http::ReadLimits& limits,
            Hooks hooks);

  /// Closes the connection. No hook is called afterwards; not to be called from
  /// `m_on_head` or `m_on_body`.
  void Close();

  /// Whether the connection is idle and can carry another request.
  bool IsReusable() const;

  /// Whether any byte of the current or last request may have been sent.
  bool sent() const { return m_connected; }
  /// Whether any byte of a response to it has arrived.
  bool response_begun() const { return m_response_begun; }

  const Endpoint& to() const { return m_to; }

 private:
  void Connect();
  void StartReader();
  void OnReadable();
  void OnBytes(std::string_view bytes);
  void OnEndOfStream();
  void Fail(ErrorKind kind, std::string text);
  void End(const std::optional<Error>& error);

  SocketSet* m_set;
  Endpoint m_to;
  std::unique_ptr<Stream> m_stream;
  Hooks m_hooks;
  http::ReadLimits m_limits;
  // Set while a request is in flight.
  std::optional<http::MessageReader> m_reader;
  bool m_to_head = false;
  bool m_connected = false;
  bool m_response_begun = false;
  bool m_is_interim = false;
  bool m_keep_alive = false;
  // Cancels calls that are due once it is destroyed.
  QObject m_context;
};

}  // namespace guavacross::net

#endif  // GUAVACROSS_NET_CLIENT_CONNECTION_H_
