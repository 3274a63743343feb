#ifndef GUAVACROSS_POLICY_TARGET_CHOICE_H_
#define GUAVACROSS_POLICY_TARGET_CHOICE_H_

#include "policy/zone_choice.h"

/// The cost of a target for the next attempt.
///
/// A target with a free slot is cold and costs about 1; among cold targets the
/// faster is preferred, then the less loaded, then the nearer. A target without
/// a free slot is hot, and its cost grows with the wait there. The distinction
/// follows Prequal's hot/cold rule (NSDI 2024) with the known number of slots
/// in place of a quantile. The pool samples a few targets and takes the
/// cheapest (Mitzenmacher, "The power of two choices in randomized load
/// balancing", 2001), and considers all of them only if no sampled one is good.
namespace guavacross::policy {

/// The properties of a target that determine its cost.
struct Candidate {
  /// Attempts in flight: this instance's own and the other instances' estimated
  /// ones.
  double m_load = 0;
  double m_slots = 1;
  /// The observed latency as a multiple of the usual one.
  double m_slowness = 1;
  /// The service time as a multiple of the usual one, as reported by the
  /// target.
  double m_slowdown = 1;
  bool m_other_zone = false;
  /// What it costs to leave the zone, for a measured target in another one.
  double m_leaving_cost = kMinLeavingCost;
  /// Whether the attempt would exceed this instance's share of the slots.
  bool m_exceeds_share = false;

  bool operator==(const Candidate&) const = default;
};

/// Highest cost of a free slot on a target of usual speed.
inline constexpr double kGoodCost = 1.45;

/// Highest cost of the last free slot on a target of usual speed.
inline constexpr double kLastSlotCost = 1.85;

/// Above this cost, waiting for a slot on another target is better.
inline constexpr double kWaitCost = 2.2;

/// What a request requires of a target; less, the longer it has waited.
enum class Requirement {
  /// A report a few milliseconds old shows free capacity and normal speed.
  kGood,
  /// A report a few milliseconds old shows free capacity, so the target is
  /// responsive.
  kMeasured,
  kAny,
  /// As `kAny`, and probes without an answer say nothing about a target.
  kAnyIgnoringProbes,
};

/// Whether the requests on a service's targets are so many that one more lowers
/// what the targets complete.
///
/// Load pattern: for some seconds more requests arrive than the targets can run
/// within the objective. A nearly full target is slower on all its requests, so
/// that it completes less than one with a slot free. Requests that are sent to
/// nearly full targets nevertheless make every answer late; if they wait at the
/// instances, those that can't be answered in time are refused and the others
/// are in time. Reports that are a little older don't help: of many targets
/// some appear to be free that all instances have chosen since. `utilization`
/// is the share of the slots in use.
bool IsCrowded(double utilization);

/// The highest cost at which a request accepts a target.
///
/// `average_slowdown` is that of the service's targets: one without a recent
/// report is expected to be as slow, so that its free slots are good enough for
/// `kAny`. Pure.
double HighestCost(Requirement requirement,
                   double average_slowdown,
                   bool is_crowded);

/// The cost of sending the next attempt to a target that has reported its own
/// load and speed; about 1 for one of usual speed with free slots. A nearly
/// full target is slower on all its requests, so that the step at that point
/// counts for more than the order among less loaded targets. Pure.
double MeasuredCost(const Candidate& candidate);

/// The cost of sending the next attempt to a target, about 1 for an idle one
/// of usual speed. Pure.
double Cost(const Candidate& candidate);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_TARGET_CHOICE_H_
