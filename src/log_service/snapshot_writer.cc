#include "log_service/snapshot_writer.h"

#include <algorithm>
#include <utility>

#include "util/handle.h"
#include "util/log.h"

namespace guavacross::log_service {

namespace {

/// A snapshot is renewed after this fraction of the retention (a quarter), so
/// that several writers in a row can fail before it expires.
constexpr int kRenewalsPerRetention = 4;
constexpr int kChecksPerRetention = 40;
constexpr Duration kMaxCheckInterval = std::chrono::seconds(30);
constexpr Duration kMaxRandomDelay = std::chrono::seconds(20);
/// Up to this age, a snapshot whose last part is missing is assumed to be still
/// in the process of being written.
constexpr Duration kMaxWriteTime = std::chrono::seconds(30);
constexpr int kMaxFailedAppends = 20;
constexpr std::uint64_t kOffsetBeyondEnd = std::uint64_t{1} << 52;

Duration AgeOf(std::uint64_t written_at_ms, std::uint64_t now_ms) {
  return std::chrono::milliseconds(
      now_ms > written_at_ms ? now_ms - written_at_ms : 0);
}

}  // namespace

bool SnapshotDue(const SnapshotInfo& newest,
                 std::uint64_t as_of,
                 std::uint64_t first_kept,
                 const SnapshotWriterOptions& options) {
  if (as_of == 0 || as_of < newest.m_as_of) {
    return false;
  }
  return newest.m_as_of == 0 || newest.m_as_of < first_kept ||
         as_of - newest.m_as_of >= options.m_max_records_since ||
         newest.m_age >= options.m_retention / kRenewalsPerRetention;
}

SnapshotWriter::SnapshotWriter(SnapshotWriterOptions options,
                               LogAccess access,
                               Clock clock,
                               util::Metrics& metrics,
                               StateHook state)
    : m_options(options),
      m_access(std::move(access)),
      m_clock(std::move(clock)),
      m_get_state(std::move(state)),
      m_written(metrics.Counter("guavacross_config_snapshots_written_total",
                                "Snapshots that this instance appended")),
      m_skipped(metrics.Counter("guavacross_config_snapshots_skipped_total",
                                "Snapshots not appended because another "
                                "instance had written or was writing one")),
      m_backoff(std::chrono::milliseconds(100),
                std::chrono::seconds(5),
                options.m_seed) {
  ScheduleCheck();
}

// Wraps a callback of the log service, which may be called after this object is
// destroyed.
template <class Call>
auto SnapshotWriter::WrapCallback(Call call) {
  return [alive = std::weak_ptr<char>(m_alive),
          call = std::move(call)](const auto& argument) {
    if (!alive.expired()) {
      call(argument);
    }
  };
}

std::uint64_t SnapshotWriter::WallClockMs() const {
  const auto now = m_clock.m_wall_now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void SnapshotWriter::UpdateNewestSnapshot(std::uint64_t as_of,
                                          std::uint64_t written_at_ms) {
  const bool newer =
      as_of > m_newest_as_of ||
      (as_of == m_newest_as_of && written_at_ms > m_newest_written_at_ms);
  if (newer) {
    m_newest_as_of = as_of;
    m_newest_written_at_ms = written_at_ms;
    m_newest_seen_at = m_clock.m_now();
  }
}

void SnapshotWriter::ScheduleCheck() {
  const Duration interval =
      std::min(m_options.m_retention / kChecksPerRetention, kMaxCheckInterval);
  m_timer = m_clock.m_call_after(interval, [this] { Check(); });
}

void SnapshotWriter::Check() {
  if (!IsDue()) {
    ScheduleCheck();
    return;
  }
  const Duration longest =
      std::min(m_options.m_retention / kChecksPerRetention, kMaxRandomDelay);
  m_timer = m_clock.m_call_after(m_backoff.Between(Duration::zero(), longest),
                                 [this] { ReadStreamEnd(); });
}

bool SnapshotWriter::IsDue() const {
  const ConfigSnapshot* const state = m_get_state();
  const Duration age = std::max(AgeOf(m_newest_written_at_ms, WallClockMs()),
                                m_clock.m_now() - m_newest_seen_at);
  return state != nullptr &&
         SnapshotDue({.m_as_of = m_newest_as_of, .m_age = age}, state->m_as_of,
                     m_first_kept, m_options);
}

void SnapshotWriter::ReadStreamEnd() {
  m_access.m_read(kSnapshotStream, kOffsetBeyondEnd, Duration::zero(),
                  WrapCallback([this](const Result<LogBatch>& batch) {
                    if (!batch) {
                      ScheduleCheck();
                    } else if (batch->m_end == batch->m_first_kept) {
                      Write();
                    } else {
                      ReadLastRecord(batch->m_end);
                    }
                  }));
}

void SnapshotWriter::ReadLastRecord(std::uint64_t end) {
  m_access.m_read(kSnapshotStream, end - 1, Duration::zero(),
                  WrapCallback([this](const Result<LogBatch>& batch) {
                    if (!batch) {
                      ScheduleCheck();
                    } else {
                      HandleLastRecord(batch.value());
                    }
                  }));
}

void SnapshotWriter::HandleLastRecord(const LogBatch& batch) {
  for (const LogRecord& record : batch.m_records) {
    const auto part = util::Catch([&] { return DecodePart(record.m_data); });
    if (!part) {
      continue;
    }
    const bool is_last = part.m_value->m_index + 1 == part.m_value->m_count;
    if (is_last) {
      UpdateNewestSnapshot(part.m_value->m_as_of,
                           part.m_value->m_written_at_ms);
    } else if (AgeOf(part.m_value->m_written_at_ms, WallClockMs()) <
               kMaxWriteTime) {
      m_skipped.Increment();
      ScheduleCheck();
      return;
    }
  }
  if (IsDue()) {
    Write();
  } else {
    m_skipped.Increment();
    ScheduleCheck();
  }
}

void SnapshotWriter::Write() {
  const ConfigSnapshot* const state = m_get_state();
  if (state == nullptr) {
    ScheduleCheck();
    return;
  }
  m_writing_as_of = state->m_as_of;
  m_parts = EncodeParts(*state, WallClockMs());
  m_next_part = 0;
  m_failed_appends = 0;
  AppendNext();
}

void SnapshotWriter::AppendNext() {
  m_access.m_append(kSnapshotStream, m_parts[m_next_part],
                    WrapCallback([this](const AppendResult& result) {
                      HandleAppend(result);
                    }));
}

void SnapshotWriter::HandleAppend(const AppendResult& result) {
  if (result.m_end != AppendEnd::kAppended) {
    // The part may already be in the log; a duplicate is harmless.
    if (++m_failed_appends >= kMaxFailedAppends) {
      m_parts.clear();
      ScheduleCheck();
      return;
    }
    m_timer = m_clock.m_call_after(m_backoff.Next(), [this] { AppendNext(); });
    return;
  }
  m_backoff.Reset();
  if (++m_next_part < m_parts.size()) {
    AppendNext();
    return;
  }
  m_parts.clear();
  m_parts.shrink_to_fit();
  m_written.Increment();
  UpdateNewestSnapshot(m_writing_as_of, WallClockMs());
  ScheduleCheck();
}

}  // namespace guavacross::log_service
