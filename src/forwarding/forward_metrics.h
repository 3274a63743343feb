#ifndef GUAVACROSS_FORWARDING_FORWARD_METRICS_H_
#define GUAVACROSS_FORWARDING_FORWARD_METRICS_H_

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "guavacross/error.h"
#include "guavacross/outcome.h"
#include "guavacross/time.h"
#include "util/metrics.h"

namespace guavacross::forwarding {

/// The metrics of one service, class and tenant.
struct ClassSeries {
  prometheus::Histogram* m_total_seconds = nullptr;
  prometheus::Histogram* m_added_seconds = nullptr;
  /// Indexed by `Outcome`.
  std::array<prometheus::Counter*, 3> m_requests{};
};

/// One worker's metrics of callers' requests. Each metric is looked up once and
/// cached. Not thread safe.
class ForwardMetrics {
 public:
  /// `metrics` must outlive this.
  explicit ForwardMetrics(util::Metrics* metrics) : m_metrics(metrics) {}

  /// `tenant` must come from a bounded set, since each value adds time
  /// series.
  ClassSeries& Series(const std::string& service,
                      const std::string& class_name,
                      const std::string& tenant);

  /// Counts an attempt by its service, its target's zone and how it ended.
  void CountAttempt(const std::string& service,
                    const std::string& zone,
                    std::string_view end);

  /// Counts a request that is passed on to a peer, by its service. `way` is
  /// `passed-on` at the sender and `taken-over` at the peer; `end` says how the
  /// sender's attempt ended, or whether the peer accepted it.
  void CountRelay(const std::string& service,
                  std::string_view way,
                  std::string_view end);

  /// Counts a request that is forwarded before the one ahead of it on its
  /// connection has been answered, by its service.
  void CountPipelined(const std::string& service);

  /// Counts an answer that guavacross made itself, by reason.
  void CountOwnAnswer(ErrorKind kind);

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  util::Metrics* m_metrics;
  std::map<Key, ClassSeries> m_series;
  std::map<Key, prometheus::Counter*> m_attempts;
  std::map<Key, prometheus::Counter*> m_relays;
  std::map<std::string, prometheus::Counter*> m_pipelined;
  std::map<ErrorKind, prometheus::Counter*> m_own_answers;
};

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_FORWARD_METRICS_H_
