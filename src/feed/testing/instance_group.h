#ifndef GUAVACROSS_FEED_TESTING_INSTANCE_GROUP_H_
#define GUAVACROSS_FEED_TESTING_INSTANCE_GROUP_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "feed/fetch_turn.h"
#include "feed/shared_stream.h"
#include "feed/testing/store_model.h"
#include "util/manual_clock.h"

namespace guavacross::feed::testing {

/// Instances that follow one stream with the real `SharedStream`, for tests.
///
/// The model plays the store, with its long polls, the heartbeats by which
/// instances exchange their states, and the fetching of records, with delays.
/// Instances can be started, stopped and cut off, and the store can be away and
/// come back from an older copy.
class InstanceGroup {
 public:
  using MakeOptions =
      std::function<SharedStreamOptions(const std::string& name)>;

  /// What a test adds to the instances. All may be empty.
  struct Hooks {
    /// An instance starts a new run, without the state of an earlier one.
    std::function<void(std::size_t index)> m_on_start;
    /// An instance receives newer records; see `SharedStreamHooks`.
    std::function<void(std::size_t index,
                       const std::vector<KeyedRecord>&,
                       const std::string& source)>
        m_on_records;
    std::function<void(std::size_t index, std::optional<TimePoint> ended_at)>
        m_on_outage_end;
    /// Whether a message between instances can carry a record. A reply with one
    /// that it can't carry is lost.
    std::function<bool(const KeyedRecord&)> m_can_carry;
  };

  struct Instance {
    std::string m_name;
    bool m_running = false;
    /// Whether nothing passes between the instance and the store, or and its
    /// peers.
    bool m_cut_from_store = false;
    bool m_cut_from_peers = false;
    /// The highest version in force in this run.
    int m_version = 0;
    /// The last moment at which the instance was not running or cut off.
    TimePoint m_disturbed_at;
    std::unique_ptr<SharedStream> m_stream;
    // Rises with each start, so that answers to an earlier run are dropped.
    int m_run = 0;
    TimePoint m_silent_since;
    TimePoint m_next_heartbeat;
    std::size_t m_next_recipient = 0;
    // Fetches of all records and of deletions only.
    std::map<bool, FetchTurn> m_fetch_turns;
    bool m_notify = false;
  };

  InstanceGroup(int size,
                MakeOptions make_options,
                RecordRules rules = Rules(),
                Hooks hooks = {});

  void Start(std::size_t index);
  void Stop(std::size_t index);
  /// Takes the store away; calls fail.
  void TakeStoreAway();
  /// Brings the store back, from a copy as of `copied_at` if it is set.
  void BringStoreBack(std::optional<TimePoint> copied_at);
  /// Writes a version of the configuration, which counts as acknowledged.
  void Publish(int version);
  /// Writes a record to the store, also while it is away: an entry may lapse
  /// then.
  void Append(const std::string& key, std::optional<std::string> value);

  /// Advances the time in small steps and calls `each` after each of them.
  void Run(Duration duration, const std::function<void()>& each = nullptr);

  /// Why an instance that has been in touch for `stable` is behind a version
  /// that was acknowledged more than `bound` ago; empty if none is. A version
  /// that the store has lost counts only while a running instance has it.
  std::string Violation(Duration bound, Duration stable) const;

  TimePoint now() const { return m_clock.now(); }
  std::size_t size() const { return m_instances.size(); }
  Instance& operator[](std::size_t index) { return *m_instances[index]; }
  const Instance& operator[](std::size_t index) const {
    return *m_instances[index];
  }
  int published() const { return m_published; }
  Clock clock() { return m_clock.clock(); }
  const StoreModel& store() const { return m_store; }
  bool store_away() const { return m_store_away; }
  /// Whether the store has been there for `stable`.
  bool IsStoreStable(Duration stable) const {
    return !m_store_away && m_clock.now() - m_store_disturbed_at >= stable;
  }
  int calls() const { return m_store.m_calls; }

 private:
  // A call of the store that waits for its answer.
  struct PendingCall {
    std::size_t m_caller = 0;
    int m_run = 0;
    // From which position to read; nothing for a listing.
    std::optional<std::uint64_t> m_from;
    // When the store answers at the latest, and when the caller gives up.
    TimePoint m_answer_at;
    TimePoint m_timeout_at;
    PageDone m_done;
  };

  SharedStreamHooks StreamHooks(std::size_t index);
  StoreCalls MakeCalls(std::size_t index);
  bool CanCarry(const std::vector<KeyedRecord>& records) const;
  void Step();
  void AnswerCalls();
  void NoteLostVersions();
  bool IsCurrent(std::size_t index, int run) const;
  bool Reaches(std::size_t from, std::size_t to) const;
  void SendHeartbeats(std::size_t index);
  void Deliver(std::size_t from, std::size_t to, bool is_reply);
  void Receive(std::size_t from, std::size_t to, const StreamState& state);
  void Fetch(std::size_t from, std::size_t to, PeerRecords wanted);
  // Returns whether the run that fetches still runs.
  bool EndFetch(std::size_t to, int run, bool deletions, TimePoint begun_at);
  void After(Duration delay, std::function<void()> call);
  std::vector<std::string> LivePeers(std::size_t index) const;

  util::ManualClock m_clock;
  StoreModel m_store;
  MakeOptions m_make_options;
  RecordRules m_rules;
  Hooks m_hooks;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<PendingCall> m_pending;
  std::deque<std::unique_ptr<Timer>> m_timers;
  // The size of the log over time, for copies.
  std::map<TimePoint, std::size_t> m_log_sizes;
  // When each version was acknowledged.
  std::map<int, TimePoint> m_acked;
  // When each version that was lost was last nowhere to be had.
  std::map<int, TimePoint> m_lost_until;
  int m_published = 0;
  bool m_store_away = false;
  TimePoint m_store_disturbed_at;
};

}  // namespace guavacross::feed::testing

#endif  // GUAVACROSS_FEED_TESTING_INSTANCE_GROUP_H_
