#ifndef GUAVACROSS_LOG_SERVICE_SNAPSHOT_WRITER_H_
#define GUAVACROSS_LOG_SERVICE_SNAPSHOT_WRITER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "guavacross/config_state.h"
#include "guavacross/log_service.h"
#include "guavacross/time.h"
#include "log_service/backoff.h"
#include "log_service/snapshot_parts.h"
#include "util/metrics.h"

namespace guavacross::log_service {

struct SnapshotWriterOptions {
  /// How long the log service keeps a record.
  Duration m_retention = std::chrono::hours(1);
  /// The next snapshot is due after this many records since the last one.
  std::uint64_t m_max_records_since = 2000;
  std::uint64_t m_seed = 1;
};

/// The newest known snapshot in the log.
struct SnapshotInfo {
  std::uint64_t m_as_of = 0;
  Duration m_age{};

  bool operator==(const SnapshotInfo&) const = default;
};

/// Whether a snapshot of the state as of `as_of` is due, given that the log
/// keeps records from offset `first_kept` on. Pure.
bool SnapshotDue(const SnapshotInfo& newest,
                 std::uint64_t as_of,
                 std::uint64_t first_kept,
                 const SnapshotWriterOptions& options);

/// Appends snapshots before the records that they replace expire.
///
/// Every instance runs one. When a snapshot is due, the writer waits a random
/// time and then reads the end of the snapshot stream, so that usually only one
/// instance writes. It is harmless if several write, or if a paused instance
/// writes an old state late: readers take the snapshot with the largest as-of
/// offset and join equal parts. Not thread safe: to be used on one thread.
class SnapshotWriter {
 public:
  /// Returns the state to write, or null if there is no complete state.
  using StateHook = std::function<const ConfigSnapshot*()>;

  SnapshotWriter(SnapshotWriterOptions options,
                 LogAccess access,
                 Clock clock,
                 util::Metrics& metrics,
                 StateHook state);
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  /// Reports a snapshot in the log, for example the one that was loaded.
  /// Ignored if a newer one is known. `written_at_ms` is in milliseconds since
  /// 1970.
  void UpdateNewestSnapshot(std::uint64_t as_of, std::uint64_t written_at_ms);

  /// Sets the first offset that the config stream keeps.
  void SetFirstKept(std::uint64_t first_kept) { m_first_kept = first_kept; }

 private:
  void ScheduleCheck();
  void Check();
  bool IsDue() const;
  void ReadStreamEnd();
  void ReadLastRecord(std::uint64_t end);
  void HandleLastRecord(const LogBatch& batch);
  void Write();
  void AppendNext();
  void HandleAppend(const AppendResult& result);
  std::uint64_t WallClockMs() const;
  template <class Call>
  auto WrapCallback(Call call);

  SnapshotWriterOptions m_options;
  LogAccess m_access;
  Clock m_clock;
  StateHook m_get_state;
  prometheus::Counter& m_written;
  prometheus::Counter& m_skipped;
  Backoff m_backoff;
  std::uint64_t m_first_kept = 0;
  std::uint64_t m_newest_as_of = 0;
  std::uint64_t m_newest_written_at_ms = 0;
  /// Gives a minimum age, in case the wall clock of the snapshot's writer is
  /// wrong.
  TimePoint m_newest_seen_at;
  std::vector<std::string> m_parts;
  std::size_t m_next_part = 0;
  std::uint64_t m_writing_as_of = 0;
  int m_failed_appends = 0;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<char> m_alive = std::make_shared<char>();
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_SNAPSHOT_WRITER_H_
