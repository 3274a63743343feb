#include "standin/http_service.h"

#include <sys/socket.h>

#include <QHostAddress>
#include <optional>
#include <utility>

#include "util/handle.h"

namespace guavacross::standin {

namespace {

// Maximum number of pending connections that are not yet accepted.
constexpr int kListenBacklog = 1024;

}  // namespace

void ResetSocket(QTcpSocket* socket) {
  const linger zero_linger{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET,
               SO_LINGER, &zero_linger, sizeof(zero_linger));
  socket->abort();
}

/// One caller's connection.
class HttpConnection : public QObject {
 public:
  HttpConnection(HttpService* service, QTcpSocket* socket)
      : QObject(service), m_service(service), m_socket(socket) {
    socket->setParent(this);
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(socket, &QTcpSocket::readyRead, this, [this] { Read(); });
    connect(socket, &QTcpSocket::disconnected, this,
            [this] { OnDisconnected(); });
    connect(socket, &QTcpSocket::bytesWritten, this, [this] {
      // The callback may end the exchange, which owns it, so a copy is called.
      const auto callback = m_exchange != nullptr ? m_exchange->m_on_written
                                                  : std::function<void()>();
      if (callback) {
        callback();
      }
    });
    service->m_connections.insert(this);
  }

  ~HttpConnection() override { m_service->m_connections.erase(this); }

  QTcpSocket* socket() const { return m_socket; }

  void Read() {
    m_buffer.append(m_socket->readAll().toStdString());
    HandleNext();
  }

  // Ends the current exchange and continues with pipelined requests.
  void Finish(bool keep_alive) {
    m_exchange.reset();
    m_reader.reset();
    if (!keep_alive) {
      m_socket->disconnectFromHost();
      return;
    }
    if (!m_buffer.empty()) {
      QMetaObject::invokeMethod(
          this, [this] { HandleNext(); }, Qt::QueuedConnection);
    }
  }

 private:
  void HandleNext() {
    if (m_exchange != nullptr || m_buffer.empty()) {
      return;
    }
    if (!m_reader.has_value()) {
      StartReader();
    }
    const auto consumed =
        util::Catch([this] { return m_reader->Feed(m_buffer); });
    if (!consumed) {
      m_socket->write(
          "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
          "Connection: close\r\n\r\n");
      m_socket->disconnectFromHost();
      return;
    }
    m_buffer.erase(0, *consumed.m_value);
    if (m_reader->done()) {
      m_exchange = std::move(m_incoming);
      m_service->m_handler(m_exchange);
    }
  }

  void StartReader() {
    m_incoming = std::make_shared<Exchange>(this);
    Exchange* exchange = m_incoming.get();
    http::MessageReader::Hooks hooks;
    hooks.m_on_request = [exchange](const http::RequestHead& head) {
      exchange->m_head = head;
    };
    hooks.m_on_body = [exchange](std::string_view bytes) {
      exchange->m_body.append(bytes);
    };
    m_reader.emplace(http::MessageReader::ForRequest({}, std::move(hooks)));
  }

  void OnDisconnected() {
    if (m_disconnected) {
      return;
    }
    m_disconnected = true;
    deleteLater();
    const auto exchange = std::exchange(m_exchange, nullptr);
    const auto callback = exchange != nullptr ? exchange->m_on_disconnected
                                              : std::function<void()>();
    if (callback) {
      callback();
    }
  }

  HttpService* m_service;
  QTcpSocket* m_socket;
  std::string m_buffer;
  std::optional<http::MessageReader> m_reader;
  // The request being read, and the one being answered.
  std::shared_ptr<Exchange> m_incoming;
  std::shared_ptr<Exchange> m_exchange;
  bool m_disconnected = false;
};

Exchange::Exchange(HttpConnection* connection) : m_connection(connection) {}
Exchange::~Exchange() = default;

void Exchange::Answer(http::ResponseHead head, std::string_view body) {
  head.m_framing = http::BodyFraming::kLength;
  head.m_length = body.size();
  const bool keep_alive = head.m_keep_alive && m_head.m_keep_alive;
  head.m_keep_alive = keep_alive;
  if (head.m_reason.empty()) {
    head.m_reason = http::ReasonPhrase(head.m_status);
  }
  std::string bytes = http::Serialize(head);
  if (m_head.m_method != "HEAD") {
    bytes.append(body);
  }
  Write(bytes);
  Finish(keep_alive);
}

void Exchange::Write(std::string_view bytes) {
  if (m_connection != nullptr) {
    m_connection->socket()->write(bytes.data(),
                                  static_cast<qint64>(bytes.size()));
  }
}

void Exchange::Finish(bool keep_alive) {
  m_on_disconnected = nullptr;
  m_on_written = nullptr;
  if (m_connection != nullptr) {
    m_connection->Finish(keep_alive);
  }
}

void Exchange::Reset() {
  if (m_connection != nullptr) {
    ResetSocket(m_connection->socket());
  }
}

void Exchange::Close() {
  if (m_connection != nullptr) {
    m_connection->socket()->disconnectFromHost();
  }
}

std::int64_t Exchange::UnsentBytes() const {
  return m_connection == nullptr ? 0 : m_connection->socket()->bytesToWrite();
}

HttpService::HttpService(ExchangeHandler handler, QObject* parent)
    : QObject(parent), m_handler(std::move(handler)), m_server(this) {
  connect(&m_server, &QTcpServer::newConnection, this, [this] { Accept(); });
  m_server.setListenBacklogSize(kListenBacklog);
}

HttpService::~HttpService() {
  // Each connection removes itself from the set when it is deleted, so a copy
  // is iterated.
  qDeleteAll(std::set<HttpConnection*>(m_connections));
}

int HttpService::connections() const {
  return static_cast<int>(m_connections.size());
}

bool HttpService::Listen(const Endpoint& endpoint) {
  m_endpoint = endpoint;
  if (!EnsureListening()) {
    return false;
  }
  m_endpoint.m_port = m_server.serverPort();
  return true;
}

void HttpService::StopListening() {
  m_server.close();
}

bool HttpService::EnsureListening() {
  return m_server.isListening() ||
         m_server.listen(QHostAddress(QString::fromStdString(m_endpoint.m_ip)),
                         m_endpoint.m_port);
}

void HttpService::ResetAll() {
  for (HttpConnection* connection : std::set<HttpConnection*>(m_connections)) {
    ResetSocket(connection->socket());
  }
}

void HttpService::Accept() {
  while (QTcpSocket* socket = m_server.nextPendingConnection()) {
    ++m_accepted;
    auto* connection = new HttpConnection(this, socket);
    if (m_on_connect) {
      m_on_connect(socket);
    }
    if (socket->bytesAvailable() > 0) {
      connection->Read();
    }
  }
}

}  // namespace guavacross::standin
