#ifndef GUAVACROSS_FEED_SHARED_RECORDS_H_
#define GUAVACROSS_FEED_SHARED_RECORDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "feed/keyed_feed.h"
#include "policy/read_spell.h"

namespace guavacross::feed {

/// What the records of a stream mean.
struct RecordRules {
  /// Whether `now` is a significant change from `before`, which is null for a
  /// new key.
  using IsSignificant =
      std::function<bool(const KeyedRecord* before, const KeyedRecord& now)>;

  /// Compares the contents of two records of a key: negative if `now` is older
  /// than `before`, positive if it is newer, and 0 if the contents don't tell.
  ///
  /// A store that was restored from a copy lists older contents at higher
  /// offsets. The contents known here then stay, and take the offset of the
  /// older ones.
  using CompareAge =
      std::function<int(const KeyedRecord& before, const KeyedRecord& now)>;

  /// The version of a record's contents, which rises with each change of the
  /// stream; 0 if it has none.
  using VersionOf = std::function<std::uint64_t(const KeyedRecord&)>;

  /// Whether the contents `now` are newer than `last`, the newest ones before
  /// the key was deleted. Others were written late or are from an older copy of
  /// the store, and don't bring the key back.
  using Revives =
      std::function<bool(const KeyedRecord& last, const KeyedRecord& now)>;

  /// Whether a value can be read.
  using IsReadable = std::function<bool(const KeyedRecord&)>;

  /// Whether contents say that the key is about to be deleted.
  using IsLeaving = std::function<bool(const KeyedRecord&)>;

  /// The epoch of an offset, which rises when the store has been restored from
  /// an older copy.
  using EpochOf = std::function<std::uint64_t(std::uint64_t offset)>;

  IsSignificant m_is_significant;
  /// May be empty: offsets alone tell the age then.
  CompareAge m_compare_age;
  /// May be empty: the contents have no version then.
  VersionOf m_version_of;
  /// May be empty: any contents at a higher offset bring a deleted key back.
  Revives m_revives;
  /// May be empty: all values are kept. A value that can't be read changes
  /// nothing and isn't passed on.
  IsReadable m_is_readable;
  /// May be empty: there is one epoch.
  EpochOf m_epoch_of;
  /// May be empty: no contents say so.
  IsLeaving m_is_leaving;
};

/// The newest record of each key of a stream, whichever instance has read it.
///
/// Instances read the same stream and pass the records on to each other, so
/// that an instance that the store refuses gets them as well. Of two records
/// for a key, the one with the higher store offset counts, from whichever
/// source. Insignificant records, such as heartbeats of targets, are accepted
/// but not passed on to peers. A deletion is passed on with the newest value
/// before it, so that all instances recognise older contents that come after
/// it. No I/O; not thread safe.
class SharedRecords {
 public:
  explicit SharedRecords(RecordRules rules) : m_rules(std::move(rules)) {}

  /// Merges records that this instance has read from the store.
  ///
  /// @return those that are newer than the known ones, in the given order.
  std::vector<KeyedRecord> Merge(const std::vector<KeyedRecord>& records);

  /// Merges records that were significant to a peer. Returns the same as
  /// `Merge`.
  std::vector<KeyedRecord> MergeFromPeer(
      const std::vector<KeyedRecord>& records);

  /// Merges deletions that a peer knows, without the other records between
  /// them: `changed_to` stays. Returns the same as `Merge`.
  std::vector<KeyedRecord> MergeDeletions(
      const std::vector<KeyedRecord>& records);

  /// Merges a listing of all keys as of the offset `end`. Known keys that are
  /// not in the listing have been deleted.
  ///
  /// @return the same as `Merge`, with a record without value for each deleted
  /// key.
  std::vector<KeyedRecord> MergeListing(const std::vector<KeyedRecord>& records,
                                        std::uint64_t end);

  /// The offset after the last significant record; 0 if there is none.
  std::uint64_t changed_to() const { return m_changed_to; }

  /// The highest version of a significant record's contents; 0 if they have
  /// none.
  std::uint64_t version() const { return m_version; }
  /// The highest version of the given records' contents; 0 if none can be read.
  std::uint64_t VersionOf(const std::vector<KeyedRecord>& records) const;

  /// The last significant record of each key, if its offset is `from` or
  /// higher, in order of offset. Limited to `max_bytes`, but at least one if
  /// there is any.
  std::vector<KeyedRecord> Since(std::uint64_t from,
                                 std::size_t max_bytes) const;

  /// Records that can't be read, once for each key; see
  /// `RecordRules::m_is_readable`.
  std::vector<KeyedRecord> TakeUnreadable();

  /// The deleted keys and those about to be, the last ones first. Limited as
  /// `Since`.
  std::vector<KeyedRecord> Deletions(std::size_t max_bytes) const;

 private:
  struct Known {
    /// The last significant record, and the offset of the newest record.
    KeyedRecord m_record;
    std::uint64_t m_newest = 0;
    /// A newer value that wasn't significant.
    std::optional<std::string> m_value;
  };
  using Value = std::optional<std::string>;

  // Most keys with unreadable values that are remembered.
  static constexpr std::size_t kMaxUnreadable = 1024;

  // Returns whether the record's value can be read.
  bool CheckReadable(const KeyedRecord& record);
  // Merges a record of a known key. Returns whether it is newer.
  bool MergeKnown(Known* known, const KeyedRecord& record);
  void Store(Known* known, const KeyedRecord& record, Value newest_value);
  int AgeOrder(const Known& known, const KeyedRecord& record) const;
  bool Revives(const std::string& key,
               const Value& last_value,
               const Value& value) const;
  // The newest value of a key, also of a deleted one, once `record` is merged.
  Value NewestValue(const Known& known, const KeyedRecord& record) const;

  RecordRules m_rules;
  std::map<std::string, Known> m_known;
  // Keys whose contents say that they are about to be deleted.
  std::set<std::string> m_leaving;
  // Keys whose last value can't be read, and the records not yet taken.
  std::set<std::string> m_unreadable_keys;
  std::vector<KeyedRecord> m_unreadable;
  std::uint64_t m_changed_to = 0;
  std::uint64_t m_version = 0;
};

/// An instance's state of a stream, as sent to the other instances.
struct StreamState {
  std::string m_stream;
  /// The offset after the last significant record.
  std::uint64_t m_changed_to = 0;
  /// See `SharedRecords::version`. Two instances with the same offsets may have
  /// different contents if one of them started from an older copy of the store.
  std::uint64_t m_version = 0;
  /// The offset up to which it has read, or knows that no record is
  /// significant.
  std::uint64_t m_read_to = 0;
  /// The offset from which on it has every record. It listed the stream at this
  /// offset, and doesn't know which keys were deleted before.
  std::uint64_t m_complete_from = 0;
  /// The offset from which on it knows which keys were deleted, itself or from
  /// a peer; nothing before its first listing. An instance that has started
  /// needs earlier deletions to recognise an older copy of the store.
  std::optional<std::uint64_t> m_deletions_from;
  /// Its `m_changed_to` when the store was last restored: which deletions it
  /// knows that an older copy may lack.
  std::uint64_t m_earlier_changed_to = 0;
  /// When any instance last read the stream, as far as known. Sent as an age,
  /// so the transit time has to be added.
  std::optional<TimePoint> m_read_at;
  /// The time without an outage that the reads show; its last read is
  /// `m_read_at`. Nothing if the instance doesn't say.
  std::optional<policy::ReadSpell> m_spell;
  /// Whether this instance itself reaches the store.
  bool m_reaches_store = false;

  bool operator==(const StreamState&) const = default;
};

/// Records that a peer sent.
struct PeerRecords {
  std::string m_peer;
  /// The offset from which on they were requested.
  std::uint64_t m_from = 0;
  std::vector<KeyedRecord> m_records;
  /// Set if only deletions were requested: the peer's state, which tells which
  /// of them it knows.
  std::optional<StreamState> m_deletions_of;

  bool operator==(const PeerRecords&) const = default;
};

/// Callbacks by which instances exchange stream states and records. Called on
/// the control thread.
struct StreamExchange {
  /// Returns the records of a stream that a peer requests; `m_on_records`
  /// receives the records that a peer sends.
  std::function<std::vector<KeyedRecord>(const std::string& stream,
                                         std::uint64_t from,
                                         std::size_t max_bytes)>
      m_records;
  std::function<void(const std::string& stream, const PeerRecords&)>
      m_on_records;
  /// Returns the deleted keys of a stream.
  std::function<std::vector<KeyedRecord>(const std::string& stream,
                                         std::size_t max_bytes)>
      m_deletions;
  /// The current state of a stream; nothing if it isn't known.
  std::function<std::optional<StreamState>(const std::string& stream)> m_state;
  /// Whether a peer knows of deletions that this instance doesn't know.
  std::function<bool(const StreamState&)> m_lacks_deletions;
  /// Receives a peer's state of a stream. Returns from which offset on to fetch
  /// its records, or nothing if it has none to offer.
  std::function<std::optional<std::uint64_t>(const std::string& peer,
                                             const StreamState&)>
      m_on_stream;
};

}  // namespace guavacross::feed

#endif  // GUAVACROSS_FEED_SHARED_RECORDS_H_
