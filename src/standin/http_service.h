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

/// Closes a socket at once, so that the other side sees a reset.
void ResetSocket(QTcpSocket* socket);

/// A request and the way to answer it. The answer may be given later, in
/// pieces, wrongly or never. Every function does nothing once the connection
/// has gone. Lives on the service's thread.
class Exchange {
 public:
  explicit Exchange(HttpConnection* connection);
  ~Exchange();

  http::RequestHead m_head;
  std::string m_body;
  /// Called once if the caller leaves before the answer is finished.
  std::function<void()> m_on_gone;
  /// Called when the socket has written what it held; for streaming.
  std::function<void()> m_on_written;

  /// Sends a whole answer.
  void Answer(http::ResponseHead head, std::string_view body);
  /// Sends bytes as they are.
  void Write(std::string_view bytes);
  /// Ends the exchange after its answer was written with `Write`.
  void Finish(bool keep_alive);
  /// Resets the connection.
  void Reset();
  /// Closes the connection once what was written has left.
  void Close();
  /// Bytes that are written but haven't left.
  std::int64_t Unsent() const;
  bool gone() const { return m_connection.isNull(); }

 private:
  QPointer<HttpConnection> m_connection;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

/// A plain HTTP/1.1 server whose answers can go wrong on purpose.
///
/// Requests on one connection are handled one after the other. Lives on one
/// thread.
class HttpService : public QObject {
 public:
  explicit HttpService(ExchangeHandler handler, QObject* parent = nullptr);
  ~HttpService() override;

  /// Listens; port 0 takes a free port, which later calls keep.
  bool Listen(const Endpoint& endpoint);
  /// Refuses new connections; those that are open stay.
  void StopListening();
  /// Listens again where `Listen` did.
  bool ListenAgain();
  bool listening() const { return m_server.isListening(); }
  /// Resets all connections.
  void ResetAll();
  Endpoint endpoint() const { return m_endpoint; }
  int connections() const;
  std::uint64_t accepted() const { return m_accepted; }

  /// Called with each new connection's socket, before anything is read.
  std::function<void(QTcpSocket*)> m_on_connect;

 private:
  friend class HttpConnection;
  void Accept();

  ExchangeHandler m_handler;
  QTcpServer m_server;
  Endpoint m_endpoint;
  std::set<HttpConnection*> m_open;
  std::uint64_t m_accepted = 0;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_HTTP_SERVICE_H_
