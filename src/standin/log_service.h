#ifndef GUAVACROSS_STANDIN_LOG_SERVICE_H_
#define GUAVACROSS_STANDIN_LOG_SERVICE_H_

#include <QObject>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "guavacross/time.h"
#include "standin/component.h"
#include "standin/fault_table.h"
#include "standin/http_service.h"

namespace guavacross::standin {

/// Faults that can be injected into the log service, and its limits.
struct LogServiceFaults {
  /// Maximum number of records kept per stream; 0 means no limit.
  int m_keep_records = 0;
  /// Age at which records expire; 0 means never.
  int m_keep_ms = 0;
  /// Rate limit of appends per second over all streams.
  double m_appends_per_second = 300;
  /// Empty, or the kind of outage: `refuse` (connections are refused, open
  /// ones reset), `reset` (each request resets its connection) or
  /// `unavailable` (503).
  std::string m_outage;
  /// Delay before each request is handled.
  int m_delay_ms = 0;
  /// Number of appends that take effect but are answered by a reset.
  int m_lose_answers = 0;
  /// Number of appends that are discarded and answered by a reset.
  int m_lose_appends = 0;
  /// Number of appends that are answered by a reset and take effect after
  /// `m_late_ms`.
  int m_apply_late = 0;
  int m_late_ms = 1000;

  bool operator==(const LogServiceFaults&) const = default;
};

/// In-memory stand-in for the platform's log service.
///
///     POST /streams/STREAM/records                  201 {"offset":N}
///     GET  /streams/STREAM/records?from=&max=&wait_ms=
///          200 {"first":F,"end":E,"records":[{"offset":N,"data":"base64"}]}
///
/// An append over the rate limit is answered with 429 and has no effect. A read
/// waits up to `wait_ms` for the first record; a read from an expired offset
/// starts at the first kept record. The counts `lose_answers`, `lose_appends`
/// and `apply_late` are decremented by each append they affect; -1 affects
/// every append.
class LogService : public QObject, public Component {
 public:
  LogService(std::string name, Clock clock);

  bool Listen(const Endpoint& endpoint) { return m_service.Listen(endpoint); }
  Endpoint endpoint() const { return m_service.endpoint(); }

  std::string name() const override { return m_name; }
  QJsonObject Faults() override;
  QString SetFaults(const QJsonObject& json) override;
  QJsonObject Counters() override;

 private:
  struct Record {
    std::string m_data;
    TimePoint m_appended_at;
  };
  struct Stream {
    std::uint64_t m_first_offset = 0;
    std::deque<Record> m_records;
    std::uint64_t end() const { return m_first_offset + m_records.size(); }
  };
  struct PendingRead {
    std::string m_stream;
    std::uint64_t m_from = 0;
    std::uint64_t m_max = 0;
    std::shared_ptr<Exchange> m_exchange;
    TimePoint m_deadline;
  };
  using ExchangePointer = std::shared_ptr<Exchange>;

  void Handle(const ExchangePointer& exchange);
  void HandleNow(const ExchangePointer& exchange);
  void HandleAppend(const std::string& stream, const ExchangePointer& exchange);
  void HandleRead(const std::string& stream, const ExchangePointer& exchange);
  std::uint64_t Append(const std::string& stream, const std::string& data);
  void ExpireRecords(Stream* stream);
  void AnswerRead(const PendingRead& read);
  void AnswerPendingReads(bool sweep);
  bool TakeAppendToken();
  void ApplyOutage();

  std::string m_name;
  Clock m_clock;
  LogServiceFaults m_faults;
  HttpService m_service;
  std::map<std::string, Stream> m_streams;
  std::list<PendingRead> m_pending_reads;
  double m_tokens = 0;
  TimePoint m_tokens_updated_at;
  std::unique_ptr<Timer> m_sweep;
  std::uint64_t m_appends = 0;
  std::uint64_t m_rate_limited = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_answers_lost = 0;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_LOG_SERVICE_H_
