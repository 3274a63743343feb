#ifndef GUAVACROSS_INSTANCE_LIST_INSTANCE_POLLER_H_
#define GUAVACROSS_INSTANCE_LIST_INSTANCE_POLLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/membership.h"
#include "guavacross/time.h"
#include "net/http_fetcher.h"
#include "util/metrics.h"

namespace guavacross::instance_list {

/// Parses the body of a response of the platform's instance list:
/// `{"instances": [{"name", "region", "zone", "callers", "peers",
/// "leaving"}]}`. Unknown keys are ignored. Errors: `kBadMessage`; one invalid
/// entry makes the whole list invalid, since a list that omits an instance by
/// mistake would remove its peers.
Result<std::vector<ListedInstance>> ParseInstances(const std::string& json);

/// Polls the platform's instance list.
///
/// Polls from construction to destruction. `on_list` is called for each valid
/// list that differs from the last valid one, which stays in use while the list
/// can't be read. The list lags, so it only suggests which instances to
/// contact; an instance that isn't in it must not be considered dead. Use it on
/// one thread with an event loop.
class InstancePoller {
 public:
  using ListHook = std::function<void(const std::vector<ListedInstance>&)>;

  struct Options {
    Endpoint m_endpoint;
    Duration m_interval = std::chrono::milliseconds(500);
    Duration m_timeout = std::chrono::seconds(2);
  };

  InstancePoller(Options options,
                 Clock clock,
                 util::Metrics& metrics,
                 ListHook on_list);

  /// The last valid list; empty before the first.
  const std::vector<ListedInstance>& last() const { return m_last; }
  /// Whether a valid list has been read.
  bool has_list() const { return m_has_list; }

 private:
  void Poll();
  void HandleResult(const net::FetchResult& fetched);

  Options m_options;
  Clock m_clock;
  ListHook m_on_list;
  prometheus::Counter& m_failures;
  prometheus::Gauge& m_listed;
  net::HttpFetcher m_fetcher;
  std::unique_ptr<Timer> m_timer;
  std::vector<ListedInstance> m_last;
  bool m_has_list = false;
  bool m_failing = false;
};

}  // namespace guavacross::instance_list

#endif  // GUAVACROSS_INSTANCE_LIST_INSTANCE_POLLER_H_
