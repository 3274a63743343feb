#include "ledger/ledger_bench.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <memory>
#include <string>

#include "ledger/claim_fold.h"
#include "ledger/held_table.h"
#include "ledger/request_ledger.h"
#include "log_service/fake_log.h"
#include "util/hash.h"
#include "util/manual_clock.h"
#include "util/process_usage.h"

namespace guavacross::ledger {

namespace {

using std::chrono::milliseconds;

constexpr int kInstances = 6;
constexpr int kAppendsPerSecond = 300;
constexpr Duration kLogLatency = milliseconds(3);
constexpr Duration kClockStep = milliseconds(1);
constexpr Duration kSettleTime = std::chrono::seconds(3);
constexpr int kStepsPerSecond = 1000;
constexpr int kClaimsPerRecord = 500;

KeyHash KeyOf(int number) {
  const std::string text = std::to_string(number);
  return {.m_high = util::Hash(text, 1), .m_low = util::Hash(text, 2)};
}

// Six ledgers that share one log, on a manual clock.
class Deployment {
 public:
  Deployment() : m_log(m_manual_clock.clock()) {
    m_log.SetLatency(kLogLatency);
    m_log.SetRateLimit(kAppendsPerSecond);
    for (int i = 0; i < kInstances; ++i) {
      AddLedger("entry-" + std::to_string(i));
    }
    m_manual_clock.Advance(kSettleTime);
  }

  // Offers claims at an even rate.
  void Offer(int claims_per_second, int seconds) {
    const int steps = seconds * kStepsPerSecond;
    for (int step = 0; step < steps; ++step) {
      const auto due = static_cast<long long>(step + 1) * claims_per_second /
                       kStepsPerSecond;
      while (m_offered < due) {
        Claim(static_cast<int>(m_offered++));
      }
      m_manual_clock.Advance(kClockStep);
    }
  }

  void Settle() { m_manual_clock.Advance(kSettleTime); }

  int appends() const { return m_log.appends(); }
  const std::vector<double>& grant_ms() const { return m_grant_ms; }
  int refused() const { return m_refused; }

 private:
  void AddLedger(const std::string& name) {
    LedgerOptions options;
    options.m_self = {.m_name = name, .m_incarnation = 1};
    options.m_clock = m_manual_clock.clock();
    LedgerHooks hooks;
    hooks.m_log = m_log.access(name);
    hooks.m_post = [](const std::function<void()>& call) { call(); };
    // Each has five peers, none of which fails in this benchmark.
    hooks.m_members = [] { return std::vector<Member>(kInstances - 1); };
    hooks.m_ask = [](const InstanceId&, const LedgerQuestion&,
                     const std::function<void(LedgerReply)>& reply) {
      reply({.m_status = LedgerReply::Status::kNone});
    };
    m_ledgers.push_back(
        std::make_unique<RequestLedger>(std::move(options), std::move(hooks)));
    m_ledgers.back()->Start();
  }

  void Claim(int number) {
    const RequestKey key{.m_service = "catalog",
                         .m_tenant = "tenant",
                         .m_key = "order-" + std::to_string(number)};
    const TimePoint asked = m_manual_clock.now();
    const LedgerAccess access =
        m_ledgers[static_cast<std::size_t>(number % kInstances)]->access();
    access.m_claim(
        key, 1, [this, key, asked, access](const ClaimDecision& decision) {
          if (decision.m_kind != ClaimDecision::Kind::kRun) {
            ++m_refused;
            return;
          }
          m_grant_ms.push_back(Milliseconds(m_manual_clock.now() - asked));
          access.m_finish(key, {.m_outcome = Outcome::kDone,
                                .m_answer = {.m_status = 201, .m_body = "ok"}});
        });
  }

  util::ManualClock m_manual_clock;
  log_service::FakeLog m_log;
  std::vector<std::unique_ptr<RequestLedger>> m_ledgers;
  long long m_offered = 0;
  std::vector<double> m_grant_ms;
  int m_refused = 0;
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(last * share)];
}

void PrintGroupCommitRow(int rate, int seconds, std::ostream& out) {
  Deployment deployment;
  const int appends_before = deployment.appends();
  const double cpu_seconds_before = util::ProcessorSeconds();
  deployment.Offer(rate, seconds);
  const int appends = deployment.appends() - appends_before;
  deployment.Settle();
  const double cpu_seconds = util::ProcessorSeconds() - cpu_seconds_before;
  const auto granted = static_cast<double>(deployment.grant_ms().size());
  out << std::setw(9) << rate << std::setw(10) << appends / seconds
      << std::setw(10) << granted / seconds << std::setw(9)
      << deployment.refused() << std::setw(10) << granted / std::max(appends, 1)
      << std::setw(9) << Percentile(deployment.grant_ms(), 0.5) << std::setw(9)
      << Percentile(deployment.grant_ms(), 0.99) << std::setw(12)
      << cpu_seconds * 1e6 / std::max(granted, 1.0) << "\n";
}

double BytesOfFold(int keys) {
  const double before = util::PrivateBytes();
  ClaimFold fold;
  const TimePoint now{std::chrono::hours(1)};
  ClaimRecord record{.m_claimant = {.m_name = "entry-1", .m_incarnation = 1}};
  std::uint64_t offset = 0;
  for (int key = 0; key < keys; ++key) {
    record.m_claims.push_back({.m_key = KeyOf(key), .m_fingerprint = 1});
    if (record.m_claims.size() == kClaimsPerRecord || key + 1 == keys) {
      fold.Apply(offset++, record, {.m_now = now, .m_wall_now = WallTime()});
      record.m_claims.clear();
    }
  }
  return (util::PrivateBytes() - before) / keys;
}

double BytesOfHeldTable(int keys) {
  const double before = util::PrivateBytes();
  HeldTable held;
  for (int key = 0; key < keys; ++key) {
    held.Put(KeyOf(key), {.m_fingerprint = 1, .m_attempt = 1});
    held.End(KeyOf(key), {.m_outcome = Outcome::kUnknown});
  }
  return (util::PrivateBytes() - before) / keys;
}

}  // namespace

void RunGroupCommitBench(const std::vector<int>& claims_per_second,
                         int seconds,
                         std::ostream& out) {
  out << std::fixed << std::setprecision(1)
      << "  offered appends/s  granted/s refused claims/ap   p50 ms   p99 ms "
         "cpu us/claim\n";
  for (const int rate : claims_per_second) {
    PrintGroupCommitRow(rate, seconds, out);
  }
}

void RunLedgerMemoryBench(const std::vector<int>& key_counts,
                          std::ostream& out) {
  out << std::fixed << std::setprecision(1)
      << "     keys  fold B/key  held B/key\n";
  for (const int keys : key_counts) {
    out << std::setw(9) << keys << std::setw(12) << BytesOfFold(keys)
        << std::setw(12) << BytesOfHeldTable(keys) << "\n";
  }
}

}  // namespace guavacross::ledger
