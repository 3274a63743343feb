#include "net/http_fetcher.h"

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QUrl>
#include <map>
#include <utility>

namespace guavacross::net {

namespace {

QNetworkRequest MakeRequest(const Endpoint& endpoint, const std::string& path) {
  QNetworkRequest request(
      QUrl(QString::fromStdString("http://" + ToString(endpoint) + path)));
  request.setHeader(QNetworkRequest::ContentTypeHeader,
                    "application/octet-stream");
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  return request;
}

FetchResult ResultOf(QNetworkReply& reply, int times_sent, bool timed_out) {
  FetchResult result{.m_times_sent = times_sent};
  const int status =
      reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  // Qt reports an HTTP status of 400 and above as an error too.
  const auto error = reply.error();
  const bool is_http_error = error >= QNetworkReply::ContentAccessDenied;
  if (error == QNetworkReply::NoError || (status != 0 && is_http_error)) {
    result.m_status = status;
    result.m_body = reply.readAll().toStdString();
    for (const auto& [name, value] : reply.rawHeaderPairs()) {
      result.m_headers.emplace_back(name.toStdString(), value.toStdString());
    }
    return result;
  }
  result.m_error =
      timed_out ? "no answer in time" : reply.errorString().toStdString();
  result.m_connect_failed = error == QNetworkReply::ConnectionRefusedError ||
                            error == QNetworkReply::HostNotFoundError;
  return result;
}

}  // namespace

std::string FetchResult::Header(std::string_view name) const {
  const QByteArrayView wanted(name.data(), static_cast<qsizetype>(name.size()));
  for (const auto& [each, value] : m_headers) {
    if (wanted.compare(QByteArrayView(each), Qt::CaseInsensitive) == 0) {
      return value;
    }
  }
  return {};
}

class HttpFetcher::Impl {
 public:
  explicit Impl(Clock clock) : m_clock(std::move(clock)) {
    m_manager.setProxy(QNetworkProxy(QNetworkProxy::NoProxy));
  }

  ~Impl() {
    for (auto& [reply, pending] : m_pending) {
      reply->disconnect();
      reply->abort();
      delete reply;
    }
  }

  QNetworkAccessManager& manager() { return m_manager; }

  void Track(QNetworkReply* reply, Duration timeout, Done done) {
    Pending& pending = m_pending[reply];
    pending.m_done = std::move(done);
    pending.m_timeout = m_clock.m_call_after(timeout, [this, reply] {
      m_pending[reply].m_timed_out = true;
      reply->abort();
    });
    QObject::connect(reply, &QNetworkReply::requestSent, reply,
                     [this, reply] { ++m_pending[reply].m_times_sent; });
    // A queued connection lets the callback destroy the reply and start another
    // request, even if this one fails immediately.
    QObject::connect(
        reply, &QNetworkReply::finished, reply,
        [this, reply] { Finish(reply); }, Qt::QueuedConnection);
  }

 private:
  struct Pending {
    Done m_done;
    std::unique_ptr<Timer> m_timeout;
    int m_times_sent = 0;
    bool m_timed_out = false;
  };

  void Finish(QNetworkReply* reply) {
    const auto found = m_pending.find(reply);
    if (found == m_pending.end()) {
      return;
    }
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
    const FetchResult result =
        ResultOf(*reply, pending.m_times_sent, pending.m_timed_out);
    reply->deleteLater();
    pending.m_done(result);
  }

  Clock m_clock;
  QNetworkAccessManager m_manager;
  std::map<QNetworkReply*, Pending> m_pending;
};

HttpFetcher::HttpFetcher(Clock clock)
    : m_impl(std::make_unique<Impl>(std::move(clock))) {}

HttpFetcher::~HttpFetcher() = default;

void HttpFetcher::Get(const Endpoint& endpoint,
                      const std::string& path,
                      Duration timeout,
                      Done done) {
  m_impl->Track(m_impl->manager().get(MakeRequest(endpoint, path)), timeout,
                std::move(done));
}

void HttpFetcher::Post(const Endpoint& endpoint,
                       const std::string& path,
                       const std::string& body,
                       Duration timeout,
                       Done done) {
  const QByteArray bytes(body.data(), static_cast<qsizetype>(body.size()));
  m_impl->Track(m_impl->manager().post(MakeRequest(endpoint, path), bytes),
                timeout, std::move(done));
}

}  // namespace guavacross::net
