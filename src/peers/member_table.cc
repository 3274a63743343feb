#include "peers/member_table.h"

#include <algorithm>
#include <utility>

namespace guavacross::peers {

namespace {

// A gap between ticks longer than the time to suspicion divided by this is
// taken for a pause of this instance, which doesn't count as silence of the
// others.
constexpr int kPauseDivisor = 2;

// Returns the entry after the one named `last`, wrapping around at the end.
template <class Map>
auto NextAfter(Map& entries, const std::string& last) {
  const auto next = entries.upper_bound(last);
  return next == entries.end() ? entries.begin() : next;
}

}  // namespace

MemberTable::MemberTable(MemberTableOptions options)
    : m_options(std::move(options)),
      // Instances that start together don't all begin with the same members, so
      // that what one of them knows reaches all in few intervals.
      m_last_recipient(m_options.m_self) {}

// Number of intervals in which every member is sent a heartbeat.
int MemberTable::IntervalsPerRound() const {
  const int members = static_cast<int>(m_entries.size());
  return std::max(1, (members + m_options.m_fanout - 1) / m_options.m_fanout);
}

Duration MemberTable::SuspectAfter() const {
  return m_options.m_suspect_after * IntervalsPerRound();
}

Duration MemberTable::DeadAfter() const {
  return m_options.m_dead_after * IntervalsPerRound();
}

void MemberTable::SetListed(const std::vector<ListedInstance>& listed,
                            TimePoint now) {
  for (auto& [name, entry] : m_entries) {
    entry.m_listed = false;
  }
  for (const ListedInstance& instance : listed) {
    if (instance.m_name == m_options.m_self) {
      continue;
    }
    Entry& entry = FindOrAddEntry(instance.m_name, now);
    entry.m_listed = true;
    if (entry.m_has_evidence && entry.m_member.m_state != MemberState::kDead) {
      // The addresses from its own messages are newer than the list.
      continue;
    }
    entry.m_member.m_region = instance.m_region;
    entry.m_member.m_zone = instance.m_zone;
    entry.m_member.m_callers = instance.m_callers;
    entry.m_member.m_peers = instance.m_peers;
  }
}

MemberTable::Entry& MemberTable::FindOrAddEntry(const std::string& name,
                                                TimePoint now) {
  const auto [it, is_new] = m_entries.try_emplace(name);
  Entry& entry = it->second;
  if (is_new) {
    entry.m_member.m_id.m_name = name;
    // It may be running: it counts as live unless the times to suspicion and
    // death pass without evidence.
    entry.m_member.m_state = MemberState::kSuspect;
    entry.m_evidence_at = now;
  }
  return entry;
}

bool MemberTable::UpdateFromMessage(const Member& member,
                                    TimePoint now,
                                    std::uint64_t number) {
  if (member.m_id.m_name == m_options.m_self) {
    return false;
  }
  Entry& entry = FindOrAddEntry(member.m_id.m_name, now);
  if (member.m_id.m_incarnation < entry.m_member.m_id.m_incarnation) {
    return false;
  }
  const bool is_leaving = member.m_state == MemberState::kLeaving;
  const bool was_leaving = entry.m_member.m_state == MemberState::kLeaving;
  const bool is_same = entry.m_member.m_id == member.m_id;
  const MemberState old_state = entry.m_member.m_state;
  entry.m_member = member;
  entry.m_member.m_state = old_state;
  // An older message that arrives late doesn't cancel leaving.
  const MemberState state = is_leaving || (was_leaving && is_same)
                                ? MemberState::kLeaving
                                : MemberState::kLive;
  if (!is_same) {
    BeginRun(&entry);
  }
  entry.m_missed_at = TimePoint::min();
  RecordEvidence(&entry, state, number, now);
  SetState(&entry, state);
  RecordMessageAt(now);
  return true;
}

// A call fails at once while its connection is in back-off, before any message
// can show that this instance isn't cut off.
void MemberTable::RecordMessageAt(TimePoint now) {
  const TimePoint last = std::exchange(m_last_message_at, now);
  if (now == last) {
    return;
  }
  const bool was_cut_off =
      last == TimePoint::min() || now - last > m_options.m_suspect_after;
  for (const MissedReply& missed : std::exchange(m_unconfirmed_misses, {})) {
    if (!was_cut_off) {
      ApplyMissedReply(missed);
    }
  }
}

void MemberTable::RecordEvidence(Entry* entry,
                                 MemberState state,
                                 std::uint64_t number,
                                 TimePoint evidence) {
  const bool is_known = number > 0 && number <= entry->m_evidence_number;
  const bool is_newer =
      !entry->m_has_evidence || (!is_known && evidence > entry->m_evidence_at);
  entry->m_evidence_number = std::max(entry->m_evidence_number, number);
  if (is_newer) {
    entry->m_has_evidence = true;
    entry->m_evidence_at = evidence;
    entry->m_excused = Duration::zero();
  }
  if (state == MemberState::kLeaving ||
      (is_newer && evidence > entry->m_missed_at)) {
    SetState(entry, state);
  }
}

void MemberTable::BeginRun(Entry* entry) {
  entry->m_member.m_state = MemberState::kSuspect;
  entry->m_has_evidence = false;
  entry->m_evidence_number = 0;
  entry->m_missed_at = TimePoint::min();
}

void MemberTable::SetState(Entry* entry, MemberState state) {
  if (entry->m_member.m_state != state) {
    entry->m_member.m_state = state;
    m_changes.push_back({.m_id = entry->m_member.m_id, .m_state = state});
  }
}

void MemberTable::UpdateFromRumor(const Rumor& rumor, TimePoint now) {
  const bool is_stale = rumor.m_age >= SuspectAfter();
  if (rumor.m_id.m_name == m_options.m_self || is_stale) {
    return;
  }
  Entry& entry = FindOrAddEntry(rumor.m_id.m_name, now);
  if (rumor.m_id.m_incarnation < entry.m_member.m_id.m_incarnation) {
    return;
  }
  const bool is_same = entry.m_member.m_id == rumor.m_id;
  if (!is_same) {
    entry.m_member.m_id = rumor.m_id;
    entry.m_member.m_peers = rumor.m_peers;
    BeginRun(&entry);
  }
  const bool was_leaving = entry.m_member.m_state == MemberState::kLeaving;
  RecordEvidence(&entry,
                 rumor.m_leaving || was_leaving ? MemberState::kLeaving
                                                : MemberState::kLive,
                 rumor.m_number, now - rumor.m_age);
}

void MemberTable::UpdateFromMissedReply(const InstanceId& id,
                                        TimePoint sent_at) {
  if (m_last_message_at > sent_at) {
    ApplyMissedReply({.m_id = id, .m_sent_at = sent_at});
    return;
  }
  std::erase_if(m_unconfirmed_misses, [&](const MissedReply& missed) {
    return missed.m_id.m_name == id.m_name;
  });
  m_unconfirmed_misses.push_back({.m_id = id, .m_sent_at = sent_at});
}

void MemberTable::ApplyMissedReply(const MissedReply& missed) {
  const auto found = m_entries.find(missed.m_id.m_name);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  if (entry.m_member.m_id != missed.m_id ||
      entry.m_evidence_at > missed.m_sent_at) {
    return;
  }
  entry.m_missed_at = std::max(entry.m_missed_at, missed.m_sent_at);
  if (entry.m_member.m_state == MemberState::kLive) {
    SetState(&entry, MemberState::kSuspect);
  }
}

void MemberTable::CheckSuspectsOf(const std::vector<std::string>& names,
                                  TimePoint now) {
  for (const std::string& name : names) {
    const auto found = m_entries.find(name);
    if (found != m_entries.end() &&
        found->second.m_member.m_state == MemberState::kLive &&
        now - found->second.m_evidence_at >= m_options.m_suspect_after) {
      m_to_check.insert(name);
    }
  }
}

void MemberTable::Tick(TimePoint now) {
  const Duration since_tick = m_has_ticked ? now - m_last_tick : Duration();
  m_has_ticked = true;
  m_last_tick = now;
  if (since_tick > SuspectAfter() / kPauseDivisor) {
    // This instance was paused; the pause isn't counted as silence.
    for (auto& [name, entry] : m_entries) {
      entry.m_excused =
          std::min(entry.m_excused + since_tick, now - entry.m_evidence_at);
    }
  }
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    Entry& entry = it->second;
    const MemberState state = StateAfterSilence(entry, now);
    if (state == MemberState::kDead &&
        entry.m_member.m_state != MemberState::kDead) {
      entry.m_died_at = now;
    }
    SetState(&entry, state);
    const bool is_expired = state == MemberState::kDead && !entry.m_listed &&
                            now - entry.m_died_at >= m_options.m_forget_after;
    it = is_expired ? m_entries.erase(it) : std::next(it);
  }
}

MemberState MemberTable::StateAfterSilence(const Entry& entry,
                                           TimePoint now) const {
  const Duration silence = now - entry.m_evidence_at - entry.m_excused;
  const MemberState state = entry.m_member.m_state;
  if (state == MemberState::kDead || silence >= SuspectAfter() + DeadAfter()) {
    return MemberState::kDead;
  }
  if (silence >= SuspectAfter() && state == MemberState::kLive) {
    return MemberState::kSuspect;
  }
  return state;
}

std::vector<MemberChange> MemberTable::TakeChanges() {
  return std::exchange(m_changes, {});
}

std::vector<Member> MemberTable::Members() const {
  std::vector<Member> members;
  members.reserve(m_entries.size());
  for (const auto& [name, entry] : m_entries) {
    members.push_back(entry.m_member);
  }
  return members;
}

int MemberTable::LiveCount() const {
  return static_cast<int>(
      std::count_if(m_entries.begin(), m_entries.end(), [](const auto& item) {
        return item.second.m_member.m_state != MemberState::kDead;
      }));
}

std::vector<std::string> MemberTable::Suspects() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : m_entries) {
    if (entry.m_member.m_state == MemberState::kSuspect) {
      names.push_back(name);
    }
  }
  return names;
}

Rumor MemberTable::RumorOf(const Entry& entry, TimePoint now) const {
  return {.m_id = entry.m_member.m_id,
          .m_age = now - entry.m_evidence_at,
          .m_leaving = entry.m_member.m_state == MemberState::kLeaving,
          .m_peers = entry.m_member.m_peers,
          .m_number = entry.m_evidence_number};
}

std::vector<Rumor> MemberTable::RumorsOf(const std::vector<std::string>& names,
                                         TimePoint now) const {
  std::vector<Rumor> rumors;
  for (const std::string& name : names) {
    const auto found = m_entries.find(name);
    if (found != m_entries.end() && found->second.m_has_evidence) {
      rumors.push_back(RumorOf(found->second, now));
    }
  }
  return rumors;
}

std::vector<Member> MemberTable::NextHeartbeatRecipients(std::size_t count) {
  std::vector<Member> recipients;
  for (const std::string& name : std::exchange(m_to_check, {})) {
    const auto found = m_entries.find(name);
    if (found != m_entries.end() && recipients.size() < count) {
      recipients.push_back(found->second.m_member);
    }
  }
  count += recipients.size();
  for (std::size_t i = 0; i < m_entries.size() && recipients.size() < count;
       ++i) {
    const auto next = NextAfter(m_entries, m_last_recipient);
    m_last_recipient = next->first;
    const Entry& entry = next->second;
    if (entry.m_member.m_state != MemberState::kDead || entry.m_listed) {
      recipients.push_back(entry.m_member);
    }
  }
  return recipients;
}

std::vector<Rumor> MemberTable::NextRumors(std::size_t count, TimePoint now) {
  std::vector<Rumor> rumors;
  for (std::size_t i = 0; i < m_entries.size() && rumors.size() < count; ++i) {
    const auto next = NextAfter(m_entries, m_last_rumor);
    m_last_rumor = next->first;
    const Entry& entry = next->second;
    const bool is_fresh = now - entry.m_evidence_at < SuspectAfter();
    if (entry.m_has_evidence && is_fresh) {
      rumors.push_back(RumorOf(entry, now));
    }
  }
  return rumors;
}

}  // namespace guavacross::peers
