#include "util/metrics.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace guavacross::util {

namespace {

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBoundaries = {
      0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
      0.2,    0.5,    1,      2,     5,     10,    20,   50,   100};
  return kBoundaries;
}

HistogramValue MakeHistogramValue(const std::string& name,
                                  const prometheus::ClientMetric& metric) {
  HistogramValue value{.m_name = name,
                       .m_count = metric.histogram.sample_count,
                       .m_sum = metric.histogram.sample_sum};
  for (const auto& label : metric.label) {
    value.m_labels[label.name] = label.value;
  }
  for (const auto& bucket : metric.histogram.bucket) {
    value.m_buckets.emplace_back(bucket.upper_bound, bucket.cumulative_count);
  }
  return value;
}

}  // namespace

double Quantile(const HistogramValue& histogram, double q) {
  const double rank = q * static_cast<double>(histogram.m_count);
  double lower = 0;
  double lower_count = 0;
  for (const auto& [upper, count] : histogram.m_buckets) {
    if (static_cast<double>(count) >= rank && histogram.m_count > 0) {
      const double bucket_count = static_cast<double>(count) - lower_count;
      return std::isinf(upper) || bucket_count <= 0
                 ? lower
                 : lower +
                       (upper - lower) * (rank - lower_count) / bucket_count;
    }
    lower = upper;
    lower_count = static_cast<double>(count);
  }
  return 0;
}

Metrics::Metrics() : m_registry(std::make_shared<prometheus::Registry>()) {}

Metrics::~Metrics() = default;

prometheus::Counter& Metrics::Counter(const std::string& name,
                                      const std::string& help,
                                      const Labels& labels) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(*m_registry)
      .Add(labels);
}

prometheus::Gauge& Metrics::Gauge(const std::string& name,
                                  const std::string& help,
                                  const Labels& labels) {
  return prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(*m_registry)
      .Add(labels);
}

prometheus::Histogram& Metrics::LatencyHistogram(const std::string& name,
                                                 const std::string& help,
                                                 const Labels& labels) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(*m_registry)
      .Add(labels, LatencyBuckets());
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

std::vector<HistogramValue> Metrics::Histograms() const {
  std::vector<HistogramValue> values;
  for (const prometheus::MetricFamily& family : m_registry->Collect()) {
    if (family.type != prometheus::MetricType::Histogram) {
      continue;
    }
    for (const prometheus::ClientMetric& metric : family.metric) {
      values.push_back(MakeHistogramValue(family.name, metric));
    }
  }
  std::sort(values.begin(), values.end(),
            [](const HistogramValue& a, const HistogramValue& b) {
              return std::tie(a.m_name, a.m_labels) <
                     std::tie(b.m_name, b.m_labels);
            });
  return values;
}

}  // namespace guavacross::util
