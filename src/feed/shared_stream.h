#ifndef GUAVACROSS_FEED_SHARED_STREAM_H_
#define GUAVACROSS_FEED_SHARED_STREAM_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "feed/keyed_feed.h"
#include "feed/shared_records.h"
#include "guavacross/time.h"
#include "policy/read_failover.h"

namespace guavacross::feed {

struct SharedStreamOptions {
  std::string m_name;
  /// This instance's name.
  std::string m_self;
  FeedOptions m_feed;
  /// When this instance reads if others don't; see `ReadFailover`. The rank is
  /// ignored.
  policy::ReadFailover m_duty;
  /// The store counts as lost if no instance has read the stream for this long.
  Duration m_lost_after = std::chrono::milliseconds(1500);
  /// How long reads may pause while the store is there: until the last instance
  /// would take over reading.
  Duration m_max_pause = std::chrono::milliseconds(1500);
};

struct SharedStreamHooks {
  StoreCalls m_calls;
  /// Names of the other live instances.
  std::function<std::vector<std::string>()> m_live_peers;
  /// Receives records that are newer than the known ones. `source` is the peer
  /// that sent them; empty for the store.
  std::function<void(const std::vector<KeyedRecord>&,
                     const std::string& source)>
      m_on_records;
  /// Receives a record that can't be read, once for its key until a readable
  /// one follows. May be empty.
  std::function<void(const KeyedRecord&)> m_on_unreadable;
  /// Called when the peers should be notified of a changed state.
  std::function<void()> m_on_state_changed;
  /// Called when no instance has read the stream for `m_lost_after`, with the
  /// reason if known, and when one has read it again.
  std::function<void(bool reachable, const std::string& why)> m_on_reachable;
  /// Called when it is learned that the store is back from an outage or from an
  /// older copy, and since when; with nothing if there was none. May be empty.
  std::function<void(std::optional<TimePoint> ended_at)> m_on_outage_end;
};

/// A stream of the store that all instances follow together.
///
/// Some instances read it (`policy::ReadFailover`) and pass significant records
/// on to the others. Call `Start` once and `Tick` a few times a second, and
/// pass in the states and records that peers send. Use it on the control thread
/// only.
class SharedStream {
 public:
  SharedStream(SharedStreamOptions options,
               Clock clock,
               RecordRules rules,
               SharedStreamHooks hooks);
  SharedStream(const SharedStream&) = delete;
  SharedStream& operator=(const SharedStream&) = delete;

  void Start();

  /// This instance's state, to be sent to the peers.
  StreamState state() const;
  /// Significant records; see `SharedRecords::Since`.
  std::vector<KeyedRecord> Since(std::uint64_t from,
                                 std::size_t max_bytes) const;

  /// Deleted keys; see `SharedRecords::Deletions`.
  std::vector<KeyedRecord> Deletions(std::size_t max_bytes) const;
  /// Whether a peer knows of deletions from before this instance's listing, and
  /// all of them up to it.
  bool LacksDeletions(const StreamState& peer_state) const;

  /// Processes a peer's state.
  ///
  /// @return from which offset on to fetch the peer's records: all of them if
  /// its contents are newer by their version. Nothing if it has no newer ones,
  /// or if it may lack records that this instance lacks too but can read from
  /// the store.
  std::optional<std::uint64_t> OnPeerState(const std::string& peer,
                                           const StreamState& peer_state);
  void MergeFromPeer(const PeerRecords& fetched);

  /// Checks whether the store counts as lost.
  void Tick();

  /// Whether no live peer that reaches the store ranks before this instance.
  bool RanksFirst() const { return Rank() == 0; }

 private:
  FeedHooks MakeFeedHooks();
  // Whether a peer's contents are newer by their version, and may be readable.
  bool IsNewerVersion(std::uint64_t version) const;
  Duration Postpone();
  // Whether this instance must read the store itself, because it has lacked
  // records for too long that no peer can supply, or that don't arrive.
  bool HasPersistentGap();
  // Whether changes that a peer has offered haven't arrived.
  bool IsBehind() const;
  int Rank() const;
  void RecordRead(TimePoint at);
  void JoinSpell(const policy::ReadSpell& spell);
  std::optional<TimePoint> OutageEnd() const;
  std::uint64_t EpochOf(std::uint64_t offset) const;
  // Notes up to where changes were known before records of a later epoch came.
  void NoteEpoch(std::uint64_t changed_before);
  // Whether the store refuses this instance or a live peer, or doesn't answer.
  bool DoCallsFail() const;
  void Publish(const std::vector<KeyedRecord>& newer, std::uint64_t before);

  SharedStreamOptions m_options;
  Clock m_clock;
  SharedStreamHooks m_hooks;
  RecordRules::EpochOf m_epoch_of;
  SharedRecords m_records;
  // Whether each peer reaches the store, by peer name.
  std::map<std::string, bool> m_peer_reaches_store;
  std::optional<TimePoint> m_read_at;
  std::optional<policy::ReadSpell> m_spell;
  bool m_reachable = true;
  std::string m_lost_reason;
  std::uint64_t m_complete_from = 0;
  std::optional<std::uint64_t> m_deletions_from;
  // A peer can tell the earlier deletions once it has read up to here: the end
  // of this instance's first listing since the store was last restored.
  std::uint64_t m_first_listing = 0;
  std::uint64_t m_earlier_changed_to = 0;
  // The highest version that peers have, and until when versions up to one that
  // couldn't be read here aren't requested again.
  std::uint64_t m_peer_version = 0;
  std::uint64_t m_unreadable_version = 0;
  TimePoint m_unreadable_until = TimePoint::min();
  // The offset up to which peers may lack records that this instance lacks too,
  // and the time since when this gap has existed.
  std::uint64_t m_gap_to = 0;
  std::optional<TimePoint> m_gap_since;
  // Whether records of a peer with such a gap were taken. Then no peer's offset
  // tells what this instance lacks, and only reading the store closes the gap.
  bool m_follows_incomplete = false;
  // Up to which offset a peer has changes that this instance has lacked since
  // the given time. They may never arrive: that others have read the store
  // doesn't make this instance's records recent.
  std::uint64_t m_behind_to = 0;
  TimePoint m_behind_since;
  KeyedFeed m_feed;
};

}  // namespace guavacross::feed

#endif  // GUAVACROSS_FEED_SHARED_STREAM_H_
