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

/// Reads the body of an answer of the platform's instance list:
/// `{"instances": [{"name", "region", "zone", "callers", "peers",
/// "leaving"}]}`. Keys that it doesn't know are ignored. Errors:
/// `kBadMessage`; one bad entry makes the whole list bad, for a list that
/// misses an instance by mistake would take its peers away.
Result<std::vector<ListedInstance>> ParseInstances(const std::string& json);

/// Polls the platform's instance list.
///
/// Make one and keep it. `on_list` is called for each good answer that differs
/// from the last good one; while the list can't be read, the last good one
/// stays. The list lags, so it is a hint as to whom to ask and never a reason
/// to take an instance for dead. Used on one thread, with an event loop.
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

  /// The last good list; empty before the first.
  const std::vector<ListedInstance>& last() const { return m_last; }
  /// Whether a good list has been read.
  bool has_list() const { return m_has_list; }

 private:
  void Poll();
  void Take(const net::FetchResult& fetched);

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
