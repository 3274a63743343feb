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
  /// How long records may be missing, with no snapshot that holds them, until
  /// this instance appends what it has in force as a snapshot. Longer than an
  /// instance with a complete state takes to append one.
  Duration m_bridge_after = std::chrono::minutes(2);
  /// Shortest time between two rebuilds for a digest that differs.
  Duration m_rebuild_interval = std::chrono::seconds(30);
};

struct ConfigReaderHooks {
  /// A section whose version in force rose.
  ConfigInForce::ChangeHook m_on_change;
  /// Sections whose version rose by a record read after the instance had caught
  /// up: news that peers may not have yet. Loading a state tells nothing here.
  std::function<void(const std::vector<SectionState>&)> m_on_news;
  /// The instance holds a configuration for the first time.
  std::function<void()> m_on_ready;
};

/// A fold's digest as of an offset.
struct FoldDigest {
  std::uint64_t m_as_of = 0;
  std::uint64_t m_digest = 0;

  bool operator==(const FoldDigest&) const = default;
};

/// An instance's configuration: follows the log, takes what peers pass on, and
/// holds what is in force.
///
/// Make one, call `Start`, apply what `m_on_change` tells. Give sections that
/// peers pass on to `MergeFromPeers`; with the store down that is how an
/// instance starts. Send `fold_digest()` to peers and give theirs to
/// `ComparePeerDigest`. Used on one thread.
///
/// If records expire that no instance has folded, for example when all
/// instances are replaced during a long outage of the store, the sections in
/// force are all that is known. After `m_bridge_after` they are appended as a
/// snapshot as of the first record that is kept, from which every instance
/// folds on. Versions don't go back, since they are offsets.
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
  /// once, or a peer that holds one has passed its sections on.
  bool ready() const { return m_ready; }

  /// Takes the sections that are newer than those in force. `complete` says
  /// that these are all sections of a peer that is ready.
  void MergeFromPeers(const std::vector<SectionState>& sections, bool complete);

  /// Takes note of the digest of what a live peer has in force. While the log
  /// can't be read, sections from peers make this instance ready once it holds
  /// the same as one of them.
  void NotePeerInForce(std::uint64_t digest);

  const ConfigInForce& in_force() const { return m_in_force; }
  const ConfigFold& fold() const { return m_follower.fold(); }
  const FollowerStatus& log_status() const { return m_follower.status(); }

  /// Time since a section's version rose here.
  Duration AgeOf(const std::string& section) const;

  /// The most recent refused edits, newest first.
  std::vector<EditVerdict> RefusedEdits() const;

  FoldDigest fold_digest() const;

  /// Compares a peer's digest with the one that this instance had as of the
  /// same offset, if it is remembered. If they differ, one of the two folded
  /// wrongly: counts it and builds the state anew.
  ///
  /// @return false if they differ.
  bool ComparePeerDigest(const FoldDigest& peer);

 private:
  void TakeSections(const std::vector<SectionState>& sections);
  void HandleVerdict(const EditVerdict& verdict);
  void HandleProgress();
  void RememberDigest();
  const ConfigSnapshot* StateToWrite();
  void BecomeReady();
  void HandleChange(const SectionState& section);

  ConfigReaderOptions m_options;
  Clock m_clock;
  ConfigReaderHooks m_hooks;
  prometheus::Gauge& m_version;
  prometheus::Gauge& m_sections;
  prometheus::Gauge& m_lag;
  prometheus::Gauge& m_store_answers;
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
  /// Since when records have been missing.
  std::optional<TimePoint> m_records_lost_at;
  ConfigSnapshot m_bridge;
  bool m_taking_log = false;
  /// Sections that rose while the log's are being taken.
  std::vector<SectionState> m_risen;
  bool m_ready = false;
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_CONFIG_READER_H_
