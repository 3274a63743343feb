#include "ledger/ledger_metrics.h"

#include <string>

namespace guavacross::ledger {

namespace {

std::string NameOf(const ClaimDecision& decision) {
  switch (decision.m_kind) {
    case ClaimDecision::Kind::kRun:
      return "run";
    case ClaimDecision::Kind::kReplay:
      return "replay";
    case ClaimDecision::Kind::kRefuse:
      break;
  }
  return std::string(AnswerFor(decision.m_error.m_kind).m_name);
}

}  // namespace

LedgerMetrics::LedgerMetrics(util::Metrics* metrics) : m_metrics(metrics) {
  if (metrics == nullptr) {
    return;
  }
  m_remembered = &metrics->Gauge("guavacross_ledger_remembered_keys",
                                 "Keys remembered from the claim stream");
  m_held =
      &metrics->Gauge("guavacross_ledger_held_keys",
                      "Keys of requests running or ended on this instance");
  m_answer_bytes = &metrics->Gauge("guavacross_ledger_answer_bytes",
                                   "Bytes of recorded answers");
  m_unsettled =
      &metrics->Gauge("guavacross_ledger_unsettled_claims",
                      "Claims not yet read back from the claim stream");
  m_appends = &metrics->Gauge("guavacross_ledger_appends",
                              "Appends to the claim stream since the start");
}

void LedgerMetrics::CountDecision(const ClaimDecision& decision) {
  if (m_metrics != nullptr) {
    m_metrics
        ->Counter("guavacross_ledger_decisions_total",
                  "Decisions about copies of non-repeatable requests",
                  {{"decision", NameOf(decision)}})
        .Increment();
  }
}

void LedgerMetrics::Report(const LedgerSizes& sizes) {
  if (m_metrics == nullptr) {
    return;
  }
  m_remembered->Set(static_cast<double>(sizes.m_remembered));
  m_held->Set(static_cast<double>(sizes.m_held));
  m_answer_bytes->Set(static_cast<double>(sizes.m_answer_bytes));
  m_unsettled->Set(static_cast<double>(sizes.m_unsettled));
  m_appends->Set(static_cast<double>(sizes.m_appends));
}

}  // namespace guavacross::ledger
