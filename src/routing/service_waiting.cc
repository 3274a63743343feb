// Queueing of one service's requests, and when they are refused.

#include <algorithm>
#include <utility>

#include "policy/pause.h"
#include "policy/slot_shares.h"
#include "policy/waiting.h"
#include "routing/service_router.h"

namespace guavacross::routing {

namespace {

// Interval of queue checks while requests wait: a target can become available
// without any event, when an old load report loses its weight.
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(5);

// How long after its arrival a request accepts only a target of quality
// `kGood`, and only one of quality `kMeasured` or better. Both allow for
// several probe round trips between availability zones.
constexpr Duration kGoodTargetWait = std::chrono::milliseconds(20);
constexpr Duration kMeasuredTargetWait = std::chrono::milliseconds(60);

// An attempt that has held its slot for this many times the average slot time
// isn't expected to free it soon.
constexpr double kStuckAfterSlotTimes = 3;

// A class is idle, and bulk classes may use its slots, after this long without
// a request.
constexpr Duration kClassIdleAfter = std::chrono::seconds(5);

}  // namespace

void ServiceRouter::CancelWait(std::uint64_t ticket) {
  const std::lock_guard lock(m_mutex);
  if (m_waiters.erase(ticket) > 0) {
    m_queue.Remove(ticket);
  }
}

void ServiceRouter::ExpireWaiters(TimePoint now, Effects* effects) {
  const std::lock_guard lock(m_mutex);
  for (const policy::QueuedRequest& expired : m_queue.TakeExpired(now)) {
    const bool by_deadline =
        m_waiters.find(expired.m_ticket)->second.m_deadline <= now;
    const std::string text = "no slot became free in time";
    RefuseWaiter(expired.m_ticket,
                 by_deadline
                     ? Refuse(ErrorKind::kDeadlineExpired, text)
                     : RefuseWithRetryDelay(Duration::zero(), now, text),
                 effects);
  }
  ServeWaiters(now, effects);
}

// A caller that retries asks for a shorter wait than on its first attempt, by
// the time that has passed. The difference gives the time since that attempt.
policy::WaitBounds ServiceRouter::WaitBoundsOf(const ClassState& state,
                                               const RequestTraits& traits,
                                               TimePoint now) const {
  policy::WaitBounds bounds{.m_deadline_left = traits.m_deadline - now};
  if (!IsEnabled(Mechanism::kObjectiveWaits)) {
    return bounds;
  }
  bounds.m_latency_objective = state.m_config.m_latency_objective;
  if (traits.m_caller_timeout > Duration::zero()) {
    bounds.m_elapsed = state.m_longest_asked_wait.value() -
                       traits.m_caller_timeout + (now - traits.m_arrived);
  }
  if (state.m_latency.is_ready()) {
    bounds.m_usual_time = state.m_latency.median();
  }
  return bounds;
}

policy::ZoneTerms ServiceRouter::ZoneTermsOf(
    const ClassState& state,
    const RequestTraits& traits) const {
  policy::ZoneTerms terms{
      .m_bytes =
          static_cast<double>(traits.m_body_bytes) + state.m_answer_bytes,
      .m_delay_per_megabyte = m_options.m_zone_delay_per_megabyte};
  if (state.m_latency.is_ready()) {
    terms.m_usual_time = state.m_latency.median();
  }
  return terms;
}

policy::FlowKey ServiceRouter::FlowOf(const RequestTraits& traits,
                                      const policy::WaitBounds& bounds) const {
  if (!IsEnabled(Mechanism::kFairQueue)) {
    return {};
  }
  return {.m_class_name = traits.m_class_name,
          .m_tenant = traits.m_tenant,
          .m_past_objective = policy::IsPastObjective(bounds)};
}

double ServiceRouter::WeightOf(const policy::FlowKey& flow) const {
  const ClassState* const state = FindClassState(flow.m_class_name);
  const auto tenant = m_tenant_weights.find(flow.m_tenant);
  const int class_weight = state == nullptr ? 1 : state->m_config.m_weight;
  const int tenant_weight =
      tenant == m_tenant_weights.end() ? 1 : tenant->second;
  const double objective_factor =
      flow.m_past_objective ? policy::kPastObjectiveWeight : 1;
  return objective_factor * std::max(1, class_weight) *
         std::max(1, tenant_weight);
}

double ServiceRouter::SlotCostOf(const ClassState& state) const {
  // The cost is at least one millisecond, also while no slot time is known.
  return std::max(1.0, Milliseconds(state.m_slot_time));
}

bool ServiceRouter::IsWithinBulkLimit(const ClassState& state,
                                      TimePoint now) const {
  if (!state.m_config.m_bulk || !IsEnabled(Mechanism::kFairQueue)) {
    return true;
  }
  bool others_idle = true;
  for (const auto& other : m_classes) {
    const bool is_active = other->m_last_request != TimePoint::min() &&
                           now - other->m_last_request < kClassIdleAfter;
    others_idle = others_idle && (other->m_config.m_bulk || !is_active);
  }
  return m_bulk_in_flight < policy::BulkLimit(m_pool.total_slots(), m_instances,
                                              m_bulk_weight_share, others_idle);
}

bool ServiceRouter::GivesWay(const policy::FlowKey& flow, TimePoint now) const {
  return flow.m_past_objective && ProbesBeforePlacing() &&
         m_pool.IsCrowded(now);
}

bool ServiceRouter::TryGrantAtOnce(std::uint64_t ticket,
                                   Waiter* waiter,
                                   TimePoint now,
                                   Effects* effects) {
  if (m_queue.size() > 0 || !IsWithinBulkLimit(*waiter->m_class, now) ||
      GivesWay(waiter->m_flow, now)) {
    return false;
  }
  const Choice choice = Choose(*waiter, now);
  if (choice.m_target == nullptr && choice.m_worth_waiting) {
    return false;
  }
  if (choice.m_target == nullptr) {
    effects->m_decisions.push_back(
        {std::move(waiter->m_on_grant), RefuseWithoutTarget(choice, now)});
    return true;
  }
  m_queue.Charge(waiter->m_flow, WeightOf(waiter->m_flow),
                 SlotCostOf(*waiter->m_class));
  effects->m_decisions.push_back(
      {std::move(waiter->m_on_grant),
       {MakeGrant(choice.m_target, waiter->m_class, ticket, now)}});
  return true;
}

void ServiceRouter::Enqueue(std::uint64_t ticket,
                            Waiter waiter,
                            TimePoint now,
                            Effects* effects) {
  const ClassConfig& limits = waiter.m_class->m_config;
  const policy::FlowKey flow = waiter.m_flow;
  const double weight = WeightOf(flow);
  const Duration longest = LongestWait(waiter);
  if (m_queue.size() > 0 && !m_pool.AnyEligible(waiter.m_avoid, now)) {
    // Each waiting request takes one of those that limits of targets allow.
    const Choice later{.m_room_at = m_pool.RoomAt(m_queue.size(), now)};
    if (later.m_room_at > now + longest) {
      effects->m_decisions.push_back(
          {std::move(waiter.m_on_grant), RefuseWithoutTarget(later, now)});
      return;
    }
  }
  // The estimate is too coarse to be compared with a latency objective while
  // requests queue only because targets are still being probed.
  const bool may_refuse =
      waiter.m_bounds.m_latency_objective <= Duration::zero() ||
      IsSaturated(now);
  if (IsEnabled(Mechanism::kEarlyRefusal) && may_refuse) {
    const Duration expected = ExpectedWait(waiter, now);
    if (expected > longest) {
      effects->m_decisions.push_back(
          {std::move(waiter.m_on_grant),
           RefuseWithRetryDelay(expected - longest, now,
                                "the wait would be too long")});
      return;
    }
  }
  const TimePoint expires = now + longest;
  if (m_queue.SizeOfClass(flow.m_class_name) >= limits.m_queue_limit) {
    const std::optional<std::uint64_t> displaced =
        m_queue.Displace(flow, weight);
    if (!displaced) {
      effects->m_decisions.push_back(
          {std::move(waiter.m_on_grant),
           Refuse(ErrorKind::kQueueFull, "the queue is full")});
      return;
    }
    RefuseWaiter(*displaced,
                 Refuse(ErrorKind::kQueueFull,
                        "the queue is full and others had less of it"),
                 effects);
  }
  m_queue.Push(flow, weight, SlotCostOf(*waiter.m_class),
               {.m_ticket = ticket, .m_expires = expires});
  m_waiters.emplace(ticket, std::move(waiter));
  ServeWaiters(now, effects);
}

Duration ServiceRouter::LongestWait(const Waiter& waiter) const {
  return std::min(waiter.m_class->m_config.m_queue_wait,
                  policy::LongestWait(waiter.m_bounds));
}

// Whether a request has waited so long that any target that answers would have
// been granted to it. Only then is it certain that no target has capacity.
bool ServiceRouter::IsSaturated(TimePoint now) const {
  return std::any_of(
      m_waiters.begin(), m_waiters.end(), [now](const auto& entry) {
        return now - entry.second.m_arrived >= kMeasuredTargetWait;
      });
}

Duration ServiceRouter::ExpectedWait(const Waiter& waiter,
                                     TimePoint now) const {
  if (m_slot_time <= Duration::zero()) {
    return Duration::zero();
  }
  // Old attempts aren't likely to free their slots soon: their targets hang or
  // are gone.
  const int in_flight = m_pool.CountSentAfter(
      now - FromSeconds(kStuckAfterSlotTimes * Seconds(m_slot_time)));
  if (in_flight == 0) {
    return Duration::zero();
  }
  // By Little's law, the rate at which this instance's slots become free.
  const double freed_per_second = in_flight / Seconds(m_slot_time);
  const double ahead =
      m_queue.RequestsAhead(waiter.m_flow, WeightOf(waiter.m_flow)) + 1;
  return FromSeconds(ahead / freed_per_second);
}

util::Expected<Grant> ServiceRouter::RefuseWithRetryDelay(
    Duration excess,
    TimePoint now,
    const std::string& text) {
  util::Expected<Grant> refusal = Refuse(ErrorKind::kQueueTimeout, text);
  const Duration wait =
      m_pool.IsCrowded(now) ? std::max(excess, policy::kCrowdedWait) : excess;
  refusal.m_error.m_retry_after = policy::RetryAfter(wait, &m_random);
  return refusal;
}

util::Expected<Grant> ServiceRouter::RefuseWithoutTarget(const Choice& choice,
                                                         TimePoint now) {
  if (!choice.m_room_at.has_value()) {
    return Refuse(ErrorKind::kNoTarget, "no target takes new requests");
  }
  util::Expected<Grant> refusal =
      Refuse(ErrorKind::kNoTarget,
             "all targets asked for a pause or are at the limits that they "
             "named");
  refusal.m_error.m_retry_after = policy::RetryAfterPause(
      std::max(Duration::zero(), *choice.m_room_at - now), &m_random);
  return refusal;
}

void ServiceRouter::RefuseWaiter(std::uint64_t ticket,
                                 util::Expected<Grant> refusal,
                                 Effects* effects) {
  const auto found = m_waiters.find(ticket);
  effects->m_decisions.push_back(
      {std::move(found->second.m_on_grant), std::move(refusal)});
  m_waiters.erase(found);
}

void ServiceRouter::ServeWaiters(TimePoint now, Effects* effects) {
  const auto may_serve = [this, now](const policy::FlowKey& flow) {
    const ClassState* const state = FindClassState(flow.m_class_name);
    return !GivesWay(flow, now) &&
           (state == nullptr || IsWithinBulkLimit(*state, now));
  };
  bool needs_reports = false;
  while (m_queue.size() > 0) {
    const std::optional<policy::QueuedRequest> next = m_queue.Pop(may_serve);
    if (!next) {
      break;
    }
    const auto found = m_waiters.find(next->m_ticket);
    Waiter& waiter = found->second;
    const Choice choice = Choose(waiter, now);
    if (choice.m_target == nullptr && choice.m_worth_waiting) {
      m_queue.UndoPop();
      m_waiting_terms = waiter.m_zone_terms;
      needs_reports = true;
      break;
    }
    if (choice.m_target == nullptr) {
      RefuseWaiter(next->m_ticket, RefuseWithoutTarget(choice, now), effects);
      continue;
    }
    effects->m_decisions.push_back(
        {std::move(waiter.m_on_grant),
         {MakeGrant(choice.m_target, waiter.m_class, next->m_ticket, now)}});
    m_waiters.erase(found);
  }
  if (ProbesBeforePlacing()) {
    OrderProbes(needs_reports ? m_queue.size() : 0, now, effects);
  }
  ScheduleQueueCheck(now, effects);
}

void ServiceRouter::ScheduleQueueCheck(TimePoint now, Effects* effects) {
  if (m_queue.size() == 0 ||
      (m_next_queue_check_at > now &&
       m_next_queue_check_at <= now + kQueueCheckInterval)) {
    return;
  }
  m_next_queue_check_at = now + kQueueCheckInterval;
  effects->m_expire_at = m_next_queue_check_at;
}

bool ServiceRouter::ProbesBeforePlacing() const {
  return m_config->m_probe.m_per_request && IsEnabled(Mechanism::kProbes) &&
         m_options.m_policy == ChoicePolicy::kGuavacross;
}

Choice ServiceRouter::Choose(const Waiter& waiter, TimePoint now) {
  Choice choice = ProbesBeforePlacing() ? ChooseMeasured(waiter, now)
                                        : m_pool.Choose(waiter.m_avoid, now);
  if (choice.m_room_at.has_value() &&
      *choice.m_room_at <= waiter.m_arrived + LongestWait(waiter)) {
    choice.m_worth_waiting = true;
  }
  return choice;
}

// Whether a probe is in flight or can be sent. If not, waiting for a better
// target brings no news, such as when many instances share the probe budget of
// a service with few targets.
bool ServiceRouter::ExpectsReports(TimePoint now) {
  return m_placement_probes_in_flight > 0 || m_probe_budget.HasProbe(now);
}

Choice ServiceRouter::ChooseMeasured(const Waiter& waiter, TimePoint now) {
  if (m_path.IsTrialTrusted(now)) {
    return m_pool.ChooseMeasured(waiter.m_avoid,
                                 policy::Requirement::kAnyIgnoringProbes,
                                 waiter.m_zone_terms, now);
  }
  // While the targets are crowded, the end of an attempt shows a free slot.
  const bool is_crowded = m_pool.IsCrowded(now);
  const bool expects_reports =
      ExpectsReports(now) || (is_crowded && m_pool.own_in_flight() > 0);
  const Duration waited =
      expects_reports ? now - waiter.m_arrived : kMeasuredTargetWait;
  // A target that isn't known to answer is no choice while none does.
  const bool needs_answer = waited < kMeasuredTargetWait ||
                            (is_crowded && expects_reports) ||
                            m_path.IsSilent(now);
  const policy::Requirement requirement =
      waited < kGoodTargetWait ? policy::Requirement::kGood
      : needs_answer           ? policy::Requirement::kMeasured
                               : policy::Requirement::kAny;
  return m_pool.ChooseMeasured(waiter.m_avoid, requirement, waiter.m_zone_terms,
                               now);
}

}  // namespace guavacross::routing
