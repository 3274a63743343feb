#include "policy/slot_shares.h"

#include <algorithm>
#include <cmath>

namespace guavacross::policy {

namespace {

// Fraction of the slots that bulk transfers leave free even when no other class
// has requests, for requests that arrive during the transfers.
constexpr double kReservedFromBulk = 0.25;

// Attempts that may be sent beyond a target's slots, so that a slot that
// becomes free isn't idle until the instances have learnt of it.
constexpr int kMaxWaitingOnTarget = 2;

}  // namespace

SlotSource FindSlot(const SlotView& view) {
  const int share = std::max(1, view.m_slots / std::max(1, view.m_instances));
  if (view.m_own < share) {
    return SlotSource::kOwnShare;
  }
  // An instance never exceeds the target's slots: the others may still use
  // their shares. This bounds the total.
  if (view.m_instances <= 1 || view.m_own >= view.m_slots) {
    return SlotSource::kNone;
  }
  if (view.m_unused_by_peers) {
    return SlotSource::kBorrowed;
  }
  if (view.m_fresh) {
    const int allowed = view.m_slots + kMaxWaitingOnTarget;
    // Each other instance may have sent as many since; half of them are assumed
    // to have done so.
    const int unseen_attempts =
        view.m_attempts_since_report * view.m_instances / 2;
    return view.m_own + view.m_peer_attempts + unseen_attempts + 1 <= allowed
               ? SlotSource::kBorrowed
               : SlotSource::kNone;
  }
  return SlotSource::kNone;
}

int BulkLimit(int total_slots,
              int instances,
              double weight_share,
              bool others_idle) {
  const double share = others_idle
                           ? std::max(weight_share, 1 - kReservedFromBulk)
                           : weight_share;
  const double own_slots =
      static_cast<double>(total_slots) / std::max(1, instances);
  return std::max(1, static_cast<int>(std::ceil(own_slots * share)));
}

}  // namespace guavacross::policy
