#ifndef GUAVACROSS_POLICY_SLOT_SHARES_H_
#define GUAVACROSS_POLICY_SLOT_SHARES_H_

/// Division of a target's slots among the instances without coordination.
///
/// An instance may always have one attempt on a target, so that none is
/// starved. It exceeds its equal share only with evidence of free slots: either
/// a recent report of the target, used a limited number of times, that shows no
/// more attempts in flight than slots (fewer for each use, since the other
/// instances use their reports too), or peers that report no use of the target.
/// Attempts that the instances send before they see each other's come on top,
/// so that in total a target gets at most as many attempts as it has slots,
/// plus one per instance. The excess attempts wait on the target, in order of
/// arrival from all instances, which is fairer than waiting in one instance.
namespace guavacross::policy {

/// One instance's view of a target's slots.
struct SlotView {
  int m_slots = 1;
  /// Live instances, this one included.
  int m_instances = 1;
  int m_own = 0;
  /// Other instances' attempts as of the last report.
  int m_peer_attempts = 0;
  /// Whether that report is recent and may still be used for an attempt.
  bool m_fresh = false;
  /// Own attempts sent since that report.
  int m_attempts_since_report = 0;
  /// Whether the peers report that they have no attempts on the target.
  bool m_unused_by_peers = false;

  bool operator==(const SlotView&) const = default;
};

/// The kind of slot that another attempt on a target would take.
enum class SlotSource {
  /// A slot of this instance's own share.
  kOwnShare,
  /// A slot that the other instances don't use.
  kBorrowed,
  /// No slot is available.
  kNone,
};

/// The slot that the next attempt on the target may take. Pure.
SlotSource FindSlot(const SlotView& view);

/// Maximum number of attempts of bulk classes that one instance may have in
/// flight, out of `total_slots` of the service: bulk transfers hold their slots
/// for a long time, so fair queuing alone would let them take every slot.
///
/// @param weight_share the bulk classes' fraction of the weights of all
/// classes.
/// @param others_idle whether no other class has had requests recently.
int BulkLimit(int total_slots,
              int instances,
              double weight_share,
              bool others_idle);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_SLOT_SHARES_H_
