#include "forwarding/request_forwarder.h"

#include <utility>
#include <vector>

#include "forwarding/exchange.h"

namespace guavacross::forwarding {

namespace {

AttemptReport CancelledReport() {
  return AttemptReport{.m_end = AttemptEnd::kCancelled};
}

}  // namespace

RequestForwarder::RequestForwarder(ForwardContext context)
    : m_context(std::move(context)) {}

RequestForwarder::~RequestForwarder() {
  m_on_ended = nullptr;
  AbandonAll();
}

void RequestForwarder::AbandonAll() {
  while (!m_exchanges.empty()) {
    m_exchanges.begin()->second->Abandon();
  }
}

void RequestForwarder::RefuseWaiting(TimePoint end, const Error& error) {
  ForEach([&](Exchange* each) { each->RefuseIfWaiting(end, error); });
}

void RequestForwarder::EndUnanswered(const Error& error) {
  ForEach([&](Exchange* each) { each->EndIfUnanswered(error); });
}

void RequestForwarder::ForEach(const std::function<void(Exchange*)>& call) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, exchange] : m_exchanges) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    if (const auto found = m_exchanges.find(id); found != m_exchanges.end()) {
      call(found->second.get());
    }
  }
}

Exchange* RequestForwarder::Begin(ForwardRequest request, AnswerHooks hooks) {
  const std::uint64_t id = m_next_id++;
  auto exchange = std::make_unique<Exchange>(this, id, std::move(request),
                                             std::move(hooks));
  return m_exchanges.emplace(id, std::move(exchange)).first->second.get();
}

void RequestForwarder::Remove(std::uint64_t id) {
  const auto found = m_exchanges.find(id);
  if (found == m_exchanges.end()) {
    return;
  }
  m_context.m_set->DeleteLater(std::move(found->second));
  m_exchanges.erase(found);
  if (m_on_ended) {
    m_on_ended();
  }
}

void RequestForwarder::Claim(std::uint64_t id,
                             const RequestKey& key,
                             std::uint64_t fingerprint) {
  // The callback may be called after the worker has stopped: a claim that is
  // granted then must still be finished.
  auto on_decision = [this, id, key, tasks = m_context.m_tasks,
                      finish = m_context.m_ledger.m_finish](
                         const ClaimDecision& decision) {
    const bool posted =
        tasks.Post([this, id, key, decision] { OnClaim(id, key, decision); });
    if (!posted && decision.m_kind == ClaimDecision::Kind::kRun) {
      finish(key, ClaimEnd{.m_outcome = Outcome::kNotRun});
    }
  };
  m_context.m_ledger.m_claim(key, fingerprint, std::move(on_decision));
}

void RequestForwarder::Admit(std::uint64_t id,
                             const std::string& tenant,
                             bool past_objective) {
  m_context.m_tenants.m_admit(tenant, past_objective,
                              [this, id, tenant, tasks = m_context.m_tasks,
                               give_back = m_context.m_tenants.m_give_back](
                                  const std::optional<Error>& refusal) {
                                if (tasks.OnWorkerThread()) {
                                  OnAdmitted(id, tenant, refusal);
                                  return;
                                }
                                const bool posted =
                                    tasks.Post([this, id, tenant, refusal] {
                                      OnAdmitted(id, tenant, refusal);
                                    });
                                if (!posted && !refusal.has_value()) {
                                  give_back(tenant);
                                }
                              });
}

void RequestForwarder::OnAdmitted(std::uint64_t id,
                                  const std::string& tenant,
                                  const std::optional<Error>& refusal) {
  const auto found = m_exchanges.find(id);
  if (found != m_exchanges.end()) {
    found->second->OnAdmitted(refusal);
  } else if (!refusal.has_value()) {
    m_context.m_tenants.m_give_back(tenant);
  }
}

void RequestForwarder::OnClaim(std::uint64_t id,
                               const RequestKey& key,
                               ClaimDecision decision) {
  const auto found = m_exchanges.find(id);
  if (found != m_exchanges.end()) {
    found->second->OnClaim(std::move(decision));
  } else if (decision.m_kind == ClaimDecision::Kind::kRun) {
    m_context.m_ledger.m_finish(key, ClaimEnd{.m_outcome = Outcome::kNotRun});
  }
}

std::uint64_t RequestForwarder::Acquire(
    std::uint64_t id,
    std::uint64_t generation,
    const std::shared_ptr<const RequestTraits>& traits,
    const std::vector<std::string>& targets_to_avoid) {
  // A result that arrives before `Router::Acquire` returns is stored here and
  // handled afterwards.
  util::Expected<Grant> immediate_grant;
  bool granted_immediately = false;
  auto in_acquire = std::make_shared<bool>(true);
  auto on_grant = [this, id, generation, traits, in_acquire, &immediate_grant,
                   &granted_immediately, tasks = m_context.m_tasks,
                   router = m_context.m_router](util::Expected<Grant> grant) {
    if (tasks.OnWorkerThread() && *in_acquire) {
      immediate_grant = std::move(grant);
      granted_immediately = true;
      return;
    }
    const bool posted = tasks.Post([this, id, generation, traits, grant] {
      OnGrant(id, generation, traits, grant);
    });
    if (!posted && grant) {
      router->Release(*grant.m_value, *traits, CancelledReport());
    }
  };
  const std::uint64_t ticket = m_context.m_router->Acquire(
      *traits, targets_to_avoid, std::move(on_grant));
  *in_acquire = false;
  if (granted_immediately) {
    OnGrant(id, generation, traits, std::move(immediate_grant));
  }
  return ticket;
}

void RequestForwarder::OnGrant(
    std::uint64_t id,
    std::uint64_t generation,
    const std::shared_ptr<const RequestTraits>& traits,
    util::Expected<Grant> grant) {
  const auto found = m_exchanges.find(id);
  const bool wanted =
      found != m_exchanges.end() && found->second->WantsGrant(generation);
  if (wanted) {
    found->second->OnGrant(std::move(grant));
  } else if (grant) {
    m_context.m_router->Release(*grant.m_value, *traits, CancelledReport());
  }
}

}  // namespace guavacross::forwarding
