#ifndef GUAVACROSS_FEED_SHARED_RECORDS_H_
#define GUAVACROSS_FEED_SHARED_RECORDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "feed/keyed_feed.h"

namespace guavacross::feed {

/// The newest record of each key of a stream, from whoever has read it.
///
/// Instances read the same stream and pass on to each other what they have
/// read, so that one that the store turns away knows it as well. The store's
/// offsets order the records: of two for one key the later counts, whichever
/// way it came. Records that change nothing that matters, such as heartbeats of
/// targets, are taken but not passed on. No I/O; not thread safe.
class SharedRecords {
 public:
  /// Whether `now` says something else than `before`, which may be null.
  using Matters =
      std::function<bool(const KeyedRecord* before, const KeyedRecord& now)>;

  explicit SharedRecords(Matters matters) : m_matters(std::move(matters)) {}

  /// Takes records of this instance's own reading.
  ///
  /// @return those that are newer than what was known, in their order.
  std::vector<KeyedRecord> Take(const std::vector<KeyedRecord>& records);

  /// Takes records that mattered to a peer. Returns as `Take`.
  std::vector<KeyedRecord> TakeFromPeer(
      const std::vector<KeyedRecord>& records);

  /// Takes a listing of all keys as of the offset `end`. Keys that it lacks
  /// have been dropped.
  ///
  /// @return as for `Take`, with a record without a value for a dropped key.
  std::vector<KeyedRecord> TakeListing(const std::vector<KeyedRecord>& records,
                                       std::uint64_t end);

  /// The offset after the last record that mattered; 0 if there is none.
  std::uint64_t changed_to() const { return m_changed_to; }

  /// Records that mattered from the offset `from` on, in the order of their
  /// offsets, up to `max_bytes` but at least one.
  std::vector<KeyedRecord> Since(std::uint64_t from,
                                 std::size_t max_bytes) const;

 private:
  struct Known {
    /// The last record that mattered, and the offset of the newest.
    KeyedRecord m_record;
    std::uint64_t m_newest = 0;
  };

  Matters m_matters;
  std::map<std::string, Known> m_known;
  std::uint64_t m_changed_to = 0;
};

/// What one instance knows of a stream, as told to the others.
struct StreamState {
  std::string m_stream;
  /// The offset after the last record that mattered.
  std::uint64_t m_changed_to = 0;
  /// The offset up to which it has read, or knows that nothing matters.
  std::uint64_t m_read_to = 0;
  /// The offset from which it knows every record. It has listed the stream
  /// there and doesn't know which keys were dropped before.
  std::uint64_t m_complete_from = 0;
  /// When any instance has last read, as far as it knows. Told as an age, which
  /// grows on the way.
  std::optional<TimePoint> m_read_at;
  /// Whether it reaches the store itself.
  bool m_reads = false;

  bool operator==(const StreamState&) const = default;
};

/// How instances exchange what they know of streams. Called on the control
/// thread.
struct StreamExchange {
  /// The records of a stream that a peer asks for, and records that a peer has
  /// read.
  std::function<std::vector<KeyedRecord>(const std::string& stream,
                                         std::uint64_t from,
                                         std::size_t max_bytes)>
      m_records;
  std::function<void(const std::string& stream,
                     const std::vector<KeyedRecord>& records)>
      m_on_records;
  /// What a peer knows of a stream. Returns whether its records may be taken.
  std::function<bool(const std::string& peer, const StreamState&)> m_on_stream;
};

}  // namespace guavacross::feed

#endif  // GUAVACROSS_FEED_SHARED_RECORDS_H_
