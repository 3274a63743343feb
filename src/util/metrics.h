#ifndef GUAVACROSS_UTIL_METRICS_H_
#define GUAVACROSS_UTIL_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace prometheus {
class Registry;
}

namespace guavacross::util {

/// Snapshot of a histogram.
struct HistogramValue {
  std::string m_name;
  std::map<std::string, std::string> m_labels;
  std::uint64_t m_count = 0;
  double m_sum = 0;
  /// Upper bounds in ascending order, each with the number of values up to it;
  /// the last bound is infinite.
  std::vector<std::pair<double, std::uint64_t>> m_buckets;

  bool operator==(const HistogramValue&) const = default;
};

/// The quantile `q`, 0 to 1, by linear interpolation within a bucket; 0 for an
/// empty histogram. Values above the last finite bound count as that bound.
double Quantile(const HistogramValue& histogram, double q);

/// The metrics of one instance, stored by prometheus-cpp.
///
/// Each function finds or creates the time series with the given name and
/// labels. A returned reference is valid for the lifetime of the `Metrics`, so
/// hot paths should look up a series once and keep the reference. Names start
/// with `guavacross_` and end with the unit. Thread safe.
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

  /// All time series in Prometheus' text format.
  std::string Text() const;

  /// All histograms, sorted by name and labels.
  std::vector<HistogramValue> Histograms() const;

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
};

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_METRICS_H_
