#include "policy/latency_window.h"

#include <algorithm>
#include <cmath>

namespace guavacross::policy {

namespace {

constexpr double kMinLatencyMs = 0.1;
constexpr double kBucketGrowth = 1.15;

std::size_t BucketOf(Duration latency, std::size_t buckets) {
  const double ms = std::max(kMinLatencyMs, Milliseconds(latency));
  const double index = std::log(ms / kMinLatencyMs) / std::log(kBucketGrowth);
  return std::min(buckets - 1, static_cast<std::size_t>(index));
}

// The middle of a bucket on the logarithmic scale.
Duration BucketValue(std::size_t bucket) {
  const double ms = kMinLatencyMs *
                    std::pow(kBucketGrowth, static_cast<double>(bucket) + 0.5);
  return FromSeconds(ms / 1000);
}

}  // namespace

void LatencyWindow::Record(Duration latency) {
  m_counts[BucketOf(latency, kBuckets)] += 1;
  m_total += 1;
  ++m_recorded;
  if (m_total >= kMaxTotalCount) {
    m_total = 0;
    for (float& count : m_counts) {
      count /= 2;
      m_total += count;
    }
  }
  if (m_recorded <= kMinSamples || m_recorded % kSamplesPerRefresh == 0) {
    m_median = Percentile(50);
    m_p99 = Percentile(99);
  }
}

Duration LatencyWindow::Percentile(double percentile) const {
  if (m_total <= 0) {
    return Duration::zero();
  }
  const double target_count = m_total * percentile / 100;
  double cumulative_count = 0;
  std::size_t last = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (m_counts[bucket] <= 0) {
      continue;
    }
    cumulative_count += m_counts[bucket];
    last = bucket;
    if (cumulative_count >= target_count) {
      break;
    }
  }
  return BucketValue(last);
}

}  // namespace guavacross::policy
