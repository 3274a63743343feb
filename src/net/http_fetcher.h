#ifndef GUAVACROSS_NET_HTTP_FETCHER_H_
#define GUAVACROSS_NET_HTTP_FETCHER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "guavacross/identity.h"
#include "guavacross/time.h"
#include "http/message.h"

namespace guavacross::net {

/// What an HTTP request may take.
struct FetchLimits {
  /// From the call to its result.
  Duration m_timeout{};
  /// Body of the response; a longer one ends the request as failed.
  std::size_t m_max_body_bytes = std::size_t{64} << 10;

  bool operator==(const FetchLimits&) const = default;
};

/// Result of an HTTP request.
struct FetchResult {
  /// HTTP status of the response; 0 if there was no complete response.
  int m_status = 0;
  std::string m_body;
  /// The response's header fields.
  http::Fields m_headers;
  /// Why there was no complete response.
  std::string m_error;
  /// Whether connecting to the server failed.
  bool m_connect_failed = false;
  /// How often the request was written to a connection. A request, also a POST,
  /// is sent once more if its connection ends before any byte of a response.
  int m_times_sent = 0;

  /// The value of a header field, by its name in any case; empty if missing.
  std::string Header(std::string_view name) const;

  bool operator==(const FetchResult&) const = default;
};

/// HTTP client for small requests to the platform and to operators' pages.
///
/// Not for requests to backend servers, because it may send a request twice:
/// see `FetchResult::m_times_sent`. Use one object per kind of traffic, because
/// each opens at most `kMaxConnections` connections to an address. Use it on
/// one thread, which needs an event loop.
class HttpFetcher {
 public:
  using Done = std::function<void(const FetchResult&)>;

  /// Connections to one address; further requests wait for one.
  static constexpr std::size_t kMaxConnections = 6;

  explicit HttpFetcher(Clock clock);
  /// Aborts pending requests without calling their `done`.
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher&) = delete;
  HttpFetcher& operator=(const HttpFetcher&) = delete;

  /// `path` includes the query. `done` is called once, after this function has
  /// returned and no later than after `limits.m_timeout`.
  void Get(const Endpoint& endpoint,
           const std::string& path,
           const FetchLimits& limits,
           Done done);
  void Post(const Endpoint& endpoint,
            const std::string& path,
            const std::string& body,
            const FetchLimits& limits,
            Done done);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::net

#endif  // GUAVACROSS_NET_HTTP_FETCHER_H_
