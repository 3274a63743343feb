#ifndef GUAVACROSS_CALLERS_ADDRESS_ANSWER_H_
#define GUAVACROSS_CALLERS_ADDRESS_ANSWER_H_

#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/membership.h"
#include "guavacross/time.h"

namespace guavacross::callers {

/// An entry instance's address with its load-balancing weight.
struct WeightedAddress {
  Endpoint m_address;
  std::string m_zone;
  /// Relative to the other addresses; 0 means to use the address only if none
  /// of the others responds.
  int m_weight = 0;

  bool operator==(const WeightedAddress&) const = default;
};

/// The region and availability zone of a caller; empty if unknown.
struct CallerLocation {
  std::string m_region;
  std::string m_zone;

  bool operator==(const CallerLocation&) const = default;
};

/// Returns `members` with this instance, `self`, added if it is missing, or
/// removed if it is leaving. It is identified by its address for callers.
std::vector<Member> AdvertisedMembers(std::vector<Member> members,
                                      const Member& self,
                                      bool self_leaving);

/// Returns the addresses that a caller should use, with their weights.
///
/// Only live members are included, and only those of the caller's region if it
/// has any. Members of the caller's availability zone are listed first and get
/// all requests until their mean load exceeds a threshold; above it, a growing
/// share spills over to the other zones. Within a zone, members are weighted by
/// their free capacity.
std::vector<WeightedAddress> WeighAddresses(const std::vector<Member>& members,
                                            const CallerLocation& caller);

/// Returns the JSON body of an address response, which callers may cache for
/// `lifetime`. `identity` is left out if empty.
std::string AddressAnswerBody(const std::string& service,
                              const std::vector<WeightedAddress>& addresses,
                              Duration lifetime,
                              const std::string& identity);

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_ADDRESS_ANSWER_H_
