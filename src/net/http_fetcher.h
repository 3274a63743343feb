#ifndef GUAVACROSS_NET_HTTP_FETCHER_H_
#define GUAVACROSS_NET_HTTP_FETCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/time.h"

namespace guavacross::net {

/// Result of an HTTP request.
struct FetchResult {
  /// HTTP status of the response; 0 if there was no complete response.
  int m_status = 0;
  std::string m_body;
  /// Names, as received, and values of the response's header fields.
  std::vector<std::pair<std::string, std::string>> m_headers;
  /// Why there was no complete response.
  std::string m_error;
  /// Whether connecting to the server failed.
  bool m_connect_failed = false;
  /// How often the request was written to a connection. Qt resends a request,
  /// even a POST, if the connection closes before the response arrives.
  int m_times_sent = 0;

  /// The value of a header field, by its name in any case; empty if missing.
  std::string Header(std::string_view name) const;

  bool operator==(const FetchResult&) const = default;
};

/// HTTP client for small requests to the platform and to operators' pages,
/// based on QNetworkAccessManager.
///
/// Not for requests to backend servers, because Qt may send a request twice:
/// see `FetchResult::m_times_sent`. Use one object per kind of traffic, because
/// each opens at most six connections to an address. Use it on one thread,
/// which needs an event loop.
class HttpFetcher {
 public:
  using Done = std::function<void(const FetchResult&)>;

  explicit HttpFetcher(Clock clock);
  /// Aborts pending requests without calling their `done`.
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher&) = delete;
  HttpFetcher& operator=(const HttpFetcher&) = delete;

  /// `path` includes the query. `done` is called once, after this function has
  /// returned and no later than after `timeout`.
  void Get(const Endpoint& endpoint,
           const std::string& path,
           Duration timeout,
           Done done);
  void Post(const Endpoint& endpoint,
            const std::string& path,
            const std::string& body,
            Duration timeout,
            Done done);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::net

#endif  // GUAVACROSS_NET_HTTP_FETCHER_H_
