#include "feed/shared_stream.h"

#include <algorithm>
#include <utility>

namespace guavacross::feed {

namespace {

// Assumed transit time of a peer's message, added to the age of the read that
// it reports. If it were less than the actual time, a read would seem more
// recent each time it is passed on, and no instance would notice that the
// reader has gone.
constexpr Duration kAssumedTransitTime = std::chrono::milliseconds(50);

// How long an instance that can't read a version of a peer, perhaps one of a
// newer build, waits before it requests it again.
constexpr Duration kUnreadableRetryDelay = std::chrono::seconds(5);

// How long an instance waits for a peer that can supply the missing records
// before it reads them from the store itself. Covers one read by the instance
// whose turn it is, and one heartbeat.
constexpr Duration kMaxGapTime = std::chrono::milliseconds(600);

}  // namespace

SharedStream::SharedStream(SharedStreamOptions options,
                           Clock clock,
                           RecordRules rules,
                           SharedStreamHooks hooks)
    : m_options(std::move(options)),
      m_clock(std::move(clock)),
      m_hooks(std::move(hooks)),
      m_epoch_of(rules.m_epoch_of),
      m_records(std::move(rules)),
      m_feed(m_options.m_feed, m_clock, MakeFeedHooks()) {}

void SharedStream::Start() {
  m_feed.Start();
}

FeedHooks SharedStream::MakeFeedHooks() {
  FeedHooks hooks;
  hooks.m_calls = m_hooks.m_calls;
  hooks.m_postpone = [this] { return Postpone(); };
  hooks.m_on_listing = [this](const std::vector<KeyedRecord>& records,
                              std::uint64_t end) {
    const std::uint64_t before = m_records.changed_to();
    const TimePoint now = m_clock.m_now();
    JoinSpell({.m_epoch = EpochOf(end), .m_since = now, .m_until = now});
    m_complete_from = std::max(m_complete_from, end);
    m_deletions_from = m_deletions_from.value_or(end);
    if (m_first_listing == 0 || EpochOf(m_first_listing) < EpochOf(end)) {
      m_first_listing = end;
    }
    Publish(m_records.MergeListing(records, end), before);
  };
  hooks.m_on_records = [this](const std::vector<KeyedRecord>& records) {
    const std::uint64_t before = m_records.changed_to();
    Publish(m_records.Merge(records), before);
  };
  hooks.m_on_answered = [this] {
    const TimePoint now = m_clock.m_now();
    RecordRead(now);
    if (m_feed.listed()) {
      JoinSpell({.m_epoch = EpochOf(m_feed.offset()),
                 .m_since = now,
                 .m_until = now});
    }
  };
  hooks.m_on_reachable = [this](bool reachable, const std::string& why) {
    m_lost_reason = why;
    if (!reachable) {
      // Tells the peers, since another instance may have to take over reading.
      m_hooks.m_on_state_changed();
    }
  };
  return hooks;
}

void SharedStream::Publish(const std::vector<KeyedRecord>& newer,
                           std::uint64_t before) {
  for (const KeyedRecord& record : m_records.TakeUnreadable()) {
    if (m_hooks.m_on_unreadable) {
      m_hooks.m_on_unreadable(record);
    }
  }
  NoteEpoch(before);
  m_hooks.m_on_records(newer, {});
  if (m_records.changed_to() != before) {
    m_hooks.m_on_state_changed();
  }
}

StreamState SharedStream::state() const {
  // Records of an incomplete peer aren't complete here either.
  const std::uint64_t complete_from = m_follows_incomplete
                                          ? std::max(m_complete_from, m_gap_to)
                                          : m_complete_from;
  return {.m_stream = m_options.m_name,
          .m_changed_to = m_records.changed_to(),
          .m_version = m_records.version(),
          .m_read_to = m_feed.offset(),
          .m_complete_from = complete_from,
          .m_deletions_from = m_deletions_from,
          .m_earlier_changed_to = m_earlier_changed_to,
          .m_read_at = m_read_at,
          .m_spell = m_spell,
          .m_reaches_store = m_feed.listed() && m_feed.reachable()};
}

std::vector<KeyedRecord> SharedStream::Since(std::uint64_t from,
                                             std::size_t max_bytes) const {
  return m_records.Since(from, max_bytes);
}

std::vector<KeyedRecord> SharedStream::Deletions(std::size_t max_bytes) const {
  return m_records.Deletions(max_bytes);
}

bool SharedStream::LacksDeletions(const StreamState& peer_state) const {
  return m_deletions_from.has_value() &&
         peer_state.m_deletions_from.has_value() &&
         (*peer_state.m_deletions_from < *m_deletions_from ||
          peer_state.m_earlier_changed_to > m_earlier_changed_to) &&
         peer_state.m_read_to >= m_first_listing;
}

std::optional<std::uint64_t> SharedStream::OnPeerState(
    const std::string& peer,
    const StreamState& peer_state) {
  if (peer_state.m_read_at.has_value()) {
    const TimePoint read_at = *peer_state.m_read_at - kAssumedTransitTime;
    RecordRead(read_at);
    policy::ReadSpell spell = peer_state.m_spell.value_or(policy::ReadSpell{
        .m_epoch = EpochOf(peer_state.m_read_to), .m_since = read_at});
    spell.m_until = read_at;
    JoinSpell(spell);
  }
  m_peer_reaches_store[peer] = peer_state.m_reaches_store;
  std::optional<std::uint64_t> fetch_from;
  if (IsNewerVersion(peer_state.m_version)) {
    m_peer_version = std::max(m_peer_version, peer_state.m_version);
    fetch_from = 0;
  }
  if (m_feed.offset() < peer_state.m_complete_from) {
    m_gap_to = std::max(m_gap_to, peer_state.m_complete_from);
    m_gap_since = m_gap_since.value_or(m_clock.m_now());
    if (m_feed.listed() && m_feed.reachable()) {
      return fetch_from;
    }
    // An instance that can't read takes what the peer has.
    m_follows_incomplete = true;
  }
  if (peer_state.m_changed_to <= m_records.changed_to()) {
    if (!m_follows_incomplete) {
      // There is no significant record up to there.
      m_feed.SkipTo(peer_state.m_read_to);
    }
    return fetch_from;
  }
  if (!IsBehind()) {
    m_behind_to = peer_state.m_changed_to;
    m_behind_since = m_clock.m_now();
  }
  return fetch_from.value_or(m_records.changed_to());
}

bool SharedStream::IsNewerVersion(std::uint64_t version) const {
  const bool is_unreadable =
      version <= m_unreadable_version && m_clock.m_now() < m_unreadable_until;
  return version > m_records.version() && !is_unreadable;
}

bool SharedStream::IsBehind() const {
  return std::max(m_feed.offset(), m_records.changed_to()) < m_behind_to;
}

bool SharedStream::HasPersistentGap() {
  if (m_feed.offset() >= m_gap_to) {
    m_gap_since.reset();
    m_follows_incomplete = false;
  }
  const TimePoint due = m_clock.m_now() - kMaxGapTime;
  return m_gap_since.value_or(TimePoint::max()) <= due ||
         (IsBehind() && m_behind_since <= due);
}

void SharedStream::MergeFromPeer(const PeerRecords& fetched) {
  if (fetched.m_deletions_of.has_value()) {
    m_hooks.m_on_records(m_records.MergeDeletions(fetched.m_records),
                         fetched.m_peer);
    m_deletions_from =
        std::min(m_deletions_from, fetched.m_deletions_of->m_deletions_from);
    m_earlier_changed_to = std::max(
        m_earlier_changed_to, fetched.m_deletions_of->m_earlier_changed_to);
    return;
  }
  const std::uint64_t version = m_records.version();
  const std::uint64_t before = m_records.changed_to();
  const std::vector<KeyedRecord> newer =
      m_records.MergeFromPeer(fetched.m_records);
  NoteEpoch(before);
  m_hooks.m_on_records(newer, fetched.m_peer);
  if (m_records.version() > version) {
    // Most peers aren't sent a heartbeat by the instance that read it.
    m_hooks.m_on_state_changed();
  } else if (fetched.m_from == 0 && !fetched.m_records.empty() &&
             m_records.VersionOf(fetched.m_records) == 0) {
    m_unreadable_version = m_peer_version;
    m_unreadable_until = m_clock.m_now() + kUnreadableRetryDelay;
  }
}

void SharedStream::Tick() {
  const bool lost = m_read_at.has_value() &&
                    m_clock.m_now() - *m_read_at > m_options.m_lost_after;
  if (lost && std::exchange(m_reachable, false)) {
    m_hooks.m_on_reachable(false, m_lost_reason.empty()
                                      ? "no instance has read it"
                                      : m_lost_reason);
  }
}

void SharedStream::RecordRead(TimePoint at) {
  if (!m_read_at.has_value() || at > *m_read_at) {
    m_read_at = at;
  }
  const bool recent = m_clock.m_now() - at <= m_options.m_lost_after;
  if (recent && !std::exchange(m_reachable, true)) {
    m_hooks.m_on_reachable(true, {});
  }
}

void SharedStream::JoinSpell(const policy::ReadSpell& spell) {
  const std::optional<TimePoint> before = OutageEnd();
  m_spell =
      policy::JoinSpells(m_spell, spell, DoCallsFail(), m_options.m_max_pause);
  if (OutageEnd() != before && m_hooks.m_on_outage_end) {
    m_hooks.m_on_outage_end(OutageEnd());
  }
}

std::optional<TimePoint> SharedStream::OutageEnd() const {
  return m_spell.has_value() && m_spell->m_after_outage
             ? std::optional(m_spell->m_since)
             : std::nullopt;
}

std::uint64_t SharedStream::EpochOf(std::uint64_t offset) const {
  return m_epoch_of ? m_epoch_of(offset) : 0;
}

void SharedStream::NoteEpoch(std::uint64_t changed_before) {
  if (EpochOf(m_records.changed_to()) > EpochOf(changed_before)) {
    m_earlier_changed_to = std::max(m_earlier_changed_to, changed_before);
  }
}

bool SharedStream::DoCallsFail() const {
  const std::vector<std::string> peers = m_hooks.m_live_peers();
  return !m_feed.reachable() ||
         std::any_of(peers.begin(), peers.end(), [this](const auto& peer) {
           const auto reaches = m_peer_reaches_store.find(peer);
           return reaches != m_peer_reaches_store.end() && !reaches->second;
         });
}

Duration SharedStream::Postpone() {
  if (HasPersistentGap()) {
    return Duration::zero();
  }
  policy::ReadFailover duty = m_options.m_duty;
  duty.m_rank = Rank();
  const TimePoint now = m_clock.m_now();
  return policy::NextReadTime(duty, m_read_at, now) - now;
}

// The number of live peers with lower names that reach the store. This
// instance's own reachability doesn't count: without further attempts it
// couldn't detect that the store is reachable again.
int SharedStream::Rank() const {
  int rank = 0;
  for (const std::string& peer : m_hooks.m_live_peers()) {
    const auto reads = m_peer_reaches_store.find(peer);
    const bool counts = reads != m_peer_reaches_store.end() && reads->second;
    rank += counts && peer < m_options.m_self ? 1 : 0;
  }
  return rank;
}

}  // namespace guavacross::feed
