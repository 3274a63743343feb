#ifndef GUAVACROSS_NET_HTTP_FETCHER_H_
#define GUAVACROSS_NET_HTTP_FETCHER_H_

#include <functional>
#include <memory>
#include <string>

#include "guavacross/identity.h"
#include "guavacross/time.h"

namespace guavacross::net {

/// What came of a fetch.
struct FetchResult {
  /// The answer's HTTP status; 0 if there was no complete answer.
  int m_status = 0;
  std::string m_body;
  /// Why there is no complete answer.
  std::string m_error;
  /// Whether no connection could be made.
  bool m_connect_failed = false;
  /// How often the request was written to a connection. Qt sends a request
  /// again, a POST included, if a connection closes before the answer.
  int m_times_sent = 0;

  bool operator==(const FetchResult&) const = default;
};

/// Small HTTP requests to the platform and to operators' pages, through Qt's
/// network access.
///
/// Not for requests to backend servers: see `FetchResult::m_times_sent`. Use
/// one object per kind of traffic, because Qt opens at most six connections to
/// an address for each. Used on one thread, with an event loop.
class HttpFetcher {
 public:
  using Done = std::function<void(const FetchResult&)>;

  explicit HttpFetcher(Clock clock);
  /// Pending fetches end without a call.
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher&) = delete;
  HttpFetcher& operator=(const HttpFetcher&) = delete;

  /// `path` includes the query. `done` is called once, not before the return,
  /// at the latest after `timeout`.
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
