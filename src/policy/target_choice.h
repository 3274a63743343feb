#ifndef GUAVACROSS_POLICY_TARGET_CHOICE_H_
#define GUAVACROSS_POLICY_TARGET_CHOICE_H_

/// How attractive a target is for the next attempt.
///
/// A target with a free slot is cold and costs about 1; among cold targets the
/// faster goes first, then the emptier, then the nearer. A target without a
/// free slot is hot and costs what waiting there takes. The difference follows
/// Prequal's hot/cold rule (NSDI 2024) with the known number of slots in place
/// of a quantile. The pool samples a few targets and takes the cheapest
/// (Mitzenmacher, "The power of two choices in randomized load balancing",
/// 2001), and looks at all of them only if no sampled one is good.
namespace guavacross::policy {

/// The facts on which one target is judged.
struct Candidate {
  /// Attempts in flight, own ones and the others' estimated ones.
  double m_load = 0;
  double m_slots = 1;
  /// How many times slower than usual the target answers.
  double m_slowness = 1;
  /// How many times longer work takes there by the target's own word.
  double m_slowdown = 1;
  bool m_other_zone = false;
  /// Whether the attempt would take more than this instance's share.
  bool m_borrows = false;

  bool operator==(const Candidate&) const = default;
};

/// A cost up to this is that of a free slot on a target of usual speed.
inline constexpr double kGoodCost = 1.45;

/// Beyond this cost waiting for another target's slot is better.
inline constexpr double kWaitCost = 2.2;

/// The cost of sending the next attempt to a target whose load and speed it has
/// told itself, about 1 for one of usual speed with room. A target that is
/// nearly full works more slowly on everything, so that the step there counts
/// for more than the order among emptier ones. Pure.
double MeasuredCost(const Candidate& candidate);

/// The cost of sending the next attempt to a target, about 1 for an idle one
/// of usual speed. Pure.
double Cost(const Candidate& candidate);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_TARGET_CHOICE_H_
