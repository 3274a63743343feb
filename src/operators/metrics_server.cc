#include "operators/metrics_server.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponse>
#include <utility>

namespace guavacross::operators {

class MetricsServer::Impl {
 public:
  Impl(std::function<std::string()> metrics,
       std::function<std::string()> status) {
    m_server.route("/metrics", [metrics = std::move(metrics)] {
      return QHttpServerResponse("text/plain; version=0.0.4",
                                 QByteArray::fromStdString(metrics()));
    });
    m_server.route("/status.json", [status = std::move(status)] {
      return QHttpServerResponse("application/json",
                                 QByteArray::fromStdString(status()));
    });
  }

  bool Start(const Endpoint& endpoint) {
    return m_server.listen(QHostAddress(QString::fromStdString(endpoint.m_ip)),
                           endpoint.m_port) != 0;
  }

 private:
  QHttpServer m_server;
};

MetricsServer::MetricsServer(std::function<std::string()> metrics,
                             std::function<std::string()> status)
    : m_impl(std::make_unique<Impl>(std::move(metrics), std::move(status))) {}

MetricsServer::~MetricsServer() = default;

bool MetricsServer::Start(const Endpoint& endpoint) {
  return m_impl->Start(endpoint);
}

}  // namespace guavacross::operators
