#include "net/http_fetcher.h"

#include <QObject>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "net/client_connection.h"

namespace guavacross::net {

namespace {

constexpr int kMaxTimesSent = 2;

http::RequestHead MakeHead(const std::string& method,
                           const Endpoint& endpoint,
                           const std::string& path) {
  http::RequestHead head{.m_method = method, .m_target = path};
  head.m_fields.Add("Host", ToString(endpoint));
  return head;
}

// One request and what is known of its response.
struct Call {
  Endpoint m_to;
  std::string m_request;
  std::size_t m_max_body_bytes = 0;
  HttpFetcher::Done m_done;
  std::unique_ptr<Timer> m_timeout;
  // Null while the call waits for a connection.
  ClientConnection* m_connection = nullptr;
  FetchResult m_result;
};

}  // namespace

std::string FetchResult::Header(std::string_view name) const {
  return std::string(m_headers.Find(name).value_or(""));
}

class HttpFetcher::Impl {
 public:
  explicit Impl(Clock clock) : m_clock(std::move(clock)) {}

  void Start(const Endpoint& to,
             std::string request,
             const FetchLimits& limits,
             Done done) {
    auto owned = std::make_unique<Call>();
    Call* const call = owned.get();
    call->m_to = to;
    call->m_request = std::move(request);
    call->m_max_body_bytes = limits.m_max_body_bytes;
    call->m_done = std::move(done);
    call->m_timeout =
        m_clock.m_call_after(limits.m_timeout, [this, call] { TimeOut(call); });
    m_calls.emplace(call, std::move(owned));
    m_servers[to].m_waiting.push_back(call);
    StartWaiting(to);
  }

 private:
  struct Server {
    std::vector<std::unique_ptr<ClientConnection>> m_connections;
    std::deque<Call*> m_waiting;
  };

  void StartWaiting(const Endpoint& to) {
    Server& server = m_servers[to];
    while (!server.m_waiting.empty()) {
      ClientConnection* const connection = TakeConnection(&server, to);
      if (connection == nullptr) {
        return;
      }
      Call* const call = server.m_waiting.front();
      server.m_waiting.pop_front();
      Send(call, connection);
    }
  }

  bool IsInUse(const ClientConnection* connection) const {
    return std::any_of(m_calls.begin(), m_calls.end(),
                       [connection](const auto& entry) {
                         return entry.first->m_connection == connection;
                       });
  }

  // An idle or a new connection; null at the limit of connections.
  ClientConnection* TakeConnection(Server* server, const Endpoint& to) {
    RemoveUnused(server);
    const auto idle =
        std::find_if(server->m_connections.begin(), server->m_connections.end(),
                     [](const auto& each) { return each->IsReusable(); });
    if (idle != server->m_connections.end()) {
      return idle->get();
    }
    if (server->m_connections.size() >= kMaxConnections) {
      return nullptr;
    }
    server->m_connections.push_back(
        std::make_unique<ClientConnection>(&m_sockets, to));
    return server->m_connections.back().get();
  }

  void RemoveUnused(Server* server) {
    for (auto& each : server->m_connections) {
      if (!each->IsReusable() && !IsInUse(each.get())) {
        m_sockets.DeleteLater(std::move(each));
      }
    }
    std::erase(server->m_connections, nullptr);
  }

  void Send(Call* call, ClientConnection* connection) {
    call->m_connection = connection;
    ClientConnection::Hooks hooks;
    hooks.m_on_head = [call](const http::ResponseHead& head) {
      call->m_result.m_status = head.m_status;
      call->m_result.m_headers = head.m_fields;
    };
    hooks.m_on_body = [call](std::string_view bytes) {
      call->m_result.m_body += bytes;
    };
    hooks.m_on_end = [this, call](const std::optional<Error>& error) {
      OnEnd(call, error);
    };
    connection->Send(call->m_request, /*to_head=*/false,
                     {.m_max_body_bytes = call->m_max_body_bytes},
                     std::move(hooks));
  }

  void OnEnd(Call* call, const std::optional<Error>& error) {
    const ClientConnection& connection = *call->m_connection;
    call->m_result.m_times_sent += connection.sent() ? 1 : 0;
    const bool lost_unanswered =
        error.has_value() && connection.sent() && !connection.response_begun();
    if (lost_unanswered && call->m_result.m_times_sent < kMaxTimesSent) {
      SendAgain(call);
      return;
    }
    if (error.has_value()) {
      call->m_result.m_connect_failed =
          error->m_kind == ErrorKind::kConnectFailed;
      SetError(call, error->m_text);
    }
    Finish(call);
  }

  // On a new connection: the server may have closed all idle ones.
  void SendAgain(Call* call) {
    Server& server = m_servers[call->m_to];
    call->m_connection = nullptr;
    RemoveUnused(&server);
    server.m_connections.push_back(
        std::make_unique<ClientConnection>(&m_sockets, call->m_to));
    Send(call, server.m_connections.back().get());
  }

  void TimeOut(Call* call) {
    Server& server = m_servers[call->m_to];
    if (call->m_connection == nullptr) {
      std::erase(server.m_waiting, call);
    } else {
      call->m_result.m_times_sent += call->m_connection->sent() ? 1 : 0;
      const auto used =
          std::find_if(server.m_connections.begin(), server.m_connections.end(),
                       [call](const auto& each) {
                         return each.get() == call->m_connection;
                       });
      (*used)->Close();
      m_sockets.DeleteLater(std::move(*used));
      server.m_connections.erase(used);
    }
    SetError(call, "no answer in time");
    Finish(call);
  }

  static void SetError(Call* call, std::string text) {
    call->m_result.m_status = 0;
    call->m_result.m_body.clear();
    call->m_result.m_headers = {};
    call->m_result.m_error = std::move(text);
  }

  // Reports the result from the event loop, so that `done` may start another
  // request or destroy the fetcher.
  void Finish(Call* call) {
    const auto found = m_calls.find(call);
    std::shared_ptr<Call> ended = std::move(found->second);
    m_calls.erase(found);
    ended->m_timeout.reset();
    QTimer::singleShot(std::chrono::milliseconds(0), &m_context,
                       [ended] { ended->m_done(ended->m_result); });
    StartWaiting(ended->m_to);
  }

  Clock m_clock;
  SocketSet m_sockets;
  std::map<Call*, std::unique_ptr<Call>> m_calls;
  std::map<Endpoint, Server> m_servers;
  // Drops results that are due once it is destroyed.
  QObject m_context;
};

HttpFetcher::HttpFetcher(Clock clock)
    : m_impl(std::make_unique<Impl>(std::move(clock))) {}

HttpFetcher::~HttpFetcher() = default;

void HttpFetcher::Get(const Endpoint& endpoint,
                      const std::string& path,
                      const FetchLimits& limits,
                      Done done) {
  m_impl->Start(endpoint, http::Serialize(MakeHead("GET", endpoint, path)),
                limits, std::move(done));
}

void HttpFetcher::Post(const Endpoint& endpoint,
                       const std::string& path,
                       const std::string& body,
                       const FetchLimits& limits,
                       Done done) {
  http::RequestHead head = MakeHead("POST", endpoint, path);
  head.m_fields.Add("Content-Type", "application/octet-stream");
  head.m_framing = http::BodyFraming::kLength;
  head.m_length = body.size();
  m_impl->Start(endpoint, http::Serialize(head) + body, limits,
                std::move(done));
}

}  // namespace guavacross::net
