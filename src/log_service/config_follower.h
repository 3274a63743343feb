#ifndef GUAVACROSS_LOG_SERVICE_CONFIG_FOLLOWER_H_
#define GUAVACROSS_LOG_SERVICE_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/config_state.h"
#include "guavacross/log_service.h"
#include "guavacross/time.h"
#include "log_service/backoff.h"
#include "log_service/snapshot_parts.h"

namespace guavacross::log_service {

struct FollowerOptions {
  /// How long the log service may hold a read until the next record arrives.
  Duration m_read_wait = std::chrono::seconds(10);
  Duration m_first_backoff = std::chrono::milliseconds(100);
  Duration m_max_backoff = std::chrono::seconds(2);
  std::uint64_t m_seed = 1;
};

struct FollowerHooks {
  /// Receives the sections that changed, or all sections after the state was
  /// replaced, for example by a snapshot.
  std::function<void(const std::vector<SectionState>&)> m_on_sections;
  /// Receives the verdict on each record that was applied, in order.
  std::function<void(const EditVerdict&)> m_on_verdict;
  /// Called when the log was read to its end, and when a read failed.
  std::function<void()> m_on_progress;
};

/// The progress of a follower.
struct FollowerStatus {
  /// Whether the log has been read to its end at least once.
  bool m_caught_up = false;
  /// Whether the last read succeeded.
  bool m_log_reachable = false;
  /// Whether records expired that are contained neither in the state nor in a
  /// snapshot.
  bool m_records_lost = false;
  /// Whether the log ends before `m_as_of`, which means that the service lost
  /// acknowledged records.
  bool m_log_shrank = false;
  /// The first offset that has not been applied.
  std::uint64_t m_as_of = 0;
  std::uint64_t m_log_end = 0;
  std::uint64_t m_first_kept = 0;
  /// How often the whole state was replaced by a snapshot or in a rebuild.
  int m_rebuilds = 0;

  bool operator==(const FollowerStatus&) const = default;
};

/// Keeps a fold of the config stream up to date: loads the newest snapshot,
/// applies the records after it and waits for more.
///
/// Construct it, call `Start`, and read `fold()` or use the hooks. If the next
/// offset to read has expired, the newest snapshot is loaded again. Except by
/// `Rebuild`, the state never goes back: a snapshot with a smaller as-of offset
/// is ignored. Not thread safe: to be used on one thread.
class ConfigFollower {
 public:
  ConfigFollower(FollowerOptions options,
                 LogAccess access,
                 Clock clock,
                 FollowerHooks hooks);
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  void Start();

  /// Rebuilds the state from the newest snapshot and the records after it.
  /// Keeps the current state if the log no longer holds all of these records.
  void Rebuild();

  /// Calls `done` once a read that was started after this call has reached the
  /// end of the log.
  void CatchUp(std::function<void()> done);

  const ConfigFold& fold() const { return m_fold; }
  const FollowerStatus& status() const { return m_status; }
  /// The time at which the newest loaded snapshot was written, by its writer's
  /// wall clock, in milliseconds since 1970; 0 if none was loaded.
  std::uint64_t snapshot_written_at_ms() const { return m_snapshot_written_at; }
  /// The as-of offset of that snapshot.
  std::uint64_t snapshot_as_of() const { return m_snapshot_as_of; }

 private:
  struct CatchUpWaiter {
    std::uint64_t m_after_read;
    std::function<void()> m_done;
  };

  void Read(const std::string& stream,
            std::uint64_t from,
            Duration wait,
            std::function<void(const LogBatch&)> on_batch);
  void Retry();
  void LoadSnapshot();
  void ReadParts(std::uint64_t from, std::uint64_t first, std::uint64_t end);
  void HandleParts(const LogBatch& batch,
                   std::uint64_t first,
                   std::uint64_t end);
  void FinishSnapshotLoad(std::uint64_t window_begin, std::uint64_t first);
  void ReplaceFold(ConfigFold fold);
  void ReadTail();
  void HandleTail(const LogBatch& batch, std::uint64_t read_number);
  void HandleExpired();
  void UpdateLogRange(const LogBatch& batch);
  void Apply(const LogBatch& batch);
  void NotifyCaughtUp(std::uint64_t read_number);

  FollowerOptions m_options;
  LogAccess m_access;
  Clock m_clock;
  FollowerHooks m_hooks;
  ConfigFold m_fold;
  FollowerStatus m_status;
  Backoff m_backoff;
  SnapshotAssembler m_assembler;
  std::uint64_t m_window_size;
  std::uint64_t m_window_begin = 0;
  bool m_whole_stream_read = false;
  /// Whether the newest snapshot is taken even if it is older than the state.
  bool m_rebuilding = false;
  /// The state before a rebuild, until the rebuild has reached the log's end.
  std::optional<ConfigFold> m_before_rebuild;
  std::uint64_t m_snapshot_written_at = 0;
  std::uint64_t m_snapshot_as_of = 0;
  std::uint64_t m_read_count = 0;
  /// Incremented by `Rebuild`, so that results of earlier reads are discarded.
  std::uint64_t m_generation = 0;
  std::vector<CatchUpWaiter> m_waiters;
  std::unique_ptr<Timer> m_timer;
  /// Expires with the object, since a read may complete after its destruction.
  std::shared_ptr<char> m_alive = std::make_shared<char>();
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_CONFIG_FOLLOWER_H_
