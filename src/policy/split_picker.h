#ifndef GUAVACROSS_POLICY_SPLIT_PICKER_H_
#define GUAVACROSS_POLICY_SPLIT_PICKER_H_

#include <algorithm>
#include <cstddef>
#include <span>
#include <vector>

namespace guavacross::policy {

/// Divides a sequence of requests by weights, as evenly as whole requests
/// allow: smooth weighted round robin. A random choice would be off by several
/// percent over some hundred requests. Not thread safe.
class SplitPicker {
 public:
  /// The index of the weight that gets the next request; 0 if all weights are
  /// 0. A call with another number of weights restarts the sequence.
  std::size_t Pick(std::span<const int> weights) {
    if (m_credits.size() != weights.size()) {
      m_credits.assign(weights.size(), 0);
    }
    long total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      const int weight = std::max(0, weights[i]);
      total += weight;
      m_credits[i] += weight;
      if (m_credits[i] > m_credits[best]) {
        best = i;
      }
    }
    if (best < m_credits.size()) {
      m_credits[best] -= total;
    }
    return best;
  }

 private:
  std::vector<long> m_credits;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_SPLIT_PICKER_H_
