#ifndef GUAVACROSS_LOG_SERVICE_CONFIG_READER_H_
#define GUAVACROSS_LOG_SERVICE_CONFIG_READER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/config_state.h"
#include "guavacross/log_service.h"
#include "guavacross/time.h"
#include "log_service/config_follower.h"
#include "log_service/snapshot_writer.h"
#include "util/metrics.h"

namespace guavacross::log_service {

struct ConfigReaderOptions {
  FollowerOptions m_follower;
  SnapshotWriterOptions m_snapshots;
  /// How long records may be missing, with no snapshot that contains them,
  /// before this instance appends its sections in force as a snapshot. Must be
  /// longer than an instance with a complete state takes to append one.
  Duration m_recovery_delay = std::chrono::minutes(2);
  /// The minimum time between two rebuilds caused by differing digests.
  Duration m_rebuild_interval = std::chrono::seconds(30);
};

struct ConfigReaderHooks {
  /// Called for each section whose version in force rose.
  ConfigInForce::ChangeHook m_on_change;
  /// Receives sections whose version rose by a record read after the instance
  /// had caught up, which peers may not have yet. Not called while the initial
  /// state is loaded.
  std::function<void(const std::vector<SectionState>&)> m_on_new_versions;
  /// Called once, when the instance first holds a configuration.
  std::function<void()> m_on_ready;
};

/// The digest of a fold's state as of an offset.
struct FoldDigest {
  std::uint64_t m_as_of = 0;
  std::uint64_t m_digest = 0;

  bool operator==(const FoldDigest&) const = default;
};

/// An instance's configuration: follows the log, merges sections from peers,
/// and holds the sections in force.
///
/// Construct it, call `Start`, and apply the changes reported by `m_on_change`.
/// Pass sections from peers to `MergeFromPeers`; while the log service is down,
/// an instance can start only this way. Send `fold_digest()` to peers and pass
/// theirs to `ComparePeerDigest`. Not thread safe: to be used on one thread.
///
/// If records expire that no instance has applied, for example because all
/// instances are replaced during a long outage of the log service, only the
/// sections in force are known. After `m_recovery_delay` they are appended as a
/// snapshot as of the first record that is kept, and every instance continues
/// from it. Versions don't go back, since they are offsets.
class ConfigReader {
 public:
  ConfigReader(ConfigReaderOptions options,
               LogAccess access,
               Clock clock,
               util::Metrics& metrics,
               ConfigReaderHooks hooks);
  ~ConfigReader();

  void Start();

  /// Whether the instance holds a configuration: it has read the log to its end
  /// once, or has the sections of a peer, see `MergeFromPeers` and
  /// `HandlePeerInForceDigest`.
  bool ready() const { return m_ready; }

  /// Takes the sections that are newer than those in force. `complete` tells
  /// whether `sections` are all sections of a peer that is ready.
  void MergeFromPeers(const std::vector<SectionState>& sections, bool complete);

  /// Handles the digest of the sections that a live peer has in force. While
  /// the log can't be read, an instance with sections from peers becomes ready
  /// once its own digest equals that of one of them.
  void HandlePeerInForceDigest(std::uint64_t digest);

  const ConfigInForce& in_force() const { return m_in_force; }
  const ConfigFold& fold() const { return m_follower.fold(); }
  const FollowerStatus& log_status() const { return m_follower.status(); }

  /// The time since a section's version rose on this instance.
  Duration AgeOf(const std::string& section) const;

  /// The most recent refused edits, up to 20, newest first.
  std::vector<EditVerdict> RefusedEdits() const;

  FoldDigest fold_digest() const;

  /// Compares a peer's digest with this instance's digest as of the same
  /// offset, if that is among the recent ones. Different digests mean that one
  /// of the two states is wrong: counts the mismatch and rebuilds the state,
  /// but not more often than `m_rebuild_interval`.
  ///
  /// @return false if they differ.
  bool ComparePeerDigest(const FoldDigest& peer);

 private:
  void MergeFromLog(const std::vector<SectionState>& sections);
  void HandleVerdict(const EditVerdict& verdict);
  void HandleProgress();
  void RememberDigest();
  const ConfigSnapshot* SnapshotToWrite();
  void BecomeReady();
  void HandleChange(const SectionState& section);

  ConfigReaderOptions m_options;
  Clock m_clock;
  ConfigReaderHooks m_hooks;
  prometheus::Gauge& m_version;
  prometheus::Gauge& m_sections;
  prometheus::Gauge& m_lag;
  prometheus::Gauge& m_log_reachable;
  prometheus::Gauge& m_rebuilds;
  prometheus::Counter& m_accepted;
  prometheus::Counter& m_refused;
  prometheus::Counter& m_mismatches;
  ConfigInForce m_in_force;
  ConfigFollower m_follower;
  SnapshotWriter m_writer;
  std::map<std::string, TimePoint> m_changed_at;
  std::deque<FoldDigest> m_recent_digests;
  TimePoint m_last_rebuild;
  /// The time at which records were first found missing.
  std::optional<TimePoint> m_records_lost_at;
  ConfigSnapshot m_recovery_snapshot;
  bool m_merging_from_log = false;
  /// Sections whose version rose during the current merge from the log.
  std::vector<SectionState> m_raised_sections;
  bool m_ready = false;
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_CONFIG_READER_H_
