#ifndef GUAVACROSS_NET_RAW_SERVER_H_
#define GUAVACROSS_NET_RAW_SERVER_H_

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <string>
#include <vector>

#include "guavacross/identity.h"

namespace guavacross::net {

/// TCP server for tests. Treats the bytes available at each read as one request
/// and replies with the raw bytes that a function returns for it; an empty
/// reply closes the connection.
class RawServer {
 public:
  using Answer = std::function<std::string(int index, const std::string&)>;

  explicit RawServer(Answer answer) : m_answer(std::move(answer)) {
    m_server.listen(QHostAddress::LocalHost);
    QObject::connect(&m_server, &QTcpServer::newConnection, [this] {
      QTcpSocket* const socket = m_server.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket,
                       [this, socket] { Read(socket); });
    });
  }

  Endpoint endpoint() const {
    return {.m_ip = "127.0.0.1", .m_port = m_server.serverPort()};
  }
  const std::vector<std::string>& requests() const { return m_requests; }
  void StopListening() { m_server.close(); }

 private:
  void Read(QTcpSocket* socket) {
    const std::string request = socket->readAll().toStdString();
    m_requests.push_back(request);
    const int index = static_cast<int>(m_requests.size()) - 1;
    const std::string answer = m_answer(index, request);
    if (answer.empty()) {
      socket->disconnectFromHost();
    } else {
      socket->write(answer.data(), static_cast<qint64>(answer.size()));
    }
  }

  Answer m_answer;
  std::vector<std::string> m_requests;
  QTcpServer m_server;
};

/// Formats an HTTP response with a body.
inline std::string HttpAnswer(const std::string& status,
                              const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Runs the event loop until `done` returns true, for at most ten seconds.
///
/// @return the final result of `done`.
inline bool RunUntil(const std::function<bool()>& done) {
  QEventLoop loop;
  QTimer time_limit;
  time_limit.setSingleShot(true);
  QObject::connect(&time_limit, &QTimer::timeout, &loop, &QEventLoop::quit);
  time_limit.start(std::chrono::seconds(10));
  while (!done() && time_limit.isActive()) {
    loop.processEvents(QEventLoop::WaitForMoreEvents);
  }
  return done();
}

}  // namespace guavacross::net

#endif  // GUAVACROSS_NET_RAW_SERVER_H_
