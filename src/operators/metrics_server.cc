#include "operators/metrics_server.h"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponse>
#include <utility>

namespace guavacross::operators {

class MetricsServer::Impl {
 public:
  explicit Impl(std::function<std::string()> text) : m_text(std::move(text)) {
    m_server.route("/metrics", [this] {
      return QHttpServerResponse("text/plain; version=0.0.4",
                                 QByteArray::fromStdString(m_text()));
    });
  }

  bool Start(const Endpoint& endpoint) {
    return m_server.listen(QHostAddress(QString::fromStdString(endpoint.m_ip)),
                           endpoint.m_port) != 0;
  }

 private:
  std::function<std::string()> m_text;
  QHttpServer m_server;
};

MetricsServer::MetricsServer(std::function<std::string()> text)
    : m_impl(std::make_unique<Impl>(std::move(text))) {}

MetricsServer::~MetricsServer() = default;

bool MetricsServer::Start(const Endpoint& endpoint) {
  return m_impl->Start(endpoint);
}

}  // namespace guavacross::operators
