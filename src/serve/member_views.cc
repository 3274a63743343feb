#include "serve/member_views.h"

#include <map>
#include <utility>

#include "callers/address_answer.h"

namespace guavacross::serve {

std::vector<ListedInstance> ToListedInstances(
    const std::vector<Endpoint>& addresses,
    const Endpoint& self) {
  std::vector<ListedInstance> listed;
  for (const Endpoint& address : addresses) {
    if (address != self) {
      ListedInstance& instance = listed.emplace_back();
      instance.m_name = ToString(address);
      instance.m_peers = address;
    }
  }
  return listed;
}

std::vector<std::string> LiveNames(const std::vector<Member>& members) {
  std::vector<std::string> names;
  for (const Member& member : members) {
    if (member.m_state == MemberState::kLive) {
      names.push_back(member.m_id.m_name);
    }
  }
  return names;
}

std::vector<std::string> PossibleNames(const std::vector<Member>& members) {
  std::vector<std::string> names;
  for (const Member& member : members) {
    const bool is_possible = member.m_state == MemberState::kLive ||
                             member.m_state == MemberState::kSuspect;
    if (is_possible && member.m_id.m_incarnation != 0) {
      names.push_back(member.m_id.m_name);
    }
  }
  return names;
}

std::vector<Endpoint> LivePeerAddresses(const std::vector<Member>& members,
                                        const Member& self) {
  std::map<std::string, Endpoint> live{{self.m_id.m_name, self.m_peers}};
  for (const Member& member : members) {
    if (member.m_state == MemberState::kLive) {
      live.emplace(member.m_id.m_name, member.m_peers);
    }
  }
  std::vector<Endpoint> addresses;
  for (const auto& [name, address] : live) {
    addresses.push_back(address);
  }
  return addresses;
}

std::vector<InstancePlace> LivePlaces(const std::vector<Member>& members,
                                      const Member& self) {
  std::vector<InstancePlace> places{
      {.m_name = self.m_id.m_name, .m_zone = self.m_zone}};
  for (const Member& member : members) {
    // A suspect member is usually only slow; its targets stay assigned to it. A
    // seed that hasn't answered is only an address.
    if (member.m_id.m_incarnation == 0) {
      continue;
    }
    if (member.m_state == MemberState::kLive ||
        member.m_state == MemberState::kSuspect) {
      places.push_back({.m_name = member.m_id.m_name, .m_zone = member.m_zone});
    }
  }
  return places;
}

std::vector<RelayPeer> RelayPeers(const std::vector<Member>& members) {
  std::vector<RelayPeer> peers;
  for (const Member& member : members) {
    if (member.m_state == MemberState::kLive && member.m_relay.m_port != 0 &&
        member.m_config_version > 0) {
      peers.push_back({.m_name = member.m_id.m_name,
                       .m_zone = member.m_zone,
                       .m_address = member.m_relay,
                       .m_load = member.m_load});
    }
  }
  return peers;
}

std::vector<Endpoint> CallerAddresses(std::vector<Member> members,
                                      const Member& self,
                                      bool self_ready,
                                      const std::string& region,
                                      const std::string& zone) {
  std::erase_if(members, [](const Member& member) {
    return member.m_config_version == 0;
  });
  members = callers::AdvertisedMembers(std::move(members), self, !self_ready);
  std::vector<Endpoint> addresses;
  for (const callers::WeightedAddress& each :
       callers::WeighAddresses(members, {.m_region = region, .m_zone = zone})) {
    addresses.push_back(each.m_address);
  }
  return addresses;
}

}  // namespace guavacross::serve
