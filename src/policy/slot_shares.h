#ifndef GUAVACROSS_POLICY_SLOT_SHARES_H_
#define GUAVACROSS_POLICY_SLOT_SHARES_H_

/// How the instances divide a target's slots without asking each other.
///
/// An instance may always have one attempt on a target, so that none is locked
/// out. It goes beyond that only on evidence that a slot is free: a fresh
/// report of the target, used a bounded number of times, or peers that tell
/// that they don't use it. Without evidence it keeps to an equal share. In sum
/// a target sees at most its slots and about one attempt per instance.
namespace guavacross::policy {

/// One target's slots as one instance sees them.
struct SlotView {
  int m_slots = 1;
  /// Live instances, this one included.
  int m_instances = 1;
  int m_own = 0;
  /// The estimate of other instances' attempts.
  double m_others = 0;
  /// Whether the estimate rests on a fresh reading.
  bool m_fresh = false;
  /// Whether peers tell that they have nothing in flight there.
  bool m_unused_by_peers = false;

  bool operator==(const SlotView&) const = default;
};

/// Whether another attempt may be sent to the target. Pure.
bool MaySend(const SlotView& view);

/// The most attempts of bulk classes that one instance may have in flight, out
/// of `total_slots` of the service: bulk transfers hold their slots for long,
/// so fair queuing alone would let them take every slot.
///
/// @param weight_share the bulk classes' part of all classes' weights.
/// @param others_idle whether no other class has had requests lately.
int BulkLimit(int total_slots,
              int instances,
              double weight_share,
              bool others_idle);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_SLOT_SHARES_H_
