#include <algorithm>
#include <chrono>
#include <utility>

#include "peers/peer_codec.h"
#include "peers/peer_network_impl.h"
#include "util/hash.h"

// Heartbeats, the news that they carry, and anti-entropy.
namespace guavacross::peers {

namespace {

constexpr std::size_t kRumorsPerHeartbeat = 4;
constexpr std::size_t kMaxNotices = 256;
// Minimum time between two full lists of notices sent to the same peer.
constexpr Duration kNoticesInterval = std::chrono::seconds(2);
constexpr Duration kRecentSectionLifetime = std::chrono::seconds(10);
constexpr std::size_t kMaxRecentBytesPerMessage = 64 << 10;
constexpr int kMismatchesBeforeRepair = 2;
// Added to the age of what a peer passes on, so that it never seems more recent
// than it is, however often it is passed on.
constexpr Duration kAssumedTransitTime = std::chrono::milliseconds(50);
constexpr std::size_t kMaxPageBytes = 256 << 10;
constexpr std::size_t kMinPageBytes = 4 << 10;

std::size_t BytesOf(const SectionState& section) {
  return section.m_section.size() + section.m_team.size() +
         section.m_toml.size();
}

}  // namespace

void PeerNetwork::Impl::RunHeartbeatInterval() {
  m_heartbeat_timer = m_options.m_clock.m_call_after(
      m_options.m_heartbeat_interval, [this] { RunHeartbeatInterval(); });
  m_local.reset();
  const TimePoint now = m_options.m_clock.m_now();
  while (!m_recent_sections.empty() &&
         now - m_recent_sections.front().m_added_at > kRecentSectionLifetime) {
    m_recent_sections.pop_front();
  }
  m_table.Tick(now);
  OnMembersChanged();
  const auto recipients = m_table.NextHeartbeatRecipients(
      static_cast<std::size_t>(m_options.m_fanout));
  for (const Member& member : recipients) {
    SendHeartbeat(member);
  }
  m_metrics.Report(m_transport->counts(), m_table.Members());
}

void PeerNetwork::Impl::SendHeartbeatsNow() {
  if (m_stopped) {
    return;
  }
  m_local.reset();
  for (const Member& member : m_table.NextHeartbeatRecipients(
           static_cast<std::size_t>(m_options.m_fanout))) {
    SendHeartbeat(member);
  }
}

void PeerNetwork::Impl::SendHeartbeat(const Member& member) {
  proto::PeerRequest request;
  proto::Heartbeat* heartbeat = request.mutable_heartbeat();
  WriteHeartbeat(member.m_id.m_name, heartbeat);
  WriteInFlight(CachedLocalState().m_in_flight, heartbeat);
  for (std::string& name : m_table.Suspects()) {
    heartbeat->add_suspects(std::move(name));
  }
  Send(member, 0, std::move(request),
       [this, to = member.m_id, sent_at = m_options.m_clock.m_now()](
           const std::optional<proto::PeerReply>& reply) {
         if (reply && reply->has_heartbeat()) {
           OnHeartbeat({.m_name = reply->header().from(),
                        .m_incarnation = reply->header().from_incarnation()},
                       reply->heartbeat());
         } else {
           m_table.UpdateFromMissedReply(to, sent_at);
           OnMembersChanged();
         }
       });
}

const LocalState& PeerNetwork::Impl::CachedLocalState() {
  if (!m_local) {
    m_local = m_hooks.m_local_state ? m_hooks.m_local_state() : LocalState{};
  }
  return *m_local;
}

void PeerNetwork::Impl::WriteHeartbeat(const std::string& peer,
                                       proto::Heartbeat* out) {
  const LocalState& local = CachedLocalState();
  out->set_region(m_options.m_region);
  out->set_zone(m_options.m_zone);
  FromEndpoint(m_options.m_callers, out->mutable_callers());
  FromEndpoint(m_options.m_advertised.value_or(m_transport->listen_address()),
               out->mutable_peers());
  if (m_options.m_relay.m_port != 0) {
    FromEndpoint(m_options.m_relay, out->mutable_relay());
  }
  if (m_hooks.m_reach) {
    FromReach(m_hooks.m_reach(), out->mutable_reach());
  }
  out->set_number(++m_last_heartbeat_number);
  out->set_leaving(m_leaving);
  out->set_load(static_cast<float>(local.m_load));
  out->set_config_digest(local.m_config_digest);
  out->set_config_version(local.m_config_version);
  out->set_fold_as_of(local.m_fold_offset);
  out->set_fold_digest(local.m_fold_digest);
  out->set_notices_digest(NoticesDigest());
  for (const feed::StreamState& stream : local.m_streams) {
    // Ages are relative to now: the local state may have been collected a while
    // ago.
    FromStreamState(stream, m_options.m_clock.m_now(), out->add_streams());
  }
  PeerState& peer_state = m_peer_states[peer];
  out->set_members(static_cast<std::uint32_t>(m_table.LiveCount()));
  WriteRumors(peer_state, out);
  if (peer_state.m_notices_pending) {
    WriteNotices(&peer_state, out->mutable_news());
  }
  if (peer_state.m_digest_mismatches > 0) {
    WriteRecentSections(&peer_state, out->mutable_news());
  }
}

// Rumors aren't needed while every member is sent a heartbeat in each interval
// by all others, which it isn't as long as it doesn't know all of them.
void PeerNetwork::Impl::WriteRumors(const PeerState& peer_state,
                                    proto::Heartbeat* out) {
  const std::size_t members = m_table.Members().size();
  if (members <= static_cast<std::size_t>(m_options.m_fanout) &&
      peer_state.m_known_members >=
          static_cast<std::size_t>(m_table.LiveCount())) {
    return;
  }
  const auto rumors =
      m_table.NextRumors(kRumorsPerHeartbeat, m_options.m_clock.m_now());
  for (const Rumor& rumor : rumors) {
    FromRumor(rumor, out->add_rumors());
  }
}

void PeerNetwork::Impl::WriteNotices(PeerState* peer_state, proto::News* out) {
  const TimePoint now = m_options.m_clock.m_now();
  if (peer_state->m_notices_sent_at &&
      now - *peer_state->m_notices_sent_at < kNoticesInterval) {
    return;
  }
  peer_state->m_notices_sent_at = now;
  peer_state->m_notices_pending = false;
  if (m_hooks.m_drains) {
    for (const DrainNotice& notice : m_hooks.m_drains()) {
      if (static_cast<std::size_t>(out->drains_size()) < kMaxNotices) {
        FromDrain(notice, out->add_drains());
      }
    }
  }
  if (m_hooks.m_limits) {
    for (const LimitNotice& notice : m_hooks.m_limits()) {
      if (static_cast<std::size_t>(out->limits_size()) < kMaxNotices) {
        FromLimit(notice, out->add_limits());
      }
    }
  }
  if (m_hooks.m_quarantines) {
    for (const QuarantineNotice& notice : m_hooks.m_quarantines()) {
      if (static_cast<std::size_t>(out->quarantines_size()) < kMaxNotices) {
        FromQuarantine(notice, out->add_quarantines());
      }
    }
  }
}

void PeerNetwork::Impl::WriteRecentSections(PeerState* peer_state,
                                            proto::News* out) {
  std::size_t bytes = 0;
  for (const RecentSection& recent : m_recent_sections) {
    if (recent.m_number <= peer_state->m_last_sent_section) {
      continue;
    }
    bytes += BytesOf(recent.m_section);
    if (bytes > kMaxRecentBytesPerMessage) {
      return;
    }
    FromSection(recent.m_section, out->add_sections());
    peer_state->m_last_sent_section = recent.m_number;
  }
}

// A sum of hashes doesn't depend on the notices' order.
std::uint64_t PeerNetwork::Impl::NoticesDigest() const {
  std::uint64_t digest = 0;
  if (m_hooks.m_drains) {
    for (const DrainNotice& notice : m_hooks.m_drains()) {
      digest +=
          util::Hash(notice.m_incarnation,
                     util::Hash(notice.m_target, util::Hash(notice.m_service)));
    }
  }
  if (m_hooks.m_limits) {
    for (const LimitNotice& notice : m_hooks.m_limits()) {
      digest +=
          util::Hash(std::to_string(notice.m_limit),
                     util::Hash(notice.m_target, util::Hash(notice.m_service)));
    }
  }
  if (m_hooks.m_quarantines) {
    for (const QuarantineNotice& notice : m_hooks.m_quarantines()) {
      digest += util::Hash("quarantine", notice.m_fingerprint);
    }
  }
  return digest;
}

// Returns false if the message is from an older incarnation of the member.
bool PeerNetwork::Impl::OnHeartbeat(const InstanceId& from,
                                    const proto::Heartbeat& heartbeat) {
  const TimePoint now = m_options.m_clock.m_now();
  const Member member{.m_id = from,
                      .m_region = heartbeat.region(),
                      .m_zone = heartbeat.zone(),
                      .m_callers = ToEndpoint(heartbeat.callers()),
                      .m_peers = ToEndpoint(heartbeat.peers()),
                      .m_relay = ToEndpoint(heartbeat.relay()),
                      .m_state = heartbeat.leaving() ? MemberState::kLeaving
                                                     : MemberState::kLive,
                      .m_load = std::clamp<double>(heartbeat.load(), 0, 1),
                      .m_config_digest = heartbeat.config_digest(),
                      .m_config_version = heartbeat.config_version()};
  if (!m_table.UpdateFromMessage(member, now, heartbeat.number())) {
    m_metrics.CountRefusal("old-incarnation");
    return false;
  }
  for (const proto::Rumor& message : heartbeat.rumors()) {
    Rumor rumor = ToRumor(message);
    rumor.m_age += kAssumedTransitTime;
    m_table.UpdateFromRumor(rumor, now);
  }
  m_table.CheckSuspectsOf(
      {heartbeat.suspects().begin(), heartbeat.suspects().end()}, now);
  OnMembersChanged();
  OnNews(from, heartbeat.news());
  OnInFlight(from.m_name, heartbeat);
  if (heartbeat.has_reach() && m_hooks.m_on_reach) {
    ReachState reach = ToReach(heartbeat.reach());
    if (reach.m_answer_age.has_value()) {
      *reach.m_answer_age += kAssumedTransitTime;
    }
    for (auto& [name, age] : reach.m_reaching_peers) {
      age += kAssumedTransitTime;
    }
    m_hooks.m_on_reach(from.m_name, reach);
  }
  m_peer_states[from.m_name].m_known_members = heartbeat.members();
  CompareDigests(from, heartbeat);
  CompareStreams(from, heartbeat);
  return true;
}

void PeerNetwork::Impl::CompareDigests(const InstanceId& from,
                                       const proto::Heartbeat& heartbeat) {
  PeerState& peer_state = m_peer_states[from.m_name];
  if (heartbeat.notices_digest() != NoticesDigest()) {
    peer_state.m_notices_pending = true;
  }
  if (heartbeat.fold_as_of() > 0 && m_hooks.m_on_fold_digest) {
    m_hooks.m_on_fold_digest(heartbeat.fold_as_of(), heartbeat.fold_digest());
  }
  const LocalState& local = CachedLocalState();
  if (heartbeat.config_digest() == local.m_config_digest) {
    peer_state.m_digest_mismatches = 0;
    return;
  }
  ++peer_state.m_digest_mismatches;
  const bool has_no_sections =
      local.m_config_version == 0 && heartbeat.config_version() > 0;
  if (has_no_sections ||
      peer_state.m_digest_mismatches >= kMismatchesBeforeRepair) {
    BeginRepair(from);
  }
}

void PeerNetwork::Impl::OnInFlight(const std::string& peer,
                                   const proto::Heartbeat& heartbeat) {
  if (!heartbeat.has_in_flight() || !m_hooks.m_on_in_flight) {
    return;
  }
  CountsByService& old_counts = m_peer_states[peer].m_in_flight;
  CountsByService counts = m_targets.Read(heartbeat);
  for (const auto& [service, targets] : old_counts) {
    if (!counts.contains(service)) {
      m_hooks.m_on_in_flight(peer, service, {});
    }
  }
  for (const auto& [service, targets] : counts) {
    const auto found = old_counts.find(service);
    if (found == old_counts.end() || found->second != targets) {
      m_hooks.m_on_in_flight(peer, service, targets);
    }
  }
  old_counts = std::move(counts);
}

void PeerNetwork::Impl::OnNews(const InstanceId& from,
                               const proto::News& news) {
  for (const proto::Drain& notice : news.drains()) {
    if (m_hooks.m_on_drain) {
      m_hooks.m_on_drain(ToDrain(notice));
    }
  }
  for (const proto::Limit& notice : news.limits()) {
    if (m_hooks.m_on_limit) {
      LimitNotice limit = ToLimit(notice);
      limit.m_age += kAssumedTransitTime;
      m_hooks.m_on_limit(limit);
    }
  }
  for (const proto::Quarantine& notice : news.quarantines()) {
    if (m_hooks.m_on_quarantine) {
      m_hooks.m_on_quarantine(ToQuarantine(notice));
    }
  }
  for (const proto::Suspect& notice : news.suspects()) {
    if (m_hooks.m_on_suspect) {
      m_hooks.m_on_suspect(ToSuspect(notice));
    }
  }
  if (news.sections_size() > 0 && m_hooks.m_on_sections) {
    std::vector<SectionState> sections;
    for (const proto::Section& section : news.sections()) {
      sections.push_back(ToSection(section));
    }
    m_hooks.m_on_sections(sections);
    m_local.reset();
  }
  if (news.leaving()) {
    m_table.UpdateFromRumor({.m_id = from, .m_leaving = true},
                            m_options.m_clock.m_now());
    OnMembersChanged();
  }
}

void PeerNetwork::Impl::BeginRepair(const InstanceId& peer) {
  if (m_repairing) {
    return;
  }
  m_repairing = true;
  m_is_first_repair = !m_hooks.m_sections || m_hooks.m_sections().empty();
  FetchPage(peer, "");
}

void PeerNetwork::Impl::FetchPage(const InstanceId& peer,
                                  const std::string& after) {
  const auto member = FindMember(peer);
  if (!member) {
    m_repairing = false;
    return;
  }
  std::vector<SectionState> sections;
  if (m_hooks.m_sections) {
    sections = m_hooks.m_sections();
  }
  const std::size_t available =
      m_repair_budget.Available(m_options.m_clock.m_now());
  if (!m_is_first_repair && available < kMinPageBytes) {
    const double missing = static_cast<double>(kMinPageBytes - available);
    m_repair_timer = m_options.m_clock.m_call_after(
        FromSeconds(missing / m_options.m_repair_bytes_per_second),
        [this, peer, after] { FetchPage(peer, after); });
    return;
  }
  proto::PeerRequest request;
  proto::SectionsRequest* wanted = request.mutable_sections();
  for (const std::uint64_t digest : BucketDigests(sections)) {
    wanted->add_bucket_digests(digest);
  }
  wanted->set_after(after);
  wanted->set_max_bytes(static_cast<std::uint32_t>(
      m_is_first_repair ? kMaxPageBytes : std::min(available, kMaxPageBytes)));
  Send(*member, 0, std::move(request),
       [this, peer](const std::optional<proto::PeerReply>& reply) {
         OnPage(peer, reply);
       });
}

void PeerNetwork::Impl::OnPage(const InstanceId& peer,
                               const std::optional<proto::PeerReply>& reply) {
  if (!reply || !reply->has_sections()) {
    m_repairing = false;
    return;
  }
  const proto::SectionsReply& page = reply->sections();
  const std::size_t bytes = page.ByteSizeLong();
  m_metrics.CountRepairedBytes(bytes);
  std::vector<SectionState> sections;
  for (const proto::Section& section : page.sections()) {
    sections.push_back(ToSection(section));
  }
  m_repair_budget.Charge(bytes);
  if (m_hooks.m_on_sections) {
    m_hooks.m_on_sections(sections);
  }
  m_local.reset();
  if (page.more()) {
    FetchPage(peer, page.last_name());
  } else {
    m_repairing = false;
  }
}

}  // namespace guavacross::peers
