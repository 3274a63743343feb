#include "load/http_client.h"

#include <xxhash.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <boost/leaf/error.hpp>
#include <optional>
#include <utility>

#include "http/message_reader.h"

namespace guavacross::load {

namespace {

constexpr qint64 kReadBytes = qint64{256} << 10;

struct HashStateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

}  // namespace

// One connection, with at most one request in flight.
class HttpClient::Connection {
 public:
  Connection(HttpClient* client, Endpoint to)
      : m_client(client), m_to(std::move(to)), m_hash(XXH3_createState()) {
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, [this] {
      Fail(ErrorKind::kBackendTimeout, "no complete answer in time");
    });
    QObject::connect(&m_socket, &QTcpSocket::connected, [this] { Write(); });
    QObject::connect(&m_socket, &QTcpSocket::readyRead, [this] { Read(); });
    QObject::connect(&m_socket, &QTcpSocket::disconnected,
                     [this] { OnDisconnected(); });
    QObject::connect(&m_socket, &QTcpSocket::errorOccurred,
                     [this](QAbstractSocket::SocketError error) {
                       if (error != QAbstractSocket::RemoteHostClosedError) {
                         OnSocketError();
                       }
                     });
  }

  ~Connection() {
    QObject::disconnect(&m_socket, nullptr, nullptr, nullptr);
    m_socket.abort();
  }

  bool IsReusable() const {
    return m_socket.state() == QAbstractSocket::ConnectedState &&
           m_socket.bytesAvailable() == 0;
  }

  const Endpoint& to() const { return m_to; }

  void Start(std::string bytes, bool to_head, Duration timeout, Done done) {
    m_request = std::move(bytes);
    m_done = std::move(done);
    m_sent = false;
    m_answer = {};
    XXH3_64bits_reset(m_hash.get());
    http::MessageReader::Hooks hooks;
    hooks.m_on_response = [this](const http::ResponseHead& head) {
      m_answer.m_head = head;
    };
    hooks.m_on_body = [this](std::string_view body) { AppendBody(body); };
    m_reader.emplace(http::MessageReader::ForResponse({}, to_head, hooks));
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(timeout));
    if (m_socket.state() == QAbstractSocket::ConnectedState) {
      Write();
      return;
    }
    m_socket.connectToHost(QHostAddress(QString::fromStdString(m_to.m_ip)),
                           m_to.m_port);
  }

 private:
  void Write() {
    if (!m_reader.has_value()) {
      return;
    }
    m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_sent = true;
    m_socket.write(m_request.data(), static_cast<qint64>(m_request.size()));
    m_request.clear();
  }

  void AppendBody(std::string_view body) {
    XXH3_64bits_update(m_hash.get(), body.data(), body.size());
    m_answer.m_body_bytes += body.size();
    const std::size_t room =
        m_client->m_kept_body_bytes - m_answer.m_body.size();
    m_answer.m_body.append(body.substr(0, room));
  }

  void Read() {
    while (m_reader.has_value() && m_socket.bytesAvailable() > 0) {
      const QByteArray bytes = m_socket.read(kReadBytes);
      const auto consumed = util::Catch([&] {
        return m_reader->Feed(std::string_view(
            bytes.constData(), static_cast<std::size_t>(bytes.size())));
      });
      if (!consumed) {
        Fail(ErrorKind::kBackendBadAnswer, consumed.m_error.m_text);
        return;
      }
      if (m_reader->done()) {
        const bool surplus =
            *consumed.m_value < static_cast<std::size_t>(bytes.size()) ||
            m_socket.bytesAvailable() > 0;
        Succeed(!surplus && m_answer.m_head.m_keep_alive);
        return;
      }
    }
  }

  // The server closed the connection.
  void OnDisconnected() {
    Read();
    if (!m_reader.has_value()) {
      return;
    }
    const bool complete = util::Handle(
        [this]() -> Result<bool> {
          BOOST_LEAF_CHECK(m_reader->FeedEndOfStream());
          return true;
        },
        [](const Error&) { return false; });
    if (complete) {
      Succeed(false);
      return;
    }
    Fail(ErrorKind::kBackendReset, "connection closed before the answer ended");
  }

  void OnSocketError() {
    const ErrorKind kind =
        m_sent ? ErrorKind::kBackendReset : ErrorKind::kConnectFailed;
    Fail(kind, m_socket.errorString().toStdString());
  }

  void Succeed(bool reusable) {
    m_answer.m_body_hash = XXH3_64bits_digest(m_hash.get());
    Finish({.m_value = std::move(m_answer)}, reusable);
  }

  void Fail(ErrorKind kind, std::string text) {
    if (m_reader.has_value()) {
      Finish({.m_error = {.m_kind = kind, .m_text = std::move(text)}}, false);
    }
  }

  void Finish(util::Expected<ClientAnswer> result, bool reusable) {
    m_timer.stop();
    m_reader.reset();
    const Done done = std::move(m_done);
    m_done = nullptr;
    m_client->ReleaseConnection(this, reusable);
    done(std::move(result));
  }

  HttpClient* m_client;
  Endpoint m_to;
  QTcpSocket m_socket;
  QTimer m_timer;
  std::string m_request;
  Done m_done;
  bool m_sent = false;
  ClientAnswer m_answer;
  std::unique_ptr<XXH3_state_t, HashStateDeleter> m_hash;
  // Set while a request is in flight.
  std::optional<http::MessageReader> m_reader;
};

HttpClient::HttpClient(std::size_t kept_body_bytes)
    : m_kept_body_bytes(kept_body_bytes) {}
HttpClient::~HttpClient() = default;

void HttpClient::Send(const Endpoint& to,
                      http::RequestHead head,
                      std::string body,
                      Duration timeout,
                      Done done) {
  if (!head.m_fields.Find("Host")) {
    head.m_fields.Add("Host", ToString(to));
  }
  const bool bodiless = body.empty() && head.m_method != "POST";
  head.m_framing =
      bodiless ? http::BodyFraming::kNone : http::BodyFraming::kLength;
  head.m_length = body.size();

  std::unique_ptr<Connection> connection;
  auto& idle = m_idle[to];
  while (connection == nullptr && !idle.empty()) {
    if (idle.back()->IsReusable()) {
      connection = std::move(idle.back());
    }
    idle.pop_back();
  }
  if (connection == nullptr) {
    connection = std::make_unique<Connection>(this, to);
  }
  Connection* const started_connection = connection.get();
  m_busy.emplace(started_connection, std::move(connection));
  started_connection->Start(http::Serialize(head) + body,
                            head.m_method == "HEAD", timeout, std::move(done));
}

std::size_t HttpClient::OpenConnections() const {
  std::size_t count = m_busy.size();
  for (const auto& [endpoint, connections] : m_idle) {
    count += connections.size();
  }
  return count;
}

void HttpClient::ReleaseConnection(Connection* connection, bool reusable) {
  const auto found = m_busy.find(connection);
  std::unique_ptr<Connection> owned = std::move(found->second);
  m_busy.erase(found);
  if (reusable) {
    m_idle[owned->to()].push_back(std::move(owned));
    return;
  }
  // A member function of the connection is still on the stack, so it is
  // destroyed from the event loop.
  QTimer::singleShot(0, [kept = std::shared_ptr<Connection>(
                             std::move(owned))]() mutable { kept.reset(); });
}

}  // namespace guavacross::load
