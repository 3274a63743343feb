#ifndef GUAVACROSS_POLICY_RECORDED_PEERS_H_
#define GUAVACROSS_POLICY_RECORDED_PEERS_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "guavacross/identity.h"

namespace guavacross::policy {

/// Maximum number of recorded addresses: one for each zone of a deployment with
/// many zones, two for each zone of a small one.
inline constexpr std::size_t kMaxRecordedPeers = 8;

/// The record is rewritten when fewer of the recorded instances than this are
/// live. Three may then fail at once and a new instance still finds one of
/// them.
inline constexpr std::size_t kMinLiveRecordedPeers = 4;

/// The addresses to record in place of `recorded`; none if these are
/// sufficient.
///
/// New instances whose settings name only instances that no longer run find the
/// others through the record, as long as one of its addresses is live. `live`
/// are the live instances, sorted by name, so that neighbours in it share an
/// availability zone; the chosen ones are spread evenly over the list. Pure.
inline std::vector<Endpoint> PeersToRecord(
    const std::vector<Endpoint>& recorded,
    const std::vector<Endpoint>& live) {
  const auto is_live = [&live](const Endpoint& contact) {
    return std::find(live.begin(), live.end(), contact) != live.end();
  };
  const auto alive = static_cast<std::size_t>(
      std::count_if(recorded.begin(), recorded.end(), is_live));
  if (alive >= std::min(kMinLiveRecordedPeers, live.size())) {
    return {};
  }
  const std::size_t count = std::min(kMaxRecordedPeers, live.size());
  std::vector<Endpoint> chosen;
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(live[i * live.size() / count]);
  }
  return chosen;
}

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_RECORDED_PEERS_H_
