#ifndef GUAVACROSS_FEED_KEYED_FEED_H_
#define GUAVACROSS_FEED_KEYED_FEED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/time.h"
#include "policy/random.h"

namespace guavacross::feed {

/// A record of a keyed stream.
struct KeyedRecord {
  std::string m_key;
  /// Empty if the key has been deleted.
  std::optional<std::string> m_value;
  std::uint64_t m_offset = 0;
  /// Of a deleted key: its newest value before the deletion, if known.
  std::optional<std::string> m_last_value;

  bool operator==(const KeyedRecord&) const = default;
};

/// The result of one call to the store.
struct FeedPage {
  enum class Status {
    kOk,
    /// The records at the requested offset are no longer retained.
    kExpired,
    /// The store answered and refused the call.
    kRefused,
    kUnreachable,
    /// The answer can't be parsed.
    kUnreadable,
  };
  Status m_status = Status::kUnreachable;
  /// Why the call failed.
  std::string m_error;
  std::vector<KeyedRecord> m_records;
  /// The offset after the stream's last record.
  std::uint64_t m_end = 0;
  /// Whether a listing has more keys after this page.
  bool m_has_more = false;

  bool operator==(const FeedPage&) const = default;
};

using PageDone = std::function<void(FeedPage)>;

/// The store calls for reading a stream.
struct StoreCalls {
  /// Lists the newest record of each key that follows `after`.
  std::function<void(const std::string& after, Duration timeout, PageDone)>
      m_list;
  /// Reads the records from offset `from` on. The store may wait up to `wait`
  /// for one.
  std::function<
      void(std::uint64_t from, Duration wait, Duration timeout, PageDone)>
      m_read;
};

/// Store calls and callbacks of a feed.
struct FeedHooks {
  StoreCalls m_calls;
  /// How long to postpone the next read; zero or less to read now. May be
  /// empty.
  std::function<Duration()> m_postpone;
  /// Called when the store has answered a call.
  std::function<void()> m_on_answered;
  /// Receives the newest record of every key, as of the offset `end`.
  std::function<void(const std::vector<KeyedRecord>&, std::uint64_t end)>
      m_on_listing;
  /// Receives further records, in order of offset.
  std::function<void(const std::vector<KeyedRecord>&)> m_on_records;
  /// Called when the store becomes unreachable, with the reason, or reachable.
  std::function<void(bool reachable, const std::string& why)> m_on_reachable;
};

struct FeedOptions {
  /// How long the store may wait for a record before it answers a read.
  Duration m_wait = std::chrono::milliseconds(2000);
  /// Added to `m_wait` for the timeout of a read.
  Duration m_timeout_margin = std::chrono::milliseconds(700);
  /// Minimum time between the starts of two reads.
  Duration m_min_interval{};
  std::uint64_t m_seed = 0;
};

/// Follows a keyed stream of the store: lists it once, then reads new records.
///
/// Each call has its own timeout, since a connection may stop responding
/// without being closed. Failed calls are retried with exponential backoff and
/// jitter. When the offset has expired, the stream is listed again. Use it on
/// the control thread only.
class KeyedFeed {
 public:
  KeyedFeed(FeedOptions options, Clock clock, FeedHooks hooks);
  ~KeyedFeed();
  KeyedFeed(const KeyedFeed&) = delete;
  KeyedFeed& operator=(const KeyedFeed&) = delete;

  void Start();

  /// Skips the records before `offset`.
  void SkipTo(std::uint64_t offset);

  /// Whether a listing has been received.
  bool listed() const { return m_listed; }
  /// Whether the last call succeeded or found its offset expired; true before
  /// the first.
  bool reachable() const { return m_reachable; }
  /// The offset at which the next read starts.
  std::uint64_t offset() const { return m_offset; }

 private:
  void ScheduleCall(Duration delay);
  void Call();
  void List();
  void OnListed(FeedPage page);
  void Read();
  void OnRead(FeedPage page);
  void OnFailure(const FeedPage& page);
  void SetReachable(bool reachable, const std::string& why);

  FeedOptions m_options;
  Clock m_clock;
  FeedHooks m_hooks;
  policy::Random m_random;
  std::unique_ptr<Timer> m_timer;
  // Set to false by the destructor, so that pending calls have no effect.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  bool m_needs_listing = true;
  bool m_listed = false;
  bool m_reachable = true;
  int m_failures = 0;
  TimePoint m_called_at;
  std::uint64_t m_offset = 0;
  // The records, position and start offset of the listing in progress.
  std::vector<KeyedRecord> m_listed_records;
  std::string m_list_after;
  std::uint64_t m_listing_offset = 0;
};

}  // namespace guavacross::feed

#endif  // GUAVACROSS_FEED_KEYED_FEED_H_
