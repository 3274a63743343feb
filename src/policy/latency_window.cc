#include "policy/latency_window.h"

#include <algorithm>
#include <cmath>

namespace guavacross::policy {

namespace {

constexpr double kSmallestMs = 0.1;
constexpr double kBucketGrowth = 1.15;

std::size_t BucketOf(Duration latency, std::size_t buckets) {
  const double ms = std::max(kSmallestMs, Milliseconds(latency));
  const double index = std::log(ms / kSmallestMs) / std::log(kBucketGrowth);
  return std::min(buckets - 1, static_cast<std::size_t>(index));
}

// The middle of a bucket on the logarithmic scale.
Duration BucketValue(std::size_t bucket) {
  const double ms =
      kSmallestMs * std::pow(kBucketGrowth, static_cast<double>(bucket) + 0.5);
  return FromSeconds(ms / 1000);
}

}  // namespace

void LatencyWindow::Record(Duration latency) {
  m_counts[BucketOf(latency, kBuckets)] += 1;
  m_total += 1;
  ++m_recorded;
  if (m_total >= kHalveAt) {
    m_total = 0;
    for (float& count : m_counts) {
      count /= 2;
      m_total += count;
    }
  }
  if (m_recorded <= kMinSamples || m_recorded % kRefreshEvery == 0) {
    m_median = Percentile(50);
    m_p99 = Percentile(99);
  }
}

Duration LatencyWindow::Percentile(double percentile) const {
  if (m_total <= 0) {
    return Duration::zero();
  }
  const double wanted = m_total * percentile / 100;
  double seen = 0;
  std::size_t last = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (m_counts[bucket] <= 0) {
      continue;
    }
    seen += m_counts[bucket];
    last = bucket;
    if (seen >= wanted) {
      break;
    }
  }
  return BucketValue(last);
}

}  // namespace guavacross::policy
