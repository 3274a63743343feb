#include "log_service/config_follower.h"

#include <algorithm>
#include <set>

#include "util/log.h"

namespace guavacross::log_service {

namespace {

/// An offset beyond the end of any stream: a read from here without waiting
/// returns the stream's end but no records. JSON numbers may be parsed as
/// doubles, which represent this value exactly.
constexpr std::uint64_t kOffsetBeyondEnd = std::uint64_t{1} << 52;

/// The number of records at the end of the snapshot stream that are read first.
constexpr std::uint64_t kInitialWindowSize = 64;
constexpr std::uint64_t kWindowGrowth = 4;

}  // namespace

ConfigFollower::ConfigFollower(FollowerOptions options,
                               LogAccess access,
                               Clock clock,
                               FollowerHooks hooks)
    : m_options(options),
      m_access(std::move(access)),
      m_clock(std::move(clock)),
      m_hooks(std::move(hooks)),
      m_backoff(options.m_first_backoff, options.m_max_backoff, options.m_seed),
      m_window_size(kInitialWindowSize) {}

void ConfigFollower::Start() {
  LoadSnapshot();
}

void ConfigFollower::Rebuild() {
  m_rebuilding = true;
  if (!m_before_rebuild) {
    m_before_rebuild = m_fold;
  }
  ++m_generation;
  m_window_size = kInitialWindowSize;
  LoadSnapshot();
}

void ConfigFollower::CatchUp(std::function<void()> done) {
  m_waiters.push_back(
      {.m_after_read = m_read_count, .m_done = std::move(done)});
}

void ConfigFollower::Read(const std::string& stream,
                          std::uint64_t from,
                          Duration wait,
                          std::function<void(const LogBatch&)> on_batch) {
  ++m_read_count;
  const std::weak_ptr<char> alive = m_alive;
  m_access.m_read(
      stream, from, wait,
      [this, alive, generation = m_generation,
       on_batch = std::move(on_batch)](const Result<LogBatch>& batch) {
        if (alive.expired() || generation != m_generation) {
          return;
        }
        m_status.m_log_reachable = static_cast<bool>(batch);
        if (!batch) {
          Retry();
          return;
        }
        m_backoff.Reset();
        on_batch(batch.value());
      });
}

void ConfigFollower::Retry() {
  // A loaded state is kept; only the reading of later records is delayed.
  const bool loaded = m_status.m_as_of > 0 && !m_rebuilding;
  m_timer = m_clock.m_call_after(m_backoff.Next(), [this, loaded] {
    if (loaded) {
      ReadTail();
    } else {
      LoadSnapshot();
    }
  });
  if (m_hooks.m_on_progress) {
    m_hooks.m_on_progress();
  }
}

void ConfigFollower::LoadSnapshot() {
  m_assembler = SnapshotAssembler();
  Read(kSnapshotStream, kOffsetBeyondEnd, Duration::zero(),
       [this](const LogBatch& batch) {
         const std::uint64_t first = batch.m_first_kept;
         const std::uint64_t end = batch.m_end;
         m_window_begin = end > first + m_window_size ? end - m_window_size
                                                      : std::min(first, end);
         ReadParts(m_window_begin, first, end);
       });
}

void ConfigFollower::ReadParts(std::uint64_t from,
                               std::uint64_t first,
                               std::uint64_t end) {
  if (from >= end) {
    FinishSnapshotLoad(m_window_begin, first);
    return;
  }
  Read(kSnapshotStream, from, Duration::zero(),
       [this, first, end](const LogBatch& batch) {
         HandleParts(batch, first, end);
       });
}

void ConfigFollower::HandleParts(const LogBatch& batch,
                                 std::uint64_t first,
                                 std::uint64_t end) {
  for (const LogRecord& record : batch.m_records) {
    m_assembler.Add(record.m_data);
  }
  const std::uint64_t next =
      batch.m_records.empty() ? end : batch.m_records.back().m_offset + 1;
  ReadParts(next, first, end);
}

void ConfigFollower::FinishSnapshotLoad(std::uint64_t window_begin,
                                        std::uint64_t first) {
  m_whole_stream_read = window_begin <= first;
  std::optional<ConfigSnapshot> newest = m_assembler.Newest();
  if (!newest && !m_whole_stream_read) {
    m_window_size *= kWindowGrowth;
    LoadSnapshot();
    return;
  }
  if (newest) {
    m_snapshot_written_at = m_assembler.WrittenAtMs(newest->m_as_of);
    m_snapshot_as_of = newest->m_as_of;
  }
  m_assembler = SnapshotAssembler();
  if (m_rebuilding && !newest) {
    ReplaceFold(ConfigFold());
  } else if (newest && (m_rebuilding || newest->m_as_of > m_status.m_as_of)) {
    ReplaceFold(ConfigFold(std::move(*newest)));
  }
  m_rebuilding = false;
  ReadTail();
}

void ConfigFollower::ReplaceFold(ConfigFold fold) {
  m_fold = std::move(fold);
  m_status.m_as_of = m_fold.state().m_as_of;
  ++m_status.m_rebuilds;
  std::vector<SectionState> sections;
  for (const auto& [name, section] : m_fold.state().m_sections) {
    sections.push_back(section);
  }
  if (m_hooks.m_on_sections) {
    m_hooks.m_on_sections(sections);
  }
}

void ConfigFollower::ReadTail() {
  const bool at_end = m_status.m_as_of >= m_status.m_log_end;
  const bool wait = at_end && m_status.m_caught_up && m_waiters.empty();
  const std::uint64_t read_number = m_read_count + 1;
  Read(kConfigStream, m_status.m_as_of,
       wait ? m_options.m_read_wait : Duration::zero(),
       [this, read_number](const LogBatch& batch) {
         HandleTail(batch, read_number);
       });
}

void ConfigFollower::UpdateLogRange(const LogBatch& batch) {
  m_status.m_log_end = batch.m_end;
  m_status.m_first_kept = batch.m_first_kept;
  const bool shrank = batch.m_end < m_status.m_as_of;
  if (shrank && !m_status.m_log_shrank) {
    util::LogWarning("log_service",
                     "config stream ends before the last applied record",
                     {{"as_of", std::to_string(m_status.m_as_of)},
                      {"end", std::to_string(batch.m_end)}});
  }
  m_status.m_log_shrank = shrank;
}

void ConfigFollower::HandleTail(const LogBatch& batch,
                                std::uint64_t read_number) {
  UpdateLogRange(batch);
  if (batch.m_first_kept > m_status.m_as_of) {
    HandleExpired();
    return;
  }
  if (batch.m_records.empty() && m_status.m_as_of < batch.m_end) {
    // The service reports records that it didn't return; retry with backoff.
    Retry();
    return;
  }
  m_status.m_records_lost = false;
  m_window_size = kInitialWindowSize;
  Apply(batch);
  if (m_status.m_as_of >= batch.m_end) {
    NotifyCaughtUp(read_number);
  }
  ReadTail();
}

void ConfigFollower::HandleExpired() {
  if (m_before_rebuild) {
    ReplaceFold(std::move(*m_before_rebuild));
    m_before_rebuild.reset();
    ReadTail();
    return;
  }
  const bool just_loaded = m_snapshot_as_of == m_status.m_as_of;
  if (just_loaded && !m_whole_stream_read) {
    // An old snapshot that was written late may follow a newer one, so read
    // further back.
    m_window_size *= kWindowGrowth;
  }
  if (!m_status.m_records_lost) {
    m_status.m_records_lost = true;
    util::LogWarning("log_service",
                     "config records expired before they were read",
                     {{"as_of", std::to_string(m_status.m_as_of)},
                      {"first_kept", std::to_string(m_status.m_first_kept)}});
    LoadSnapshot();
    return;
  }
  m_timer = m_clock.m_call_after(m_backoff.Next(), [this] { LoadSnapshot(); });
  if (m_hooks.m_on_progress) {
    m_hooks.m_on_progress();
  }
}

void ConfigFollower::Apply(const LogBatch& batch) {
  std::set<std::string> changed;
  for (const LogRecord& record : batch.m_records) {
    if (record.m_offset < m_status.m_as_of) {
      continue;
    }
    const EditVerdict verdict = m_fold.Apply(record.m_offset, record.m_data);
    m_status.m_as_of = m_fold.state().m_as_of;
    if (verdict.m_accepted && verdict.m_offset == record.m_offset) {
      changed.insert(verdict.m_section);
    }
    if (m_hooks.m_on_verdict) {
      m_hooks.m_on_verdict(verdict);
    }
  }
  if (changed.empty() || !m_hooks.m_on_sections) {
    return;
  }
  std::vector<SectionState> sections;
  for (const std::string& name : changed) {
    sections.push_back(m_fold.state().m_sections.at(name));
  }
  m_hooks.m_on_sections(sections);
}

void ConfigFollower::NotifyCaughtUp(std::uint64_t read_number) {
  m_status.m_caught_up = true;
  m_before_rebuild.reset();
  if (m_hooks.m_on_progress) {
    m_hooks.m_on_progress();
  }
  std::vector<CatchUpWaiter> done;
  const auto split =
      std::stable_partition(m_waiters.begin(), m_waiters.end(),
                            [read_number](const CatchUpWaiter& waiter) {
                              return waiter.m_after_read >= read_number;
                            });
  std::move(split, m_waiters.end(), std::back_inserter(done));
  m_waiters.erase(split, m_waiters.end());
  for (const CatchUpWaiter& waiter : done) {
    waiter.m_done();
  }
}

}  // namespace guavacross::log_service
