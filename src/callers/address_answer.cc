#include "callers/address_answer.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <algorithm>
#include <cmath>
#include <functional>

namespace guavacross::callers {

namespace {

// Mean load of the caller's zone, 0 to 1, above which requests spill over to
// other zones.
constexpr double kSpilloverStartLoad = 0.7;

// Lower bound of a member's free capacity, 0 to 1, so that a fully loaded
// member still gets some weight.
constexpr double kMinFreeCapacity = 0.05;

constexpr int kWeightScale = 100;

double FreeCapacity(const Member& member) {
  return std::clamp(1 - member.m_load, kMinFreeCapacity, 1.0);
}

// Returns the live members of the caller's region, or of all regions if it has
// none.
std::vector<const Member*> Candidates(const std::vector<Member>& members,
                                      const std::string& region) {
  std::vector<const Member*> live;
  for (const Member& member : members) {
    if (member.m_state == MemberState::kLive) {
      live.push_back(&member);
    }
  }
  const auto in_region = [&region](const Member* member) {
    return member->m_region == region;
  };
  if (std::any_of(live.begin(), live.end(), in_region)) {
    std::erase_if(live, std::not_fn(in_region));
  }
  return live;
}

// Returns the factor, 0 to 1, by which the weights of members outside of the
// caller's zone are scaled, given the members in that zone.
double SpilloverFactor(const std::vector<const Member*>& same_zone_members) {
  if (same_zone_members.empty()) {
    return 1;
  }
  double load = 0;
  for (const Member* member : same_zone_members) {
    load += member->m_load / static_cast<double>(same_zone_members.size());
  }
  return std::clamp((load - kSpilloverStartLoad) / (1 - kSpilloverStartLoad),
                    0.0, 1.0);
}

}  // namespace

std::vector<Member> AdvertisedMembers(std::vector<Member> members,
                                      const Member& self,
                                      bool self_leaving) {
  const auto is_self = [&self](const Member& member) {
    return member.m_callers == self.m_callers;
  };
  if (self_leaving) {
    std::erase_if(members, is_self);
  } else if (std::none_of(members.begin(), members.end(), is_self)) {
    members.push_back(self);
  }
  return members;
}

std::vector<WeightedAddress> WeighAddresses(const std::vector<Member>& members,
                                            const CallerLocation& caller) {
  std::vector<const Member*> candidates = Candidates(members, caller.m_region);
  const auto first_other_zone = std::stable_partition(
      candidates.begin(), candidates.end(), [&caller](const Member* member) {
        return member->m_zone == caller.m_zone;
      });
  const double spillover =
      SpilloverFactor({candidates.begin(), first_other_zone});
  std::vector<WeightedAddress> addresses;
  for (const Member* member : candidates) {
    const double share = member->m_zone == caller.m_zone ? 1 : spillover;
    const double weight = kWeightScale * FreeCapacity(*member) * share;
    addresses.push_back({.m_address = member->m_callers,
                         .m_zone = member->m_zone,
                         .m_weight = static_cast<int>(std::lround(weight))});
  }
  return addresses;
}

std::string AddressAnswerBody(const std::string& service,
                              const std::vector<WeightedAddress>& addresses,
                              Duration lifetime,
                              const std::string& identity) {
  QJsonArray list;
  for (const WeightedAddress& address : addresses) {
    QJsonObject entry;
    entry["address"] = QString::fromStdString(ToString(address.m_address));
    entry["zone"] = QString::fromStdString(address.m_zone);
    entry["weight"] = address.m_weight;
    list.append(entry);
  }
  QJsonObject answer;
  answer["service"] = QString::fromStdString(service);
  answer["addresses"] = list;
  answer["keep_for_ms"] = static_cast<qint64>(
      std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count());
  if (!identity.empty()) {
    answer["identity"] = QString::fromStdString(identity);
  }
  return QJsonDocument(answer).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace guavacross::callers
