#include "load/http_client.h"

#include <xxhash.h>

#include <QTimer>
#include <optional>
#include <utility>

#include "http/message_reader.h"
#include "net/client_connection.h"

namespace guavacross::load {

namespace {

struct HashStateDeleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

}  // namespace

// One connection, with at most one request in flight.
class HttpClient::Connection {
 public:
  Connection(HttpClient* client, const Endpoint& to)
      : m_client(client),
        m_connection(&client->m_sockets, to),
        m_hash(XXH3_createState()) {
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, [this] {
      m_connection.Close();
      Fail(ErrorKind::kBackendTimeout, "no complete answer in time");
    });
  }

  bool IsReusable() const { return m_connection.IsReusable(); }

  const Endpoint& to() const { return m_connection.to(); }

  void Start(const std::string& bytes,
             bool to_head,
             Duration timeout,
             Done done) {
    m_done = std::move(done);
    m_answer = {};
    XXH3_64bits_reset(m_hash.get());
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(timeout));
    net::ClientConnection::Hooks hooks;
    hooks.m_on_head = [this](const http::ResponseHead& head) {
      m_answer.m_head = head;
    };
    hooks.m_on_body = [this](std::string_view body) { AppendBody(body); };
    hooks.m_on_end = [this](const std::optional<Error>& error) {
      OnEnd(error);
    };
    m_connection.Send(bytes, to_head, {}, std::move(hooks));
  }

 private:
  void AppendBody(std::string_view body) {
    XXH3_64bits_update(m_hash.get(), body.data(), body.size());
    m_answer.m_body_bytes += body.size();
    const std::size_t room =
        m_client->m_kept_body_bytes - m_answer.m_body.size();
    m_answer.m_body.append(body.substr(0, room));
  }

  void OnEnd(const std::optional<Error>& error) {
    if (!error.has_value()) {
      m_answer.m_body_hash = XXH3_64bits_digest(m_hash.get());
      Finish({.m_value = std::move(m_answer)});
      return;
    }
    const bool lost = error->m_kind == ErrorKind::kConnectFailed ||
                      error->m_kind == ErrorKind::kBackendReset;
    Fail(lost ? error->m_kind : ErrorKind::kBackendBadAnswer, error->m_text);
  }

  void Fail(ErrorKind kind, std::string text) {
    Finish({.m_error = {.m_kind = kind, .m_text = std::move(text)}});
  }

  void Finish(util::Expected<ClientAnswer> result) {
    m_timer.stop();
    const Done done = std::move(m_done);
    m_done = nullptr;
    m_client->ReleaseConnection(this);
    done(std::move(result));
  }

  HttpClient* m_client;
  net::ClientConnection m_connection;
  QTimer m_timer;
  Done m_done;
  ClientAnswer m_answer;
  std::unique_ptr<XXH3_state_t, HashStateDeleter> m_hash;
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

void HttpClient::ReleaseConnection(Connection* connection) {
  const auto found = m_busy.find(connection);
  std::unique_ptr<Connection> owned = std::move(found->second);
  m_busy.erase(found);
  if (owned->IsReusable()) {
    m_idle[owned->to()].push_back(std::move(owned));
  } else {
    // A member function of the connection is still on the stack.
    m_sockets.DeleteLater(std::move(owned));
  }
}

}  // namespace guavacross::load
