#ifndef GUAVACROSS_ROUTING_TARGET_POOL_H_
#define GUAVACROSS_ROUTING_TARGET_POOL_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "guavacross/routing.h"
#include "policy/profile.h"
#include "policy/random.h"
#include "policy/target_choice.h"
#include "routing/target.h"

namespace guavacross::routing {

/// What came of a choice.
struct Choice {
  /// The target to send to, or null.
  Target* m_target = nullptr;
  /// Without a target: whether one may be had by waiting.
  bool m_worth_waiting = false;
};

/// The targets of one service, and the choice among them. Not thread safe.
class TargetPool {
 public:
  /// `options` must outlive the pool.
  TargetPool(const RouterOptions& options, std::uint64_t seed);

  /// Puts the configured targets in force. Targets that are added to a running
  /// pool start slowly; those of the first configuration don't.
  void Configure(std::shared_ptr<const ServiceConfig> config, TimePoint now);

  /// Live instances, this one included.
  void SetInstances(int instances) { m_instances = instances; }

  /// Chooses a target for an attempt. Targets in `avoid` are used only if all
  /// others are out of question.
  Choice Choose(const std::vector<std::string>& avoid, TimePoint now);

  /// What is asked of a target that is chosen by what the targets tell.
  enum class Demand {
    /// It has told of room and usual speed within some milliseconds.
    kGood,
    /// It has told of room within some milliseconds: it isn't dark.
    kMeasured,
    kAny,
  };

  /// Chooses by what the targets have just told. Without a target that meets
  /// the demand it may be worth asking more of them first.
  Choice ChooseMeasured(const std::vector<std::string>& avoid,
                        Demand demand,
                        TimePoint now);

  /// Up to `count` targets that are worth a probe before one is chosen: those
  /// that seem the best and haven't told lately.
  std::vector<Target*> ToMeasure(std::size_t count, TimePoint now);

  /// Books an attempt that is sent to the target.
  void Sent(Target* target, Attempt attempt);
  /// Books the end of an attempt and returns it, or nothing if it isn't known.
  std::optional<Attempt> Ended(Target* target, std::uint64_t attempt_id);

  /// Takes in a count of requests in flight that the target reported at `at`.
  void ReportInFlight(Target* target, int in_flight, TimePoint at);

  /// Takes in what the target says of its run; a new run starts slowly.
  /// @return whether it has started draining.
  bool LearnRun(Target* target, const LoadReport& load, TimePoint now);

  /// Takes in that peers have `in_flight` attempts on a target.
  void PeersReport(Target* target, int in_flight, TimePoint now);

  /// Takes in how slow the target says its machine is.
  void ReportSlowdown(Target* target, double slowdown, TimePoint at);
  double SlowdownOf(const Target& target, TimePoint now) const;

  /// Ejects a target if `verdict` is one too many.
  void Judge(Target* target, policy::Verdict verdict, TimePoint now);

  Target* Find(const std::string& name);
  /// The target that carries an attempt, which may have been taken from the
  /// configuration since; null if none does.
  Target* FindByAttempt(const std::string& name, std::uint64_t attempt_id);
  const std::vector<std::unique_ptr<Target>>& targets() const {
    return m_targets;
  }
  const policy::ProfileParameters& parameters() const { return m_parameters; }

  /// Attempts in flight that were sent after `time`.
  int CountSentAfter(TimePoint time) const;
  /// This instance's attempts in flight on all targets.
  int own_in_flight() const { return m_own_in_flight; }
  int total_slots() const { return m_total_slots; }
  /// The estimate of all instances' attempts in flight over all slots.
  double Utilization() const;
  bool IsPanic(TimePoint now) const;
  bool IsSlowStart(const Target& target, TimePoint now) const;

 private:
  // A target with its cost, while the cheapest is sought.
  struct Offer {
    Target* m_target = nullptr;
    double m_cost = 0;
  };

  bool IsEnabled(Mechanism mechanism) const;
  void RefreshExceptions(TimePoint now);
  bool IsEligible(const Target& target, TimePoint now) const;
  // Whether it takes nothing more, for good.
  static bool IsGone(const Target& target);
  // Whether it is left out for a while after errors.
  bool IsEjected(const Target& target, TimePoint now) const;
  Duration ColdTime(const Target& target) const;
  double Warmth(const Target& target, TimePoint now) const;
  double SlownessOf(const Target& target, TimePoint now) const;
  /// The target's cost, or nothing if no attempt may be sent there now.
  std::optional<double> CostOf(const Target& target, TimePoint now) const;
  Offer BestOfSample(const std::vector<std::string>& avoid, TimePoint now);
  Choice BestOfAll(const std::vector<std::string>& avoid, TimePoint now);
  Choice ChooseBaseline();
  // The cheapest target by what targets have told, of all or of those that have
  // told lately.
  Offer CheapestOfAll(const std::vector<std::string>& avoid, TimePoint now);
  Offer CheapestMeasured(const std::vector<std::string>& avoid, TimePoint now);
  // Takes `target` in place of `best` if it is cheaper.
  void Improve(Target* target, TimePoint now, Offer* best) const;
  bool MayTake(const Target& target,
               const std::vector<std::string>& avoid,
               TimePoint now) const;
  bool AnyEligible(const std::vector<std::string>& avoid, TimePoint now);
  double MeasuredCostOf(const Target& target, TimePoint now) const;
  bool IsMeasured(const Target& target, TimePoint now) const;
  // Visits up to `most` targets in their order, from a random one on, until
  // `visit` returns false.
  void ForEachFromRandom(std::size_t most,
                         const std::function<bool(Target*)>& visit);

  const RouterOptions& m_options;
  std::shared_ptr<const ServiceConfig> m_config;
  policy::ProfileParameters m_parameters;
  std::vector<std::unique_ptr<Target>> m_targets;
  std::unordered_map<std::string, Target*> m_by_name;
  // Those that have told of their load lately, so that a request needn't look
  // at all targets.
  std::vector<Target*> m_measured;
  policy::Random m_random;
  std::size_t m_next_in_turn = 0;
  int m_instances = 1;
  int m_own_in_flight = 0;
  int m_total_slots = 0;
  // Average over the targets of the other instances' attempts in flight.
  double m_usual_others = 0;
  // Average over the slowdowns that targets tell.
  double m_usual_slowdown = 1;
  // No target is ejected or in slow start after these times; while one is, the
  // flags say whether so many are that it has to be overlooked.
  TimePoint m_ejections_until = TimePoint::min();
  TimePoint m_cold_until = TimePoint::min();
  bool m_panic = false;
  // No target that may be used answers probes, so that silence is overlooked.
  bool m_all_silent = false;
  bool m_all_cold = false;
};

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_TARGET_POOL_H_
