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
  /// Records after a snapshot that make the next one due.
  std::uint64_t m_max_tail = 2000;
  std::uint64_t m_seed = 1;
};

/// What is known of the newest snapshot in the log.
struct KnownSnapshot {
  std::uint64_t m_as_of = 0;
  Duration m_age{};

  bool operator==(const KnownSnapshot&) const = default;
};

/// Whether a snapshot is due for a state as of `as_of`, when the log still
/// keeps records from `first_kept` on.
bool SnapshotDue(const KnownSnapshot& newest,
                 std::uint64_t as_of,
                 std::uint64_t first_kept,
                 const SnapshotWriterOptions& options);

/// Appends a snapshot before the log forgets what it replaces.
///
/// Every instance runs one. When a snapshot is due, it waits a random time and
/// looks at the log, so that mostly one of them writes; if several do, or one
/// that was paused writes an old state late, no harm is done, because readers
/// take the snapshot with the largest as-of offset and join equal parts. Used
/// on one thread.
class SnapshotWriter {
 public:
  /// The state to write, or null while the log has not been read to its end.
  using StateHook = std::function<const ConfigSnapshot*()>;

  SnapshotWriter(SnapshotWriterOptions options,
                 LogAccess access,
                 Clock clock,
                 util::Metrics& metrics,
                 StateHook state);
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  /// Tells of a snapshot in the log, for example the one that was loaded.
  void NoteSnapshot(std::uint64_t as_of, std::uint64_t written_at_ms);

  /// Tells which offset the config stream starts at.
  void SetFirstKept(std::uint64_t first_kept) { m_first_kept = first_kept; }

 private:
  void CheckLater();
  void Check();
  bool IsDue() const;
  void Look();
  void ReadLast(std::uint64_t end);
  void Judge(const LogBatch& batch);
  void Write();
  void AppendNext();
  void HandleAppend(const AppendResult& result);
  std::uint64_t WallMs() const;
  template <class Call>
  auto Guarded(Call call);

  SnapshotWriterOptions m_options;
  LogAccess m_access;
  Clock m_clock;
  StateHook m_state;
  prometheus::Counter& m_written;
  prometheus::Counter& m_skipped;
  Backoff m_backoff;
  std::uint64_t m_first_kept = 0;
  std::uint64_t m_newest_as_of = 0;
  std::uint64_t m_newest_written_at_ms = 0;
  /// Bounds the age when the writer's wall clock is wrong.
  TimePoint m_newest_seen_at;
  std::vector<std::string> m_parts;
  std::size_t m_next_part = 0;
  std::uint64_t m_writing_as_of = 0;
  int m_attempts = 0;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<char> m_alive = std::make_shared<char>();
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_SNAPSHOT_WRITER_H_
