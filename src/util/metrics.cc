#include "util/metrics.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace guavacross::util {

namespace {

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBoundaries = {
      0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
      0.2,    0.5,    1,      2,     5,     10,    20,   50,   100};
  return kBoundaries;
}

}  // namespace

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

}  // namespace guavacross::util
