#ifndef GUAVACROSS_LEDGER_LEDGER_METRICS_H_
#define GUAVACROSS_LEDGER_LEDGER_METRICS_H_

#include <cstddef>
#include <cstdint>

#include "guavacross/ledger.h"
#include "util/metrics.h"

namespace guavacross::ledger {

/// Sizes of the ledger's tables.
struct LedgerSizes {
  std::size_t m_remembered = 0;
  std::size_t m_held = 0;
  std::size_t m_answer_bytes = 0;
  std::size_t m_unsettled = 0;
  std::uint64_t m_appends = 0;
};

/// Counts decisions and exports the sizes of the ledger's tables.
class LedgerMetrics {
 public:
  /// If `metrics` is null, nothing is recorded.
  explicit LedgerMetrics(util::Metrics* metrics);

  void CountDecision(const ClaimDecision& decision);
  void Report(const LedgerSizes& sizes);

 private:
  util::Metrics* m_metrics;
  prometheus::Gauge* m_remembered = nullptr;
  prometheus::Gauge* m_held = nullptr;
  prometheus::Gauge* m_answer_bytes = nullptr;
  prometheus::Gauge* m_unsettled = nullptr;
  prometheus::Gauge* m_appends = nullptr;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_LEDGER_METRICS_H_
