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

constexpr std::string_view kPathStart = "/streams/";
constexpr std::string_view kPathEnd = "/records";
// Maximum number of records in one answer; a reader can request fewer.
constexpr std::uint64_t kMaxRecords = 1000;
// Interval at which waiting readers are checked for timeouts and disconnects.
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

std::uint64_t NumberOr(const std::string& target,
                       std::string_view name,
                       std::uint64_t otherwise) {
  const auto text = http::QueryParameter(target, name);
  std::uint64_t number = otherwise;
  if (text.has_value()) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

// The stream's name in `/streams/NAME/records`, or an empty string.
std::string StreamOf(std::string_view path) {
  if (!path.starts_with(kPathStart) || !path.ends_with(kPathEnd) ||
      path.size() <= kPathStart.size() + kPathEnd.size()) {
    return {};
  }
  path.remove_prefix(kPathStart.size());
  path.remove_suffix(kPathEnd.size());
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
bool UseUp(int* count) {
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
      m_service([this](const Exchanges& exchange) { Handle(exchange); }, this),
      m_tokens(m_faults.m_appends_per_second),
      m_tokens_at(m_clock.m_now()) {
  AnswerWaitingReaders(true);
}

QJsonObject LogService::Faults() {
  return CallOn(this, [this] { return FaultsToJson(m_faults, FaultFields()); });
}

QString LogService::SetFaults(const QJsonObject& json) {
  return CallOn(this, [this, &json] {
    QString refusal = FaultsFromJson(json, FaultFields(), &m_faults);
    ApplyOutage();
    return refusal;
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
                       {"waiting", static_cast<int>(m_waiting.size())},
                       {"ends", ends}};
  });
}

void LogService::ApplyOutage() {
  if (m_faults.m_outage == "refuse") {
    m_service.StopListening();
    m_service.ResetAll();
  } else {
    m_service.ListenAgain();
  }
  if (!m_faults.m_outage.empty()) {
    // Waiting readers are affected by the outage too.
    for (const Reader& reader : std::exchange(m_waiting, {})) {
      Handle(reader.m_exchange);
    }
  }
}

void LogService::Handle(const Exchanges& exchange) {
  if (m_faults.m_delay_ms > 0) {
    QTimer::singleShot(m_faults.m_delay_ms, this,
                       [this, exchange] { HandleNow(exchange); });
  } else {
    HandleNow(exchange);
  }
}

void LogService::HandleNow(const Exchanges& exchange) {
  if (m_faults.m_outage == "reset" || m_faults.m_outage == "refuse") {
    exchange->Reset();
    return;
  }
  if (m_faults.m_outage == "unavailable") {
    AnswerJson(exchange.get(), 503, {{"error", "outage"}});
    return;
  }
  const std::string stream = StreamOf(http::PathOf(exchange->m_head.m_target));
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
                      m_tokens + rate * Seconds(now - m_tokens_at));
  m_tokens_at = now;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void LogService::HandleAppend(const std::string& stream,
                              const Exchanges& exchange) {
  if (!TakeAppendToken()) {
    ++m_rate_limited;
    AnswerJson(exchange.get(), 429, {{"error", "rate limit"}});
    return;
  }
  if (UseUp(&m_faults.m_lose_appends)) {
    ++m_answers_lost;
    exchange->Reset();
    return;
  }
  if (UseUp(&m_faults.m_apply_late)) {
    ++m_answers_lost;
    QTimer::singleShot(
        m_faults.m_late_ms, this,
        [this, stream, data = exchange->m_body] { Append(stream, data); });
    exchange->Reset();
    return;
  }
  const std::uint64_t offset = Append(stream, exchange->m_body);
  if (UseUp(&m_faults.m_lose_answers)) {
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
  Expire(&state);
  AnswerWaitingReaders(false);
  return offset;
}

void LogService::Expire(Stream* stream) {
  const TimePoint now = m_clock.m_now();
  const auto keep_records = static_cast<std::size_t>(m_faults.m_keep_records);
  const auto keep_age = std::chrono::milliseconds(m_faults.m_keep_ms);
  while (!stream->m_records.empty()) {
    const bool too_many =
        keep_records > 0 && stream->m_records.size() > keep_records;
    const bool too_old =
        m_faults.m_keep_ms > 0 &&
        now - stream->m_records.front().m_appended_at > keep_age;
    if (!too_many && !too_old) {
      return;
    }
    stream->m_records.pop_front();
    ++stream->m_first;
  }
}

void LogService::HandleRead(const std::string& stream,
                            const Exchanges& exchange) {
  ++m_reads;
  const std::string& target = exchange->m_head.m_target;
  const auto wait = std::chrono::milliseconds(NumberOr(target, "wait_ms", 0));
  const Reader reader{
      .m_stream = stream,
      .m_from = NumberOr(target, "from", 0),
      .m_max = std::min(NumberOr(target, "max", kMaxRecords), kMaxRecords),
      .m_exchange = exchange,
      .m_until = m_clock.m_now() + wait};
  Stream& state = m_streams[stream];
  Expire(&state);
  if (reader.m_from < state.end() || wait == wait.zero()) {
    AnswerRead(reader);
  } else {
    m_waiting.push_back(reader);
  }
}

void LogService::AnswerRead(const Reader& reader) {
  const Stream& state = m_streams[reader.m_stream];
  const std::uint64_t from = std::max(reader.m_from, state.m_first);
  QJsonArray records;
  for (std::uint64_t offset = from;
       offset < state.end() && offset - from < reader.m_max; ++offset) {
    const std::string& data = state.m_records[offset - state.m_first].m_data;
    records.append(QJsonObject{
        {"offset", static_cast<qint64>(offset)},
        {"data",
         QString::fromLatin1(QByteArray::fromStdString(data).toBase64())}});
  }
  AnswerJson(reader.m_exchange.get(), 200,
             {{"first", static_cast<qint64>(state.m_first)},
              {"end", static_cast<qint64>(state.end())},
              {"records", records}});
}

void LogService::AnswerWaitingReaders(bool sweep) {
  const TimePoint now = m_clock.m_now();
  for (auto reader = m_waiting.begin(); reader != m_waiting.end();) {
    const bool has_record = reader->m_from < m_streams[reader->m_stream].end();
    if (reader->m_exchange->gone()) {
      reader = m_waiting.erase(reader);
    } else if (has_record || now >= reader->m_until) {
      const Reader due = *reader;
      reader = m_waiting.erase(reader);
      AnswerRead(due);
    } else {
      ++reader;
    }
  }
  if (sweep) {
    m_sweep = m_clock.m_call_after(kSweepInterval,
                                   [this] { AnswerWaitingReaders(true); });
  }
}

}  // namespace guavacross::standin
