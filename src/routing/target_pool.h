#ifndef GUAVACROSS_ROUTING_TARGET_POOL_H_
#define GUAVACROSS_ROUTING_TARGET_POOL_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "guavacross/routing.h"
#include "policy/profile.h"
#include "policy/random.h"
#include "policy/target_choice.h"
#include "policy/target_subset.h"
#include "policy/zone_choice.h"
#include "routing/target.h"

namespace guavacross::routing {

/// Result of choosing a target.
struct Choice {
  /// The chosen target, or null.
  Target* m_target = nullptr;
  /// If there is no target: whether one may become available.
  bool m_worth_waiting = false;
  /// If no target takes requests because of pauses that targets asked for or of
  /// limits that they named: when the first takes one again.
  std::optional<TimePoint> m_room_at;
};

/// The targets of one service, and the choice between them. Not thread safe.
class TargetPool {
 public:
  /// `options` must outlive the pool.
  TargetPool(const RouterOptions& options, std::uint64_t seed);

  /// Applies a configuration. Targets added to a running pool go through slow
  /// start, and those of the first configuration don't, except where a backend
  /// server's registration says whether it still warms up.
  void Configure(std::shared_ptr<const ServiceConfig> config, TimePoint now);

  /// Sets the number of live instances, this one included.
  void SetInstances(int instances) { m_instances = instances; }

  /// Sets the live instances among which the targets and their request limits
  /// are divided. Without them no target is preferred, and each limit is
  /// divided evenly by the number of instances.
  void SetView(std::shared_ptr<const policy::InstanceView> view, TimePoint now);

  /// Chooses a target for an attempt. Targets in `avoid` are used only if no
  /// other is eligible.
  Choice Choose(const std::vector<std::string>& avoid, TimePoint now);

  /// Chooses by the targets' latest load reports. If no target meets the
  /// requirement, probing more targets may find one.
  Choice ChooseMeasured(const std::vector<std::string>& avoid,
                        policy::Requirement requirement,
                        const policy::ZoneTerms& terms,
                        TimePoint now);

  /// Records how long the target took to answer a probe.
  void RecordProbeTime(const Target& target, Duration time, TimePoint now);

  /// Whether a target of this instance's availability zone takes requests now.
  bool HasLocalTarget(TimePoint now) const;

  /// Up to `count` targets to probe before one is chosen: the cheapest of those
  /// without a recent load report, for a request with these terms.
  std::vector<Target*> TargetsToProbe(std::size_t count,
                                      const policy::ZoneTerms& terms,
                                      TimePoint now);

  /// Records an attempt sent to the target.
  void Sent(Target* target, Attempt attempt);
  /// Records the end of an attempt.
  ///
  /// @return the attempt, or nothing if it is unknown.
  std::optional<Attempt> Ended(Target* target, std::uint64_t attempt_id);

  /// Records the number of requests in flight that the target reported at `at`.
  void ReportInFlight(Target* target, int in_flight, TimePoint at);

  /// Records the incarnation and the draining state that the target reports. A
  /// new incarnation goes through slow start.
  ///
  /// @return whether the target has started draining.
  bool UpdateRunState(Target* target, const LoadReport& load, TimePoint now);

  /// Records a peer's notice that a run of a target drains. The run need not be
  /// known here yet.
  ///
  /// @return whether the target has started draining.
  bool LearnDrain(const std::string& name, const std::string& incarnation);

  /// Records the request limit in an answer of the target to a request or probe
  /// that was sent at `asked_at`; see `policy::NamedLimit::UpdateFromTarget`.
  bool UpdateLimit(Target* target,
                   double limit,
                   TimePoint asked_at,
                   TimePoint now);
  /// Records a peer's notice of a target's limit.
  ///
  /// @return whether the limit has changed.
  bool LearnLimit(const LimitNotice& notice, TimePoint now);
  /// The limits that are or were named by targets in use.
  std::vector<LimitNotice> Limits(TimePoint now) const;

  /// Processes what a health check says of how long the target stays cold.
  void UpdateColdSpell(Target* target,
                       std::optional<Duration> left,
                       TimePoint now);

  /// Whether a target takes requests now, apart from those in `avoid`.
  bool AnyEligible(const std::vector<std::string>& avoid, TimePoint now);
  /// If only pauses and limits of targets prevent requests: when the request
  /// after the next `ahead` ones may be sent.
  std::optional<TimePoint> RoomAt(int ahead, TimePoint now);

  /// Records that peers have `in_flight` attempts on a target.
  void PeersReport(Target* target, int in_flight, TimePoint now);

  /// Records the slowdown of its machine that the target reported at `at`.
  void ReportSlowdown(Target* target, double slowdown, TimePoint at);
  /// The estimate of the target's slowdown, from its reports.
  double SlowdownOf(const Target& target, TimePoint now) const;

  /// Records the verdict on an attempt, and ejects the target after too many
  /// bad ones.
  void RecordVerdict(Target* target, policy::Verdict verdict, TimePoint now);

  Target* Find(const std::string& name);
  /// The target that an attempt was sent to, even if it has since been removed
  /// from the configuration; null if the attempt is unknown.
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
  /// Estimated attempts in flight of all instances, divided by all slots.
  double Utilization() const;
  /// See `policy::IsCrowded`; false if no target has reported its load lately.
  bool IsCrowded(TimePoint now) const;
  bool IsPanic(TimePoint now) const;
  /// Whether half of the targets in use or more didn't answer their last probe.
  bool AreMostUnresponsive() const;
  bool IsSlowStart(const Target& target, TimePoint now) const;

 private:
  // A target and its cost, while looking for the cheapest one.
  struct RankedTarget {
    Target* m_target = nullptr;
    double m_cost = 0;
  };

  bool IsEnabled(Mechanism mechanism) const;
  // Ranks the targets anew after a change of targets or instances.
  void UpdateSubset();
  // The cost of the best target outside the subset that could be probed.
  double CheapestOutsideCost() const;
  void UpdateExclusionOverrides(TimePoint now);
  bool IsEligible(Target* target, TimePoint now) const;
  // Whether the target gets no new attempts any more: it has been removed or
  // replaced, or is draining.
  static bool IsRetired(const Target& target);
  // Whether the target is temporarily excluded after errors.
  bool IsEjected(const Target& target, TimePoint now) const;
  Duration SlowStartDuration(const Target& target) const;
  double SlowStartWeight(const Target& target, TimePoint now) const;
  double SlownessOf(const Target& target, TimePoint now) const;
  /// The target's cost, or nothing if it can't take an attempt now.
  std::optional<double> CostOf(const Target& target, TimePoint now) const;
  RankedTarget BestOfSample(const std::vector<std::string>& avoid,
                            TimePoint now);
  Choice BestOfAll(const std::vector<std::string>& avoid, TimePoint now);
  Choice ChooseBaseline();
  // The cheapest target by the load reports, of all targets or of those with a
  // recent report.
  RankedTarget CheapestOfAll(const std::vector<std::string>& avoid,
                             const policy::ZoneTerms& terms,
                             TimePoint now);
  RankedTarget CheapestMeasured(const std::vector<std::string>& avoid,
                                const policy::ZoneTerms& terms,
                                TimePoint now);
  // Takes `target` in place of `best` if it is cheaper.
  void ReplaceIfCheaper(Target* target,
                        const policy::ZoneTerms& terms,
                        TimePoint now,
                        RankedTarget* best) const;
  bool IsSelectable(Target* target,
                    const std::vector<std::string>& avoid,
                    TimePoint now) const;
  double MeasuredCostOf(const Target& target,
                        const policy::ZoneTerms& terms,
                        TimePoint now) const;
  // How much longer the way to the target's zone and back is than within this
  // instance's zone.
  Duration ExtraTime(const Target& target) const;
  std::size_t ZoneIndex(const std::string& zone);
  bool IsMeasured(const Target& target, TimePoint now) const;
  // Whether neither a pause nor a limit keeps the target from a request.
  static bool HasRoom(Target* target, TimePoint now);
  // The cheapest of the targets with a limit that may be sent a request.
  RankedTarget CheapestLimited(const std::vector<std::string>& avoid,
                               const policy::ZoneTerms& terms,
                               TimePoint now);
  // This instance's share of a limit, in requests per second, that a target
  // sets for all instances together.
  double ShareOf(const Target& target, double limit) const;
  // Whether the service limits the rate of requests to cold targets.
  bool LimitsColdTargets() const {
    return m_config->m_slow_start.m_max_rate > 0;
  }
  // Sets the share of a target whose cold spell has just begun.
  void StartColdShare(Target* target, TimePoint now);
  // Processes the entry of a target, which is `is_new` to a running pool.
  void UpdateColdSpellFromEntry(Target* target,
                                const TargetConfig& before,
                                bool is_new,
                                TimePoint now);
  // Divides a target's limit after it has changed from `before`.
  void ApplyLimit(Target* target, double before, TimePoint now);
  // Divides the limits anew after a change of limits, targets or instances.
  void UpdateLimitShares(TimePoint now);
  // Remembers that a run of a target drains, also if its entry is removed and
  // comes back.
  void RememberDrain(const std::string& name, const std::string& incarnation);
  bool CanBeProbed(Target* target, TimePoint now) const;
  // Visits up to `max_targets` targets in order from a random one on, until
  // `visit` returns false.
  void VisitFromRandomStart(std::size_t max_targets,
                            const std::function<bool(Target*)>& visit);

  const RouterOptions& m_options;
  std::shared_ptr<const ServiceConfig> m_config;
  policy::ProfileParameters m_parameters;
  std::vector<std::unique_ptr<Target>> m_targets;
  std::unordered_map<std::string, Target*> m_by_name;
  // Targets with a recent load report; spares a request the search through all
  // targets.
  std::vector<Target*> m_recently_measured;
  // Targets of the tiers `kNear` and `kFar`.
  std::vector<Target*> m_subset;
  // Targets that name a limit.
  std::vector<Target*> m_limited;
  // The availability zones of targets and, first, of this instance, with the
  // shortest times of probes.
  std::vector<std::pair<std::string, policy::RecentMinimum>> m_zones;
  std::shared_ptr<const policy::InstanceView> m_view;
  TimePoint m_started_at;
  // Names and incarnations of runs that drain, oldest first.
  std::deque<std::pair<std::string, std::string>> m_drained_runs;
  policy::Random m_random;
  std::size_t m_next_round_robin = 0;
  int m_instances = 1;
  int m_own_in_flight = 0;
  int m_total_slots = 0;
  // Moving average over the targets of the other instances' attempts in flight.
  double m_average_others = 0;
  // When a target last reported its load.
  TimePoint m_reported_at = TimePoint::min();
  // Moving average of the slowdowns that targets report.
  double m_average_slowdown = 1;
  // After these times no target is ejected or in slow start. Before that, the
  // flags `m_panic` and `m_ignore_slow_start` say whether so many targets are
  // that ejection or slow start is ignored.
  TimePoint m_ejections_until = TimePoint::min();
  TimePoint m_slow_start_until = TimePoint::min();
  bool m_panic = false;
  // No usable target answers probes, so missing probe answers are ignored.
  bool m_all_unresponsive = false;
  bool m_ignore_slow_start = false;
};

}  // namespace guavacross::routing

#endif  // GUAVACROSS_ROUTING_TARGET_POOL_H_
