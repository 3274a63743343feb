#include "operators/operator_server.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponse>
#include <QJsonDocument>
#include <QUrlQuery>
#include <utility>

#include "operators/status_page.h"

namespace guavacross::operators {

namespace {

using Status = QHttpServerResponse::StatusCode;

QHttpServerResponse MakeResponse(const char* type,
                                 const std::string& body,
                                 Status status = Status::Ok) {
  return {type, QByteArray::fromStdString(body), status};
}

QHttpServerResponse MakeJsonResponse(const QJsonObject& json) {
  return MakeResponse("application/json",
                      QJsonDocument(json).toJson().toStdString());
}

std::string QueryValue(const QHttpServerRequest& request, const char* key) {
  return request.query().queryItemValue(key, QUrl::FullyDecoded).toStdString();
}

}  // namespace

class OperatorServer::Impl {
 public:
  explicit Impl(OperatorHooks hooks) : m_hooks(std::move(hooks)) {
    m_server.route("/healthz",
                   [] { return MakeResponse("text/plain", "ok\n"); });
    m_server.route("/readyz", [this] { return MakeReadinessResponse(); });
    m_server.route("/metrics", [this] {
      return MakeResponse("text/plain; version=0.0.4", m_hooks.m_metrics());
    });
    m_server.route("/status", [this](const QHttpServerRequest& request) {
      return MakeResponse(
          "text/html; charset=utf-8",
          StatusPage(m_hooks.m_status(), QueryValue(request, "service")));
    });
    m_server.route("/status.json", [this] {
      return MakeJsonResponse(ToJson(m_hooks.m_status()));
    });
    m_server.route("/sections.json", [this](const QHttpServerRequest& request) {
      return MakeJsonResponse(MakeSectionsJson(QueryValue(request, "section")));
    });
  }

  bool Start(const Endpoint& endpoint) {
    m_endpoint = endpoint;
    m_endpoint.m_port = m_server.listen(
        QHostAddress(QString::fromStdString(endpoint.m_ip)), endpoint.m_port);
    return m_endpoint.m_port != 0;
  }

  const Endpoint& endpoint() const { return m_endpoint; }

 private:
  QJsonObject MakeSectionsJson(const std::string& section) const {
    if (section.empty()) {
      return SectionsToJson(m_hooks.m_status().m_sections);
    }
    const auto row = m_hooks.m_section(section);
    return SectionsToJson(row ? std::vector<SectionRow>{*row}
                              : std::vector<SectionRow>());
  }

  QHttpServerResponse MakeReadinessResponse() const {
    const Readiness readiness = m_hooks.m_readiness();
    if (readiness.m_ready) {
      return MakeResponse("text/plain", "ready\n");
    }
    return MakeResponse("text/plain", readiness.m_reason + "\n",
                        Status::ServiceUnavailable);
  }

  OperatorHooks m_hooks;
  QHttpServer m_server;
  Endpoint m_endpoint;
};

OperatorServer::OperatorServer(OperatorHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(hooks))) {}

OperatorServer::~OperatorServer() = default;

bool OperatorServer::Start(const Endpoint& endpoint) {
  return m_impl->Start(endpoint);
}

Endpoint OperatorServer::endpoint() const {
  return m_impl->endpoint();
}

}  // namespace guavacross::operators
