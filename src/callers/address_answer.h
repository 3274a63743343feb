#ifndef GUAVACROSS_CALLERS_ADDRESS_ANSWER_H_
#define GUAVACROSS_CALLERS_ADDRESS_ANSWER_H_

#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/membership.h"
#include "guavacross/time.h"

namespace guavacross::callers {

/// An entry instance's address with the share of calls it should get.
struct WeightedAddress {
  Endpoint m_address;
  std::string m_zone;
  /// Relative to the other addresses; 0 means only if no other answers.
  int m_weight = 0;

  bool operator==(const WeightedAddress&) const = default;
};

/// Where a caller is.
struct CallerPlace {
  std::string m_region;
  std::string m_zone;

  bool operator==(const CallerPlace&) const = default;
};

/// `members` with this instance, `self`, added if it isn't among them, or left
/// out if it is leaving. It is recognised by its callers' address.
std::vector<Member> MembersToOffer(std::vector<Member> members,
                                   const Member& self,
                                   bool self_leaving);

/// Chooses the addresses that a caller should use.
///
/// Only live members count, those of the caller's region if it has any. Members
/// of the caller's availability zone come first and get all calls until their
/// mean load passes a threshold; from there a growing share spills over to the
/// others. Inside of a zone members are weighted by their free capacity.
std::vector<WeightedAddress> WeighAddresses(const std::vector<Member>& members,
                                            const CallerPlace& caller);

/// The body of an address answer, as JSON. `identity` may be empty.
std::string AddressAnswerBody(const std::string& service,
                              const std::vector<WeightedAddress>& addresses,
                              Duration keep_for,
                              const std::string& identity);

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_ADDRESS_ANSWER_H_
