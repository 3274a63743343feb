#ifndef GUAVACROSS_MEMBERSHIP_H_
#define GUAVACROSS_MEMBERSHIP_H_

#include <string>
#include <string_view>
#include <vector>

#include "guavacross/identity.h"

namespace guavacross {

/// An entry instance's entry in the platform's instance list.
struct ListedInstance {
  std::string m_name;
  std::string m_region;
  std::string m_zone;
  Endpoint m_callers;
  Endpoint m_peers;
  bool m_leaving = false;

  bool operator==(const ListedInstance&) const = default;
};

enum class MemberState { kLive, kSuspect, kLeaving, kDead };

/// The state's name on pages and in logs.
constexpr std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      break;
  }
  return "dead";
}

/// What this instance knows of an entry instance from the instance list and
/// from heartbeats.
struct Member {
  InstanceId m_id;
  std::string m_region;
  std::string m_zone;
  Endpoint m_callers;
  Endpoint m_peers;
  /// Where it accepts requests that peers pass on; port 0 if it doesn't.
  Endpoint m_relay;
  MemberState m_state = MemberState::kLive;
  /// Share of the instance's slots in use, 0 to 1.
  double m_load = 0;
  /// Digest and highest version of the sections in force on that instance.
  std::uint64_t m_config_digest = 0;
  std::uint64_t m_config_version = 0;

  bool operator==(const Member&) const = default;
};

}  // namespace guavacross

#endif  // GUAVACROSS_MEMBERSHIP_H_
