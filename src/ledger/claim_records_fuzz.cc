// Decodes arbitrary bytes as a record of the claim stream. A record that
// decodes must survive encoding and decoding, and no attempt of a key may be
// granted to a second holder, whatever is appended after the first claim.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "ledger/claim_fold.h"
#include "ledger/claim_record.h"
#include "util/handle.h"

namespace guavacross::ledger {

namespace {

void CheckRecord(const std::string& data) {
  const auto record = util::Catch([&] { return DecodeClaimRecord(data); });
  if (!record) {
    return;
  }
  const auto again = util::Catch(
      [&] { return DecodeClaimRecord(EncodeClaimRecord(*record.m_value)); });
  if (!again || !(*again.m_value == *record.m_value)) {
    std::abort();
  }
  ClaimFold fold;
  const ApplyTime time{.m_now = TimePoint(std::chrono::hours(100)),
                       .m_wall_now = WallTime(std::chrono::hours(100))};
  fold.Apply(1, *record.m_value, time);
  ClaimRecord late = *record.m_value;
  late.m_claimant.m_name += "-late";
  late.m_ends.clear();
  late.m_carried.clear();
  for (const KeyHash& granted : fold.Apply(2, late, time).m_granted) {
    // Only an attempt after one that its own holder ended may be granted.
    bool ended = false;
    for (const NotRunEnd& end : record.m_value->m_ends) {
      ended = ended || end.m_key == granted;
    }
    for (const CarriedClaim& carried : record.m_value->m_carried) {
      ended = ended ||
              (carried.m_claim.m_key == granted && carried.m_ended_not_run);
    }
    if (!ended) {
      std::abort();
    }
  }
}

}  // namespace

}  // namespace guavacross::ledger

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  guavacross::ledger::CheckRecord(
      std::string(reinterpret_cast<const char*>(data), size));
  return 0;
}
