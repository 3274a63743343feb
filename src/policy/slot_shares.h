#ifndef GUAVACROSS_POLICY_SLOT_SHARES_H_
#define GUAVACROSS_POLICY_SLOT_SHARES_H_

/// How the instances divide a target's slots without asking each other.
///
/// An instance may always have one attempt on a target, so that none is locked
/// out. It goes beyond that only on evidence: a young report of the target,
/// used a bounded number of times, that shows at most its slots in flight
/// (fewer for each use, since the others use their reports too), or peers that
/// tell that they don't use it. Without evidence it keeps to an equal share.
/// What the instances send before they see each other's attempts comes on top,
/// so that in sum a target sees at most its slots and one attempt per instance.
/// The attempts beyond the slots wait on the target, in the order in which they
/// came from all instances, which is fairer than waiting in one instance.
namespace guavacross::policy {

/// One target's slots as one instance sees them.
struct SlotView {
  int m_slots = 1;
  /// Live instances, this one included.
  int m_instances = 1;
  int m_own = 0;
  /// Other instances' attempts as of the last report.
  int m_others = 0;
  /// Whether that report is young and not used up.
  bool m_fresh = false;
  /// Own attempts sent since that report.
  int m_uses = 0;
  /// Whether peers tell that they have nothing in flight there.
  bool m_unused_by_peers = false;

  bool operator==(const SlotView&) const = default;
};

/// Whose slot another attempt on a target would take.
enum class SlotClaim {
  /// One of this instance's share.
  kShare,
  /// One that the other instances leave unused.
  kBorrowed,
  /// None is to be had.
  kNone,
};

/// The slot that the next attempt on the target may take. Pure.
SlotClaim ClaimSlot(const SlotView& view);

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
