#include "log_service/fake_log.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "util/handle.h"

namespace guavacross::log_service {

namespace {

constexpr std::size_t kRecordsPerBatch = 500;

struct StoredRecord {
  LogRecord m_record;
  TimePoint m_appended_at;
};

struct Stream {
  std::uint64_t m_first_kept = 0;
  std::uint64_t m_end = 0;
  std::vector<StoredRecord> m_stored;
};

struct WaitingRead {
  std::string m_client;
  std::string m_stream;
  std::uint64_t m_from = 0;
  TimePoint m_until;
  std::function<void(Result<LogBatch>)> m_done;
};

}  // namespace

struct FakeLog::State : std::enable_shared_from_this<State> {
  Clock m_clock;
  std::map<std::string, Stream> m_streams;
  std::map<std::uint64_t, std::unique_ptr<Timer>> m_timers;
  std::uint64_t m_next_timer = 0;
  std::map<std::uint64_t, WaitingRead> m_waiting;
  std::uint64_t m_next_read = 0;
  std::set<std::string> m_partitioned;
  bool m_outage = false;
  Duration m_latency{};
  Duration m_retention{};
  int m_rate_limit = 0;
  std::int64_t m_current_second = 0;
  int m_appends_in_second = 0;
  int m_lose_count = 0;
  LostAnswer m_lose_how = LostAnswer::kApplied;
  std::vector<std::pair<std::string, std::string>> m_delayed;
  int m_appends = 0;
  int m_reads = 0;

  void CallAfter(Duration delay, std::function<void()> call) {
    const std::uint64_t id = m_next_timer++;
    const std::weak_ptr<State> self = weak_from_this();
    m_timers[id] = m_clock.m_call_after(delay, [self, id, call] {
      // `call` may destroy the timer that is running it, so the timer is kept
      // alive until `call` returns.
      const auto state = self.lock();
      if (state == nullptr) {
        return;
      }
      const auto timer = std::move(state->m_timers[id]);
      state->m_timers.erase(id);
      call();
    });
  }

  bool IsUnreachable(const std::string& client) const {
    return m_outage || m_partitioned.contains(client);
  }

  void RemoveExpired(Stream* stream) const {
    if (m_retention == Duration::zero()) {
      return;
    }
    const TimePoint oldest = m_clock.m_now() - m_retention;
    auto& stored = stream->m_stored;
    const auto first_unexpired = std::find_if(
        stored.begin(), stored.end(), [oldest](const StoredRecord& entry) {
          return entry.m_appended_at >= oldest;
        });
    stream->m_first_kept = first_unexpired == stored.end()
                               ? stream->m_end
                               : first_unexpired->m_record.m_offset;
    stored.erase(stored.begin(), first_unexpired);
  }

  std::uint64_t Store(const std::string& name, const std::string& data) {
    Stream& stream = m_streams[name];
    const std::uint64_t offset = stream.m_end++;
    stream.m_stored.push_back(
        {{.m_offset = offset, .m_data = data}, m_clock.m_now()});
    WakeReads(name);
    return offset;
  }

  LogBatch MakeBatch(const std::string& name, std::uint64_t from) {
    Stream& stream = m_streams[name];
    RemoveExpired(&stream);
    LogBatch batch{.m_first_kept = stream.m_first_kept, .m_end = stream.m_end};
    for (const StoredRecord& entry : stream.m_stored) {
      if (entry.m_record.m_offset >= from &&
          batch.m_records.size() < kRecordsPerBatch) {
        batch.m_records.push_back(entry.m_record);
      }
    }
    return batch;
  }

  void WakeReads(const std::string& stream) {
    std::vector<std::uint64_t> woken;
    for (const auto& [id, read] : m_waiting) {
      if (read.m_stream == stream) {
        woken.push_back(id);
      }
    }
    for (const std::uint64_t id : woken) {
      CallAfter(m_latency, [this, id] { FinishRead(id); });
    }
  }

  void FinishRead(std::uint64_t id) {
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end()) {
      return;
    }
    const WaitingRead read = std::move(found->second);
    m_waiting.erase(found);
    util::Handle(
        [&]() -> Result<void> {
          if (IsUnreachable(read.m_client)) {
            read.m_done(Fail(ErrorKind::kLogUnavailable,
                             "the log service is unavailable"));
          } else {
            read.m_done(MakeBatch(read.m_stream, read.m_from));
          }
          return {};
        },
        [](const Error&) {});
  }

  void Read(WaitingRead read) {
    ++m_reads;
    const std::uint64_t id = m_next_read++;
    const bool answer_now = IsUnreachable(read.m_client) ||
                            read.m_from < m_streams[read.m_stream].m_end;
    const Duration wait = read.m_until - m_clock.m_now();
    m_waiting.emplace(id, std::move(read));
    CallAfter(answer_now ? m_latency : std::max(wait, m_latency),
              [this, id] { FinishRead(id); });
  }

  bool ExceedsRateLimit() {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            m_clock.m_now().time_since_epoch())
                            .count();
    if (second != m_current_second) {
      m_current_second = second;
      m_appends_in_second = 0;
    }
    return m_rate_limit > 0 && ++m_appends_in_second > m_rate_limit;
  }

  AppendResult LoseAnswer(const std::string& stream, const std::string& data) {
    --m_lose_count;
    if (m_lose_how == LostAnswer::kApplied) {
      Store(stream, data);
    } else if (m_lose_how == LostAnswer::kDelayed) {
      m_delayed.emplace_back(stream, data);
    }
    return {.m_end = AppendEnd::kUnclear};
  }

  AppendResult TryAppend(const std::string& client,
                         const std::string& stream,
                         const std::string& data) {
    ++m_appends;
    if (IsUnreachable(client) || ExceedsRateLimit()) {
      return {.m_end = AppendEnd::kRejected};
    }
    if (m_lose_count > 0) {
      return LoseAnswer(stream, data);
    }
    return {.m_end = AppendEnd::kAppended, .m_offset = Store(stream, data)};
  }
};

FakeLog::FakeLog(Clock clock) : m_state(std::make_shared<State>()) {
  m_state->m_clock = std::move(clock);
}

FakeLog::~FakeLog() {
  // No callback may be called any more, even if access objects remain.
  m_state->m_timers.clear();
  m_state->m_waiting.clear();
}

LogAccess FakeLog::access(const std::string& client) {
  const std::weak_ptr<State> weak = m_state;
  LogAccess access;
  access.m_append = [weak, client](const std::string& stream,
                                   const std::string& data,
                                   std::function<void(AppendResult)> done) {
    if (const auto state = weak.lock()) {
      const AppendResult result = state->TryAppend(client, stream, data);
      state->CallAfter(state->m_latency, [done, result] { done(result); });
    }
  };
  access.m_read = [weak, client](const std::string& stream, std::uint64_t from,
                                 Duration wait,
                                 std::function<void(Result<LogBatch>)> done) {
    if (const auto state = weak.lock()) {
      state->Read({.m_client = client,
                   .m_stream = stream,
                   .m_from = from,
                   .m_until = state->m_clock.m_now() + wait,
                   .m_done = std::move(done)});
    }
  };
  return access;
}

std::uint64_t FakeLog::Append(const std::string& stream,
                              const std::string& data) {
  return m_state->Store(stream, data);
}

std::vector<LogRecord> FakeLog::Records(const std::string& stream) const {
  std::vector<LogRecord> records;
  for (const StoredRecord& entry : m_state->m_streams[stream].m_stored) {
    records.push_back(entry.m_record);
  }
  return records;
}

std::uint64_t FakeLog::End(const std::string& stream) const {
  return m_state->m_streams[stream].m_end;
}

std::uint64_t FakeLog::FirstKept(const std::string& stream) const {
  Stream& found = m_state->m_streams[stream];
  m_state->RemoveExpired(&found);
  return found.m_first_kept;
}

void FakeLog::SetOutage(bool on) {
  m_state->m_outage = on;
}

void FakeLog::SetPartitioned(const std::string& client, bool on) {
  if (on) {
    m_state->m_partitioned.insert(client);
  } else {
    m_state->m_partitioned.erase(client);
  }
}

void FakeLog::SetLatency(Duration latency) {
  m_state->m_latency = latency;
}

void FakeLog::SetRateLimit(int appends_per_second) {
  m_state->m_rate_limit = appends_per_second;
}

void FakeLog::LoseAnswers(int count, LostAnswer how) {
  m_state->m_lose_count = count;
  m_state->m_lose_how = how;
}

void FakeLog::DeliverDelayed() {
  const auto delayed = std::move(m_state->m_delayed);
  m_state->m_delayed.clear();
  for (const auto& [stream, data] : delayed) {
    m_state->Store(stream, data);
  }
}

void FakeLog::Expire(const std::string& stream, std::uint64_t first_kept) {
  Stream& found = m_state->m_streams[stream];
  found.m_first_kept =
      std::max(found.m_first_kept, std::min(first_kept, found.m_end));
  std::erase_if(found.m_stored, [&found](const StoredRecord& entry) {
    return entry.m_record.m_offset < found.m_first_kept;
  });
}

void FakeLog::SetRetention(Duration retention) {
  m_state->m_retention = retention;
}

int FakeLog::appends() const {
  return m_state->m_appends;
}

int FakeLog::reads() const {
  return m_state->m_reads;
}

}  // namespace guavacross::log_service
