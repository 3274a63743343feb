#ifndef GUAVACROSS_PEERS_MEMBER_TABLE_H_
#define GUAVACROSS_PEERS_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "guavacross/membership.h"
#include "guavacross/time.h"

namespace guavacross::peers {

struct MemberTableOptions {
  std::string m_self;
  /// Without evidence of life for this long, a member becomes suspect.
  Duration m_suspect_after{};
  /// A suspect without evidence of life for this long is dead.
  Duration m_dead_after{};
  /// A dead member that the instance list doesn't show is forgotten after this.
  Duration m_forget_after{};
  /// Members that get a heartbeat in each interval. With more members than
  /// this, times to suspicion and death grow in proportion.
  int m_fanout = 5;
};

/// Second-hand evidence: when some instance has last heard of a member.
struct Rumor {
  InstanceId m_id;
  Duration m_age{};
  bool m_leaving = false;
  Endpoint m_peers;

  bool operator==(const Rumor&) const = default;
};

/// A change of a member's state.
struct MemberChange {
  InstanceId m_id;
  MemberState m_state = MemberState::kLive;

  bool operator==(const MemberChange&) const = default;
};

/// Who the other instances are and which of them live.
///
/// Evidence of life is a message from a member, or word from another instance
/// that had one; the instance list only tells where to look. A list that
/// wrongly drops or keeps an instance therefore changes no state. A member
/// without evidence is first suspected, which makes its peers be asked about
/// it, and then dead (after SWIM, Das, Gupta and Motivala, 2002). Of two
/// incarnations under one name only the greater counts. No I/O; not thread
/// safe.
class MemberTable {
 public:
  explicit MemberTable(MemberTableOptions options);

  /// Takes the newest instance list.
  void SetListed(const std::vector<ListedInstance>& listed, TimePoint now);

  /// Takes what a member said of itself in a message; `member.m_state` is
  /// `kLeaving` or `kLive`.
  ///
  /// @return false if the message is from an incarnation that has ended.
  bool Hear(const Member& member, TimePoint now);

  /// Takes second-hand evidence.
  void HearRumor(const Rumor& rumor, TimePoint now);

  /// Moves members without evidence on to suspect and dead, and forgets.
  void Tick(TimePoint now);

  /// The changes of state since the last call.
  std::vector<MemberChange> TakeChanges();

  /// All members, sorted by name.
  std::vector<Member> Members() const;

  /// Members that are not dead.
  int LiveCount() const;

  /// Names of the members that are suspect.
  std::vector<std::string> Suspects() const;

  /// What this table knows of the named members, if it has evidence.
  std::vector<Rumor> RumorsOf(const std::vector<std::string>& names,
                              TimePoint now) const;

  /// Up to `count` members to send heartbeats to. Successive calls go round, so
  /// that each gets its turn. Dead members that are listed take their turn too:
  /// they may be back.
  std::vector<Member> TakeTurns(std::size_t count);

  /// Up to `count` rumors, going round.
  std::vector<Rumor> TakeRumors(std::size_t count, TimePoint now);

 private:
  struct Entry {
    Member m_member;
    bool m_listed = false;
    bool m_has_evidence = false;
    TimePoint m_evidence;
    TimePoint m_died;
  };

  Entry& EntryFor(const std::string& name, TimePoint now);
  void Revive(Entry* entry, MemberState state, TimePoint evidence);
  void SetState(Entry* entry, MemberState state);
  Duration SuspectAfter() const;
  Duration DeadAfter() const;
  int Rounds() const;
  MemberState StateWithout(const Entry& entry, TimePoint now) const;
  Rumor RumorOf(const Entry& entry, TimePoint now) const;

  MemberTableOptions m_options;
  std::map<std::string, Entry> m_entries;
  std::vector<MemberChange> m_changes;
  bool m_has_ticked = false;
  TimePoint m_last_tick;
  std::string m_last_turn;
  std::string m_last_rumor;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_MEMBER_TABLE_H_
