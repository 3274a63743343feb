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

/// One record of a keyed stream.
struct KeyedRecord {
  std::string m_key;
  /// Nothing if the key has been dropped.
  std::optional<std::string> m_value;
  std::uint64_t m_offset = 0;

  bool operator==(const KeyedRecord&) const = default;
};

/// What came of one read of the store.
struct FeedPage {
  enum class Status {
    kOk,
    /// The records from the asked offset on have been deleted.
    kExpired,
    /// The store was reached and refused.
    kRefused,
    kUnreachable,
    /// The answer can't be understood.
    kUnreadable,
  };
  Status m_status = Status::kUnreachable;
  /// Why there are no records.
  std::string m_error;
  std::vector<KeyedRecord> m_records;
  /// The offset after the stream's last record.
  std::uint64_t m_end = 0;
  /// Whether a listing goes on after its last key.
  bool m_has_more = false;

  bool operator==(const FeedPage&) const = default;
};

using PageDone = std::function<void(FeedPage)>;

/// The calls of the store by which a stream is read.
struct StoreCalls {
  /// Lists the newest record of each key, from the key after `after` on.
  std::function<void(const std::string& after, Duration timeout, PageDone)>
      m_list;
  /// Reads records from an offset on; the store may wait for one.
  std::function<
      void(std::uint64_t from, Duration wait, Duration timeout, PageDone)>
      m_read;
};

/// How a feed reaches the store and whom it tells.
struct FeedHooks {
  StoreCalls m_calls;
  /// How long the next read is to be put off; nothing or less for not at all.
  /// May be empty.
  std::function<Duration()> m_postpone;
  /// The store has answered a call.
  std::function<void()> m_on_answered;
  /// The newest record of every key, as of the offset `end`.
  std::function<void(const std::vector<KeyedRecord>&, std::uint64_t end)>
      m_on_listing;
  /// Further records, in their order.
  std::function<void(const std::vector<KeyedRecord>&)> m_on_records;
  /// The store has been lost, with the reason, or answers again.
  std::function<void(bool reachable, const std::string& why)> m_on_reachable;
};

struct FeedOptions {
  /// How long the store may wait for a record.
  Duration m_wait = std::chrono::milliseconds(2000);
  /// How much later than that an answer is given up.
  Duration m_slack = std::chrono::milliseconds(700);
  /// Least time between the starts of two reads.
  Duration m_min_interval{};
  std::uint64_t m_seed = 0;
};

/// Follows a keyed stream of the store: lists it once, then reads on.
///
/// Each call has a bound of its own, since a connection may fall silent. After
/// a failure the next call waits, longer and longer, and with a random part.
/// When the offset has expired the stream is listed anew. Lives on the control
/// thread.
class KeyedFeed {
 public:
  KeyedFeed(FeedOptions options, Clock clock, FeedHooks hooks);
  ~KeyedFeed();
  KeyedFeed(const KeyedFeed&) = delete;
  KeyedFeed& operator=(const KeyedFeed&) = delete;

  void Start();

  /// Takes it that nothing before `offset` has to be read any more.
  void SkipTo(std::uint64_t offset);

  /// Whether a listing has been received.
  bool listed() const { return m_listed; }
  /// Whether the last call was answered.
  bool reachable() const { return m_reachable; }
  /// The offset after the last record taken.
  std::uint64_t offset() const { return m_offset; }

 private:
  void Next(Duration delay);
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
  // Outlived by calls under way, which then end without effect.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  bool m_listing = true;
  bool m_listed = false;
  bool m_reachable = true;
  int m_failures = 0;
  TimePoint m_called_at;
  std::uint64_t m_offset = 0;
  // A listing under way.
  std::vector<KeyedRecord> m_pages;
  std::string m_after;
  std::uint64_t m_listing_offset = 0;
};

}  // namespace guavacross::feed

#endif  // GUAVACROSS_FEED_KEYED_FEED_H_
