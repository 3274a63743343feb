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

/// A histogram's content at one moment.
struct HistogramValue {
  std::string m_name;
  std::map<std::string, std::string> m_labels;
  std::uint64_t m_count = 0;
  double m_sum = 0;
  /// Upper bounds, rising, with the number of values up to each; the last bound
  /// is infinite.
  std::vector<std::pair<double, std::uint64_t>> m_buckets;

  bool operator==(const HistogramValue&) const = default;
};

/// The quantile `q`, 0 to 1, by linear interpolation inside of a bucket; 0 for
/// an empty histogram. Values beyond the last finite bound count as that bound.
double Quantile(const HistogramValue& histogram, double q);

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

  /// All histograms, in the order of their names.
  std::vector<HistogramValue> Histograms() const;

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
};

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_METRICS_H_
