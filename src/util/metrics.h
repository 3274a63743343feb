#ifndef GUAVACROSS_UTIL_METRICS_H_
#define GUAVACROSS_UTIL_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace guavacross::util {

/// One instance's metrics, kept by prometheus-cpp.
///
/// Each function finds or makes the series with the given name and labels. A
/// reference stays valid as long as the `Metrics`, so hot paths look a series
/// up once and keep it. Names start with `guavacross_`, with the unit at the
/// end. Thread safe.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  prometheus::Counter& Counter(const std::string& name,
                               const std::string& help,
                               const Labels& labels = {});
  prometheus::Gauge& Gauge(const std::string& name,
                           const std::string& help,
                           const Labels& labels = {});
  /// A histogram of seconds with buckets from 0.1 ms to 100 s.
  prometheus::Histogram& LatencyHistogram(const std::string& name,
                                          const std::string& help,
                                          const Labels& labels = {});

  /// All series in Prometheus' text format.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
};

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_METRICS_H_
