#ifndef GUAVACROSS_PEERS_MEMBER_TABLE_H_
#define GUAVACROSS_PEERS_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "guavacross/membership.h"
#include "guavacross/time.h"

namespace guavacross::peers {

struct MemberTableOptions {
  std::string m_self;
  /// A member becomes suspect after this long without evidence of life.
  Duration m_suspect_after{};
  /// A suspect member becomes dead after this much longer without evidence.
  Duration m_dead_after{};
  /// A dead member that isn't in the instance list is removed after this long.
  Duration m_forget_after{};
  /// Number of members that are sent a heartbeat in each interval. With more
  /// members than this, the times to suspicion and death grow in proportion.
  int m_fanout = 5;
};

/// Second-hand evidence of life: how long ago another instance last had
/// evidence of a member.
struct Rumor {
  InstanceId m_id;
  Duration m_age{};
  bool m_leaving = false;
  Endpoint m_peers;
  /// The number of the member's heartbeat that is the evidence; 0 if not known.
  std::uint64_t m_number = 0;

  bool operator==(const Rumor&) const = default;
};

/// The new state of a member.
struct MemberChange {
  InstanceId m_id;
  MemberState m_state = MemberState::kLive;

  bool operator==(const MemberChange&) const = default;
};

/// Tracks the other instances and which of them are alive.
///
/// Evidence of life is a message from a member, or a rumor from another
/// instance that received one. The instance list only provides addresses, so a
/// list that wrongly drops or keeps an instance changes no state. A member
/// without evidence becomes suspect, in which case its peers are asked about
/// it, and later dead (after SWIM, Das, Gupta and Motivala, 2002). A heartbeat
/// without a reply makes it suspect at once, since with many members silence
/// alone takes long to notice. Of two incarnations under one name only the
/// greater counts. No I/O; not thread safe.
///
/// Evidence is dated to the member's own message, however many instances have
/// passed it on, so that a dead member's doesn't stay recent among instances
/// that hear of it from each other. The dates are too late by what messages
/// take on their way, which adds up; of evidence with the same number only the
/// first counts.
class MemberTable {
 public:
  explicit MemberTable(MemberTableOptions options);

  /// Sets the current instance list.
  void SetListed(const std::vector<ListedInstance>& listed, TimePoint now);

  /// Updates a member from a message that it sent; `member.m_state` is
  /// `kLeaving` or `kLive`, and `number` the message's, 0 if it has none.
  ///
  /// @return false if the message is from an older incarnation or carries this
  /// instance's own name.
  bool UpdateFromMessage(const Member& member,
                         TimePoint now,
                         std::uint64_t number = 0);

  /// Updates a member from second-hand evidence.
  void UpdateFromRumor(const Rumor& rumor, TimePoint now);

  /// Processes that a heartbeat which was sent at `sent_at` got no reply: the
  /// member is suspect if there is no evidence of it since. Counts once another
  /// member has sent a message since, unless none had come for long, as while
  /// this instance is paused or cut off.
  void UpdateFromMissedReply(const InstanceId& id, TimePoint sent_at);

  /// Processes another instance's list of suspects: those without recent
  /// evidence here get the next heartbeats.
  void CheckSuspectsOf(const std::vector<std::string>& names, TimePoint now);

  /// Marks members without recent evidence as suspect or dead, and removes
  /// those that have been dead and unlisted for `m_forget_after`.
  void Tick(TimePoint now);

  /// The changes of state since the last call.
  std::vector<MemberChange> TakeChanges();

  /// All members, sorted by name.
  std::vector<Member> Members() const;

  /// Members that are not dead.
  int LiveCount() const;

  /// Names of the members that are suspect.
  std::vector<std::string> Suspects() const;

  /// Rumors about those of the named members for which there is evidence.
  std::vector<Rumor> RumorsOf(const std::vector<std::string>& names,
                              TimePoint now) const;

  /// Returns the next members to send heartbeats to, up to `count`, in
  /// round-robin order. Dead members that are listed are included, since they
  /// may be running again.
  std::vector<Member> NextHeartbeatRecipients(std::size_t count);

  /// Returns the next rumors to send, up to `count`, in round-robin order.
  std::vector<Rumor> NextRumors(std::size_t count, TimePoint now);

 private:
  struct Entry {
    Member m_member;
    bool m_listed = false;
    bool m_has_evidence = false;
    // When the member last sent a message as far as known; without evidence,
    // when it was first listed.
    TimePoint m_evidence_at;
    // The highest number of its messages that is known of; 0 if none is.
    std::uint64_t m_evidence_number = 0;
    // Part of the time since then that isn't counted as silence.
    Duration m_excused{};
    // When the last heartbeat was sent to it that got no reply. Older evidence
    // doesn't show that the member is live.
    TimePoint m_missed_at = TimePoint::min();
    TimePoint m_died_at;
  };

  // A heartbeat without a reply.
  struct MissedReply {
    InstanceId m_id;
    TimePoint m_sent_at;
  };

  Entry& FindOrAddEntry(const std::string& name, TimePoint now);
  void RecordMessageAt(TimePoint now);
  void ApplyMissedReply(const MissedReply& missed);
  void RecordEvidence(Entry* entry,
                      MemberState state,
                      std::uint64_t number,
                      TimePoint evidence);
  // Forgets what is known of an earlier run of the member.
  static void BeginRun(Entry* entry);
  void SetState(Entry* entry, MemberState state);
  Duration SuspectAfter() const;
  Duration DeadAfter() const;
  int IntervalsPerRound() const;
  MemberState StateAfterSilence(const Entry& entry, TimePoint now) const;
  Rumor RumorOf(const Entry& entry, TimePoint now) const;

  MemberTableOptions m_options;
  std::map<std::string, Entry> m_entries;
  std::vector<MemberChange> m_changes;
  bool m_has_ticked = false;
  TimePoint m_last_tick;
  std::string m_last_recipient;
  // Members to send heartbeats to out of turn.
  std::set<std::string> m_to_check;
  // When a member last sent a message to this instance.
  TimePoint m_last_message_at = TimePoint::min();
  // Those since which no message has arrived.
  std::vector<MissedReply> m_unconfirmed_misses;
  std::string m_last_rumor;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_MEMBER_TABLE_H_
