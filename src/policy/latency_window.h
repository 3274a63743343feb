#ifndef GUAVACROSS_POLICY_LATENCY_WINDOW_H_
#define GUAVACROSS_POLICY_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>

#include "guavacross/time.h"

namespace guavacross::policy {

/// The recent latencies of one class, as a histogram of logarithmic buckets
/// whose counts are halved when they grow, so that old latencies fade.
///
/// A percentile is right to about 15 %. Not thread safe.
class LatencyWindow {
 public:
  /// Latencies needed before a percentile means anything.
  static constexpr int kMinSamples = 20;

  void Record(Duration latency);

  bool is_ready() const { return m_recorded >= kMinSamples; }

  /// The latency that `percentile` (0 to 100) percent of the recent ones don't
  /// exceed; zero if nothing was recorded.
  Duration Percentile(double percentile) const;

  /// The 50th percentile as of a few latencies ago, at the cost of a read.
  Duration median() const { return m_median; }
  /// The 99th percentile as of a few latencies ago, at the cost of a read.
  Duration p99() const { return m_p99; }

 private:
  // 100 buckets, each 15 % wider than the one before, reach from 0.1 ms to
  // more than 100 s.
  static constexpr std::size_t kBuckets = 100;
  static constexpr int kHalveAt = 1024;
  static constexpr int kRefreshEvery = 16;

  std::array<float, kBuckets> m_counts{};
  float m_total = 0;
  int m_recorded = 0;
  Duration m_median{};
  Duration m_p99{};
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_LATENCY_WINDOW_H_
