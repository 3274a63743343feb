#ifndef GUAVACROSS_POLICY_LATENCY_WINDOW_H_
#define GUAVACROSS_POLICY_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>

#include "guavacross/time.h"

namespace guavacross::policy {

/// The recent latencies of one class, as a histogram with logarithmic buckets.
/// All counts are halved when their total reaches a limit, so that old
/// latencies lose weight.
///
/// A percentile is accurate to about 15 %. Not thread safe.
class LatencyWindow {
 public:
  /// Latencies needed before a percentile is meaningful.
  static constexpr int kMinSamples = 20;

  void Record(Duration latency);

  bool is_ready() const { return m_recorded >= kMinSamples; }

  /// The latency that `percentile` (0 to 100) percent of the recent ones don't
  /// exceed; zero if nothing was recorded.
  Duration Percentile(double percentile) const;

  /// The cached 50th percentile, updated every few latencies.
  Duration median() const { return m_median; }
  /// The cached 99th percentile, updated every few latencies.
  Duration p99() const { return m_p99; }

 private:
  // 100 buckets, each 15 % wider than the previous one, cover 0.1 ms to more
  // than 100 s.
  static constexpr std::size_t kBuckets = 100;
  static constexpr int kMaxTotalCount = 1024;
  static constexpr int kSamplesPerRefresh = 16;

  std::array<float, kBuckets> m_counts{};
  float m_total = 0;
  int m_recorded = 0;
  Duration m_median{};
  Duration m_p99{};
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_LATENCY_WINDOW_H_
