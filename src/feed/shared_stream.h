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
#include "policy/read_duty.h"

namespace guavacross::feed {

struct SharedStreamOptions {
  std::string m_name;
  /// This instance's name.
  std::string m_self;
  FeedOptions m_feed;
  /// Rank aside, when others step in; see `ReadDuty`.
  policy::ReadDuty m_duty;
  /// The store counts as lost when no instance has read for this long.
  Duration m_lost_after = std::chrono::milliseconds(1500);
};

struct SharedStreamHooks {
  StoreCalls m_calls;
  /// Names of the other live instances.
  std::function<std::vector<std::string>()> m_live_peers;
  /// Records that are newer than what was known.
  std::function<void(const std::vector<KeyedRecord>&)> m_on_records;
  /// There is something new to tell the others.
  std::function<void()> m_on_news;
  /// Nobody has read for long, with the reason as far as it is known, or
  /// somebody has again.
  std::function<void(bool reachable, const std::string& why)> m_on_reachable;
};

/// A stream of the store that all instances follow together.
///
/// Some instances read it (`policy::ReadDuty`) and pass on what matters.
/// Call `Start`, `Hear` for what peers tell, `TakeFromPeer` for their records,
/// and `Tick` a few times a second. Lives on the control thread.
class SharedStream {
 public:
  SharedStream(SharedStreamOptions options,
               Clock clock,
               SharedRecords::Matters matters,
               SharedStreamHooks hooks);
  SharedStream(const SharedStream&) = delete;
  SharedStream& operator=(const SharedStream&) = delete;

  void Start();

  /// What this instance knows, for the others.
  StreamState state() const;
  /// Records that mattered; see `SharedRecords::Since`.
  std::vector<KeyedRecord> Since(std::uint64_t from,
                                 std::size_t max_bytes) const;

  /// What a peer knows.
  ///
  /// @return whether its records may be taken: not if it may lack some that
  /// this instance doesn't know either and can read itself.
  bool Hear(const std::string& peer, const StreamState& told);
  void TakeFromPeer(const std::vector<KeyedRecord>& records);

  /// Notices that nobody has read for long.
  void Tick();

  /// Whether no live peer that reaches the store comes before this instance.
  bool IsFirst() const { return Rank() == 0; }

 private:
  FeedHooks MakeFeedHooks();
  Duration Postpone();
  // Whether no peer has closed a gap between what this instance has read and
  // what a peer knows for so long that it has to read itself.
  bool HasLongHadGap();
  int Rank() const;
  void NoteRead(TimePoint at);
  void Pass(const std::vector<KeyedRecord>& newer, std::uint64_t before);

  SharedStreamOptions m_options;
  Clock m_clock;
  SharedStreamHooks m_hooks;
  SharedRecords m_records;
  // Whether each peer reaches the store.
  std::map<std::string, bool> m_peer_reads;
  std::optional<TimePoint> m_read_at;
  bool m_reachable = true;
  std::string m_why_lost;
  std::uint64_t m_complete_from = 0;
  // The offset up to which peers may lack records that this instance lacks too,
  // and since when it has been so.
  std::uint64_t m_gap_to = 0;
  std::optional<TimePoint> m_gap_since;
  KeyedFeed m_feed;
};

}  // namespace guavacross::feed

#endif  // GUAVACROSS_FEED_SHARED_STREAM_H_
