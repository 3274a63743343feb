#include "routing/relays.h"

#include <algorithm>

#include "policy/relay_choice.h"
#include "policy/waiting.h"
#include "util/hash.h"

namespace guavacross {

std::uint32_t ServiceHash(const std::string& service) {
  return static_cast<std::uint32_t>(util::Hash(service));
}

}  // namespace guavacross

namespace guavacross::routing {

namespace {

// How long a peer isn't asked after a connection to it has failed.
constexpr Duration kUnusableTime = std::chrono::seconds(1);

// Peers that an instance without a path names to others. Two are enough for the
// names to spread; more divide the requests among more peers.
constexpr std::size_t kMaxReachingPeers = 4;

}  // namespace

Relays::Relays(std::string zone, std::uint64_t seed)
    : m_zone(std::move(zone)), m_random(seed) {}

void Relays::SetPeers(std::vector<RelayPeer> peers) {
  const std::lock_guard lock(m_mutex);
  for (auto& [name, peer] : m_peers) {
    peer.m_listed = false;
  }
  for (RelayPeer& each : peers) {
    Peer& peer = m_peers[each.m_name];
    peer.m_peer = std::move(each);
    peer.m_listed = true;
  }
  std::erase_if(m_peers, [](const auto& entry) {
    return !entry.second.m_listed && entry.second.m_in_flight == 0;
  });
}

void Relays::LearnReach(const std::string& peer,
                        const ReachState& reach,
                        TimePoint now) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_peers.find(peer);
  if (found != m_peers.end()) {
    found->second.m_lost = reach.m_lost;
    found->second.m_impaired = {reach.m_impaired.begin(),
                                reach.m_impaired.end()};
    found->second.m_told_at = now;
    if (reach.m_answer_age.has_value()) {
      found->second.m_answered_at = now - *reach.m_answer_age;
    }
  }
  for (const auto& [name, age] : reach.m_reaching_peers) {
    const auto named = m_peers.find(name);
    if (named == m_peers.end()) {
      continue;
    }
    Peer& other = named->second;
    const TimePoint answered_at = now - age;
    if (!other.m_answered_at.has_value() ||
        answered_at > *other.m_answered_at) {
      other.m_answered_at = answered_at;
      // The answer is newer than its own word.
      other.m_lost = other.m_lost && other.m_told_at > answered_at;
    }
  }
}

void Relays::SetTargets(const std::string& service,
                        std::size_t targets,
                        std::set<std::string> zones) {
  const std::lock_guard lock(m_mutex);
  auto& [old_targets, old_zones] = m_targets[service];
  m_all_targets += targets - old_targets;
  for (const std::string& zone : zones) {
    ++m_services_of_zone[zone];
  }
  for (const std::string& zone : old_zones) {
    if (--m_services_of_zone[zone] == 0) {
      m_services_of_zone.erase(zone);
    }
  }
  old_targets = targets;
  old_zones = std::move(zones);
  m_path.SetTargets(m_all_targets, m_services_of_zone.size());
}

void Relays::Record(const std::vector<policy::PathEvent>& events,
                    TimePoint now) {
  const std::lock_guard lock(m_mutex);
  for (const policy::PathEvent& event : events) {
    m_path.Record(event, now);
  }
  UpdateLost(now);
}

bool Relays::UpdateLost(TimePoint now) {
  const bool was_lost = std::exchange(m_is_lost, m_path.IsLost(now));
  if (was_lost && !m_is_lost) {
    m_recovered_at = now;
  }
  return m_is_lost;
}

std::optional<TimePoint> Relays::LostSince(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  return UpdateLost(now) ? m_path.silent_since() : std::nullopt;
}

std::optional<RelayPeer> Relays::Choose(const std::string& service,
                                        TimePoint since,
                                        const std::vector<std::string>& avoid,
                                        TimePoint now) {
  const std::lock_guard lock(m_mutex);
  const std::uint32_t hash = ServiceHash(service);
  std::vector<policy::RelayCandidate> candidates;
  std::vector<Peer*> peers;
  for (auto& [name, peer] : m_peers) {
    const bool is_avoided =
        std::find(avoid.begin(), avoid.end(), name) != avoid.end();
    candidates.push_back(
        {.m_same_zone = peer.m_peer.m_zone == m_zone,
         .m_load = peer.m_peer.m_load,
         .m_in_flight = peer.m_in_flight,
         .m_lost = peer.m_lost || peer.m_impaired.contains(hash),
         .m_told_at = peer.m_told_at,
         .m_answered_at = peer.m_answered_at,
         .m_excluded =
             is_avoided || !peer.m_listed || now < peer.m_unusable_until});
    peers.push_back(&peer);
  }
  const auto chosen = policy::ChooseRelay(candidates, since, &m_random);
  if (!chosen.has_value()) {
    return std::nullopt;
  }
  ++peers[*chosen]->m_in_flight;
  return peers[*chosen]->m_peer;
}

bool Relays::HasNoPeerAPath(const std::string& service, TimePoint since) {
  const std::lock_guard lock(m_mutex);
  const std::uint32_t hash = ServiceHash(service);
  return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    const bool is_told = peer.m_told_at.has_value() && *peer.m_told_at > since;
    return !peer.m_listed || peer.m_impaired.contains(hash) ||
           (is_told && peer.m_lost);
  });
}

void Relays::Ended(const Grant& grant, AttemptEnd end, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_peers.find(grant.m_peer);
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.m_in_flight = std::max(0, peer.m_in_flight - 1);
  if (end == AttemptEnd::kConnectFailed) {
    peer.m_unusable_until = now + kUnusableTime;
  } else if (end == AttemptEnd::kPeerRefused) {
    peer.m_impaired.insert(ServiceHash(grant.m_service));
  }
}

bool Relays::TakesDirectWay(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  if (m_is_lost || !m_recovered_at.has_value()) {
    return true;
  }
  const double share = policy::DirectShare(now - *m_recovered_at);
  return share >= 1 || m_random.Uniform() < share;
}

Duration Relays::RetryAfter(Duration excess) {
  const std::lock_guard lock(m_mutex);
  return policy::RetryAfter(excess, &m_random);
}

ReachState Relays::State(std::vector<std::uint32_t> impaired, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  ReachState state{.m_lost = UpdateLost(now),
                   .m_impaired = std::move(impaired)};
  if (m_path.answered_at().has_value()) {
    state.m_answer_age = now - *m_path.answered_at();
  }
  if (!state.m_lost) {
    return state;
  }
  std::vector<std::pair<TimePoint, std::string>> reaching;
  for (const auto& [name, peer] : m_peers) {
    if (!peer.m_lost && peer.m_answered_at.has_value() &&
        peer.m_answered_at > m_path.silent_since()) {
      reaching.emplace_back(*peer.m_answered_at, name);
    }
  }
  std::sort(reaching.rbegin(), reaching.rend());
  reaching.resize(std::min(reaching.size(), kMaxReachingPeers));
  for (const auto& [answered_at, name] : reaching) {
    state.m_reaching_peers.emplace_back(name, now - answered_at);
  }
  return state;
}

std::optional<bool> Relays::TakeChange(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  const bool lost = UpdateLost(now);
  return std::exchange(m_reported_lost, lost) != lost ? std::optional(lost)
                                                      : std::nullopt;
}

}  // namespace guavacross::routing
