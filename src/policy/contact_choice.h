#ifndef GUAVACROSS_POLICY_CONTACT_CHOICE_H_
#define GUAVACROSS_POLICY_CONTACT_CHOICE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "guavacross/identity.h"

namespace guavacross::policy {

/// Most addresses that are recorded: as many zones as a deployment has, twice
/// for a small one.
inline constexpr std::size_t kMaxContacts = 8;

/// With fewer recorded instances alive than this the record is written anew.
/// Three may go at once without a newcomer finding nobody.
inline constexpr std::size_t kMinLiveContacts = 4;

/// The addresses to record in place of `recorded`; none if these will do.
///
/// Answers newcomers whose settings name only instances that are gone: they
/// find the others through the record, as long as one of its addresses is
/// alive. `live` are the instances that are alive, sorted by name, so that
/// neighbours in it share an availability zone; the chosen ones are spread
/// over them. Pure.
inline std::vector<Endpoint> ContactsToRecord(
    const std::vector<Endpoint>& recorded,
    const std::vector<Endpoint>& live) {
  const auto is_live = [&live](const Endpoint& contact) {
    return std::find(live.begin(), live.end(), contact) != live.end();
  };
  const auto alive = static_cast<std::size_t>(
      std::count_if(recorded.begin(), recorded.end(), is_live));
  if (alive >= std::min(kMinLiveContacts, live.size())) {
    return {};
  }
  const std::size_t count = std::min(kMaxContacts, live.size());
  std::vector<Endpoint> chosen;
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(live[i * live.size() / count]);
  }
  return chosen;
}

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_CONTACT_CHOICE_H_
