#include "routing/relay_router.h"

#include <utility>

namespace guavacross::routing {

namespace {

// How long a request waits for a target while only some of them answer.
constexpr Duration kImpairedWait = std::chrono::milliseconds(20);

// Time in which peers that were asked have said whether they reach the targets.
constexpr Duration kPeersAnswerTime = std::chrono::milliseconds(350);

// An answer this recent shows that a peer reaches the targets.
constexpr Duration kRecentAnswer = std::chrono::seconds(1);

// The wait asked of callers if no instance reaches the targets, for
// `policy::RetryAfter`: about as long as a target takes to start again.
constexpr Duration kNoPathExcess = std::chrono::milliseconds(300);

// Services named to peers; an instance with more has nearly lost its path.
constexpr std::size_t kMaxImpairedServices = 64;

// Whether the peers have had time to say whether they reach the targets.
bool HavePeersAnswered(TimePoint lost_since, TimePoint now) {
  return now - lost_since >= kPeersAnswerTime;
}

}  // namespace

RelayRouter::RelayRouter(const RouterOptions& options,
                         std::function<void(const std::string&, bool)> on_reach)
    : m_options(options),
      m_on_reach(std::move(on_reach)),
      m_relays(options.m_zone, options.m_seed + 2) {}

void RelayRouter::SetTargets(const ServiceConfig& config) {
  if (!m_options.m_relays) {
    return;
  }
  m_relays.SetTargets(config.m_name, config.m_targets.size(), ZonesOf(config));
}

void RelayRouter::RemoveService(const std::string& service) {
  m_relays.SetTargets(service, 0, {});
}

void RelayRouter::Record(const std::shared_ptr<ServiceRouter>& service,
                         const std::vector<policy::PathEvent>& events,
                         TimePoint now) {
  m_relays.Record(events, now);
  ReportChanges(service, now);
}

void RelayRouter::ReportChanges(const std::shared_ptr<ServiceRouter>& service,
                                TimePoint now) {
  if (const auto lost = m_relays.TakeChange(now); lost && m_on_reach) {
    m_on_reach("", *lost);
  }
  const auto lost = service->TakePathChange(now);
  if (!lost.has_value()) {
    return;
  }
  AddImpaired(service);
  if (m_on_reach) {
    m_on_reach(service->config()->m_name, *lost);
  }
}

void RelayRouter::AddImpaired(const std::shared_ptr<ServiceRouter>& service) {
  const std::string name = service->config()->m_name;
  const std::lock_guard lock(m_mutex);
  m_maybe_impaired[name] = service;
}

std::vector<std::uint32_t> RelayRouter::ImpairedServices(TimePoint now) {
  std::map<std::string, std::weak_ptr<ServiceRouter>> services;
  {
    const std::lock_guard lock(m_mutex);
    services = m_maybe_impaired;
  }
  std::vector<std::uint32_t> impaired;
  for (const auto& [name, weak] : services) {
    const std::shared_ptr<ServiceRouter> service = weak.lock();
    const ServiceRouter::PathState path =
        service == nullptr ? ServiceRouter::PathState() : service->Path(now);
    if (!path.m_lost_since && !path.m_impaired_since) {
      const std::lock_guard lock(m_mutex);
      m_maybe_impaired.erase(name);
    } else if (impaired.size() < kMaxImpairedServices) {
      impaired.push_back(ServiceHash(name));
    }
  }
  return impaired;
}

ReachState RelayRouter::State(TimePoint now) {
  return m_relays.State(ImpairedServices(now), now);
}

std::optional<Grant> RelayRouter::GrantPeer(
    const std::string& service,
    std::uint64_t ticket,
    TimePoint since,
    const std::vector<std::string>& avoid,
    TimePoint now) {
  const auto peer = m_relays.Choose(service, since, avoid, now);
  if (!peer.has_value()) {
    return std::nullopt;
  }
  return Grant{.m_id = ticket,
               .m_service = service,
               .m_peer = peer->m_name,
               .m_zone = peer->m_zone,
               .m_address = peer->m_address,
               .m_granted_at = now};
}

util::Expected<Grant> RelayRouter::RefuseWithoutPath() {
  util::Expected<Grant> refusal =
      Refuse(ErrorKind::kNoPath, "no instance reaches the service's targets");
  refusal.m_error.m_retry_after = m_relays.RetryAfter(kNoPathExcess);
  return refusal;
}

std::optional<util::Expected<Grant>> RelayRouter::Decide(
    const std::shared_ptr<ServiceRouter>& service,
    const RequestTraits& traits,
    std::uint64_t ticket,
    const std::vector<std::string>& avoid,
    TimePoint now,
    Effects* effects) {
  if (!m_options.m_relays) {
    return std::nullopt;
  }
  const std::optional<TimePoint> all_lost = m_relays.LostSince(now);
  const std::optional<TimePoint> lost =
      all_lost ? all_lost : service->Path(now).m_lost_since;
  if (!lost.has_value()) {
    return traits.m_relayed ? std::nullopt
                            : DecideAfterRecovery(traits, ticket, avoid, now);
  }
  service->ProbePath(now, effects);
  if (traits.m_relayed) {
    return RefuseWithoutPath();
  }
  if (auto grant = GrantPeer(traits.m_service, ticket, *lost, avoid, now)) {
    return util::Expected<Grant>{std::move(*grant)};
  }
  if (all_lost.has_value() && HavePeersAnswered(*all_lost, now) &&
      !service->IsTrialDue(now)) {
    return RefuseWithoutPath();
  }
  return std::nullopt;
}

// For a time after the path has come back, passes on a part of the requests
// that gets smaller.
std::optional<util::Expected<Grant>> RelayRouter::DecideAfterRecovery(
    const RequestTraits& traits,
    std::uint64_t ticket,
    const std::vector<std::string>& avoid,
    TimePoint now) {
  if (m_relays.TakesDirectWay(now)) {
    return std::nullopt;
  }
  auto grant =
      GrantPeer(traits.m_service, ticket, now - kRecentAnswer, avoid, now);
  if (!grant.has_value()) {
    return std::nullopt;
  }
  return util::Expected<Grant>{std::move(*grant)};
}

void RelayRouter::DivertWaiting(const std::shared_ptr<ServiceRouter>& service,
                                TimePoint now,
                                Effects* effects) {
  if (!m_options.m_relays) {
    return;
  }
  const std::optional<TimePoint> all_lost = m_relays.LostSince(now);
  const ServiceRouter::PathState path = service->Path(now);
  const std::optional<TimePoint> lost = all_lost ? all_lost : path.m_lost_since;
  const std::optional<TimePoint> since = lost ? lost : path.m_impaired_since;
  if (!since.has_value()) {
    return;
  }
  AddImpaired(service);
  ReportChanges(service, now);
  const Duration min_wait = lost ? Duration::zero() : kImpairedWait;
  const ServiceRouter::RelayedRequests relayed =
      lost ? ServiceRouter::RelayedRequests::kIncluded
           : ServiceRouter::RelayedRequests::kLeftOut;
  const Loss loss{
      .m_since = *since,
      .m_try_directly =
          lost.has_value() &&
          (HavePeersAnswered(*lost, now) ||
           m_relays.HasNoPeerAPath(service->config()->m_name, *lost)),
      .m_refuse = all_lost.has_value() && HavePeersAnswered(*all_lost, now)};
  while (const auto waiting = service->LongestWaiting(min_wait, relayed, now)) {
    if (!DecideWaiting(service, *waiting, loss, now, effects)) {
      return;
    }
  }
}

bool RelayRouter::DecideWaiting(const std::shared_ptr<ServiceRouter>& service,
                                const ServiceRouter::WaitingRequest& waiting,
                                const Loss& loss,
                                TimePoint now,
                                Effects* effects) {
  auto grant = waiting.m_relayed
                   ? std::nullopt
                   : GrantPeer(service->config()->m_name, waiting.m_ticket,
                               loss.m_since, waiting.m_avoid, now);
  if (!grant.has_value() && !waiting.m_relayed && loss.m_try_directly &&
      service->GrantTrial(waiting.m_ticket, now, effects)) {
    return true;
  }
  if (!grant.has_value() && !waiting.m_relayed && !loss.m_refuse) {
    return false;
  }
  GrantCallback on_grant = service->TakeWaiting(waiting.m_ticket);
  if (on_grant) {
    effects->m_decisions.push_back(
        {std::move(on_grant), grant.has_value()
                                  ? util::Expected<Grant>{std::move(*grant)}
                                  : RefuseWithoutPath()});
  } else if (grant.has_value()) {
    m_relays.Ended(*grant, AttemptEnd::kCancelled, now);
  }
  return true;
}

}  // namespace guavacross::routing
