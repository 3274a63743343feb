#include "standin/log_service.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <algorithm>
#include <charconv>
#include <utility>

namespace guavacross::standin {

namespace {

constexpr std::string_view kPathPrefix = "/streams/";
constexpr std::string_view kPathSuffix = "/records";
// Maximum number of records in one answer; a reader can request fewer.
constexpr std::uint64_t kMaxRecords = 1000;
// Interval at which pending reads are checked for timeouts and disconnects.
constexpr Duration kSweepInterval = std::chrono::milliseconds(20);

using Fields = std::vector<FaultField<LogServiceFaults>>;

const Fields& FaultFields() {
  using F = LogServiceFaults;
  static const Fields kFields = {
      {"keep_records", &F::m_keep_records},
      {"keep_ms", &F::m_keep_ms},
      {"appends_per_second", &F::m_appends_per_second},
      {"outage", &F::m_outage},
      {"delay_ms", &F::m_delay_ms},
      {"lose_answers", &F::m_lose_answers},
      {"lose_appends", &F::m_lose_appends},
      {"apply_late", &F::m_apply_late},
      {"late_ms", &F::m_late_ms},
  };
  return kFields;
}

std::uint64_t QueryNumberOr(const std::string& target,
                            std::string_view name,
                            std::uint64_t default_value) {
  const auto text = http::QueryParameter(target, name);
  std::uint64_t number = default_value;
  if (text.has_value()) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

// The stream's name in `/streams/NAME/records`, or an empty string.
std::string ParseStreamName(std::string_view path) {
  if (!path.starts_with(kPathPrefix) || !path.ends_with(kPathSuffix) ||
      path.size() <= kPathPrefix.size() + kPathSuffix.size()) {
    return {};
  }
  path.remove_prefix(kPathPrefix.size());
  path.remove_suffix(kPathSuffix.size());
  return std::string(path);
}

void AnswerJson(Exchange* exchange, int status, const QJsonObject& json) {
  http::ResponseHead head{.m_status = status};
  head.m_fields.Add("Content-Type", "application/json");
  exchange->Answer(
      std::move(head),
      QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString());
}

// Returns whether a counted fault applies to this append, and decrements its
// count; a negative count always applies.
bool ConsumeFault(int* count) {
  if (*count == 0) {
    return false;
  }
  if (*count > 0) {
    --*count;
  }
  return true;
}

}  // namespace

LogService::LogService(std::string name, Clock clock)
    : m_name(std::move(name)),
      m_clock(std::move(clock)),
      m_service([this](const ExchangePointer& exchange) { Handle(exchange); },
                this),
      m_tokens(m_faults.m_appends_per_second),
      m_tokens_updated_at(m_clock.m_now()) {
  AnswerPendingReads(true);
}

QJsonObject LogService::Faults() {
  return CallOn(this, [this] { return FaultsToJson(m_faults, FaultFields()); });
}

QString LogService::SetFaults(const QJsonObject& json) {
  return CallOn(this, [this, &json] {
    QString error_text = FaultsFromJson(json, FaultFields(), &m_faults);
    ApplyOutage();
    return error_text;
  });
}

QJsonObject LogService::Counters() {
  return CallOn(this, [this] {
    QJsonObject ends;
    for (const auto& [stream, state] : m_streams) {
      ends[QString::fromStdString(stream)] = static_cast<qint64>(state.end());
    }
    return QJsonObject{{"appends", static_cast<qint64>(m_appends)},
                       {"rate_limited", static_cast<qint64>(m_rate_limited)},
                       {"reads", static_cast<qint64>(m_reads)},
                       {"answers_lost", static_cast<qint64>(m_answers_lost)},
                       {"waiting", static_cast<int>(m_pending_reads.size())},
                       {"ends", ends}};
  });
}

void LogService::ApplyOutage() {
  if (m_faults.m_outage == "refuse") {
    m_service.StopListening();
    m_service.ResetAll();
  } else {
    m_service.EnsureListening();
  }
  if (!m_faults.m_outage.empty()) {
    // Pending reads are affected by the outage too.
    for (const PendingRead& read : std::exchange(m_pending_reads, {})) {
      Handle(read.m_exchange);
    }
  }
}

void LogService::Handle(const ExchangePointer& exchange) {
  if (m_faults.m_delay_ms > 0) {
    QTimer::singleShot(m_faults.m_delay_ms, this,
                       [this, exchange] { HandleNow(exchange); });
  } else {
    HandleNow(exchange);
  }
}

void LogService::HandleNow(const ExchangePointer& exchange) {
  if (m_faults.m_outage == "reset" || m_faults.m_outage == "refuse") {
    exchange->Reset();
    return;
  }
  if (m_faults.m_outage == "unavailable") {
    AnswerJson(exchange.get(), 503, {{"error", "outage"}});
    return;
  }
  const std::string stream =
      ParseStreamName(http::PathOf(exchange->m_head.m_target));
  if (stream.empty()) {
    AnswerJson(exchange.get(), 404, {{"error", "no such path"}});
  } else if (exchange->m_head.m_method == "POST") {
    HandleAppend(stream, exchange);
  } else {
    HandleRead(stream, exchange);
  }
}

bool LogService::TakeAppendToken() {
  const TimePoint now = m_clock.m_now();
  const double rate = m_faults.m_appends_per_second;
  m_tokens = std::min(std::max(rate, 1.0),
                      m_tokens + rate * Seconds(now - m_tokens_updated_at));
  m_tokens_updated_at = now;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void LogService::HandleAppend(const std::string& stream,
                              const ExchangePointer& exchange) {
  if (!TakeAppendToken()) {
    ++m_rate_limited;
    AnswerJson(exchange.get(), 429, {{"error", "rate limit"}});
    return;
  }
  if (ConsumeFault(&m_faults.m_lose_appends)) {
    ++m_answers_lost;
    exchange->Reset();
    return;
  }
  if (ConsumeFault(&m_faults.m_apply_late)) {
    ++m_answers_lost;
    QTimer::singleShot(
        m_faults.m_late_ms, this,
        [this, stream, data = exchange->m_body] { Append(stream, data); });
    exchange->Reset();
    return;
  }
  const std::uint64_t offset = Append(stream, exchange->m_body);
  if (ConsumeFault(&m_faults.m_lose_answers)) {
    ++m_answers_lost;
    exchange->Reset();
    return;
  }
  AnswerJson(exchange.get(), 201, {{"offset", static_cast<qint64>(offset)}});
}

std::uint64_t LogService::Append(const std::string& stream,
                                 const std::string& data) {
  ++m_appends;
  Stream& state = m_streams[stream];
  state.m_records.push_back({.m_data = data, .m_appended_at = m_clock.m_now()});
  const std::uint64_t offset = state.end() - 1;
  ExpireRecords(&state);
  AnswerPendingReads(false);
  return offset;
}

void LogService::ExpireRecords(Stream* stream) {
  const TimePoint now = m_clock.m_now();
  const auto keep_records = static_cast<std::size_t>(m_faults.m_keep_records);
  const auto max_age = std::chrono::milliseconds(m_faults.m_keep_ms);
  while (!stream->m_records.empty()) {
    const bool too_many =
        keep_records > 0 && stream->m_records.size() > keep_records;
    const bool too_old =
        m_faults.m_keep_ms > 0 &&
        now - stream->m_records.front().m_appended_at > max_age;
    if (!too_many && !too_old) {
      return;
    }
    stream->m_records.pop_front();
    ++stream->m_first_offset;
  }
}

void LogService::HandleRead(const std::string& stream,
                            const ExchangePointer& exchange) {
  ++m_reads;
  const std::string& target = exchange->m_head.m_target;
  const auto wait =
      std::chrono::milliseconds(QueryNumberOr(target, "wait_ms", 0));
  const PendingRead read{
      .m_stream = stream,
      .m_from = QueryNumberOr(target, "from", 0),
      .m_max = std::min(QueryNumberOr(target, "max", kMaxRecords), kMaxRecords),
      .m_exchange = exchange,
      .m_deadline = m_clock.m_now() + wait};
  Stream& state = m_streams[stream];
  ExpireRecords(&state);
  if (read.m_from < state.end() || wait == wait.zero()) {
    AnswerRead(read);
  } else {
    m_pending_reads.push_back(read);
  }
}

void LogService::AnswerRead(const PendingRead& read) {
  const Stream& state = m_streams[read.m_stream];
  const std::uint64_t from = std::max(read.m_from, state.m_first_offset);
  QJsonArray records;
  for (std::uint64_t offset = from;
       offset < state.end() && offset - from < read.m_max; ++offset) {
    const std::string& data =
        state.m_records[offset - state.m_first_offset].m_data;
    records.append(QJsonObject{
        {"offset", static_cast<qint64>(offset)},
        {"data",
         QString::fromLatin1(QByteArray::fromStdString(data).toBase64())}});
  }
  AnswerJson(read.m_exchange.get(), 200,
             {{"first", static_cast<qint64>(state.m_first_offset)},
              {"end", static_cast<qint64>(state.end())},
              {"records", records}});
}

void LogService::AnswerPendingReads(bool sweep) {
  const TimePoint now = m_clock.m_now();
  for (auto read = m_pending_reads.begin(); read != m_pending_reads.end();) {
    const bool has_record = read->m_from < m_streams[read->m_stream].end();
    if (read->m_exchange->disconnected()) {
      read = m_pending_reads.erase(read);
    } else if (has_record || now >= read->m_deadline) {
      const PendingRead due = *read;
      read = m_pending_reads.erase(read);
      AnswerRead(due);
    } else {
      ++read;
    }
  }
  if (sweep) {
    m_sweep = m_clock.m_call_after(kSweepInterval,
                                   [this] { AnswerPendingReads(true); });
  }
}

}  // namespace guavacross::standin
