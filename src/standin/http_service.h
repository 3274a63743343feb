#ifndef GUAVACROSS_STANDIN_HTTP_SERVICE_H_
#define GUAVACROSS_STANDIN_HTTP_SERVICE_H_

#include <QObject>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "guavacross/identity.h"
#include "http/message.h"
#include "http/message_reader.h"

namespace guavacross::standin {

class HttpConnection;

/// Aborts a connection with a TCP reset.
void ResetSocket(QTcpSocket* socket);

/// A request and the means to answer it. The answer may be delayed, sent in
/// chunks, malformed or omitted. All functions do nothing once the connection
/// is closed. Must be used on the service's thread.
class Exchange {
 public:
  explicit Exchange(HttpConnection* connection);
  ~Exchange();

  http::RequestHead m_head;
  std::string m_body;
  /// Called once if the caller disconnects before the answer is finished.
  std::function<void()> m_on_disconnected;
  /// Called when the socket has sent buffered bytes; used for streaming.
  std::function<void()> m_on_written;

  /// Sends a complete answer and ends the exchange.
  void Answer(http::ResponseHead head, std::string_view body);
  /// Sends raw bytes.
  void Write(std::string_view bytes);
  /// Ends the exchange after its answer was written with `Write`.
  void Finish(bool keep_alive);
  /// Resets the connection.
  void Reset();
  /// Closes the connection after all written bytes have been sent.
  void Close();
  /// Number of bytes that are written but not yet sent.
  std::int64_t UnsentBytes() const;
  bool disconnected() const { return m_connection.isNull(); }

 private:
  QPointer<HttpConnection> m_connection;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

/// An unencrypted HTTP/1.1 server whose handler can send faulty answers.
///
/// Requests on one connection are handled sequentially. Must be used on one
/// thread.
class HttpService : public QObject {
 public:
  explicit HttpService(ExchangeHandler handler, QObject* parent = nullptr);
  ~HttpService() override;

  /// Starts listening; port 0 selects a free port, which `EnsureListening`
  /// reuses.
  bool Listen(const Endpoint& endpoint);
  /// Stops accepting new connections; open ones are kept.
  void StopListening();
  /// Listens on the endpoint of the last `Listen`, unless it already does.
  bool EnsureListening();
  bool listening() const { return m_server.isListening(); }
  /// Resets all connections.
  void ResetAll();
  Endpoint endpoint() const { return m_endpoint; }
  int connections() const;
  std::uint64_t accepted() const { return m_accepted; }

  /// Called with the socket of each new connection before any data is read.
  std::function<void(QTcpSocket*)> m_on_connect;

 private:
  friend class HttpConnection;
  void Accept();

  ExchangeHandler m_handler;
  QTcpServer m_server;
  Endpoint m_endpoint;
  std::set<HttpConnection*> m_connections;
  std::uint64_t m_accepted = 0;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_HTTP_SERVICE_H_
