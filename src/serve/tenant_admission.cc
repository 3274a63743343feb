#include "serve/tenant_admission.h"

#include <algorithm>
#include <utility>

#include "policy/waiting.h"
#include "util/hash.h"
#include "util/log.h"

namespace guavacross::serve {

namespace {

// How long an owner that hasn't answered is passed over.
constexpr Duration kUnusableTime = std::chrono::milliseconds(500);

// A state of a tenant's limit is logged again after this time.
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

TenantAdmission::TenantAdmission(std::string self,
                                 std::uint64_t seed,
                                 Clock clock,
                                 TenantAdmissionHooks hooks)
    : m_self(std::move(self)),
      m_clock(std::move(clock)),
      m_hooks(std::move(hooks)),
      m_random(seed),
      m_owner(m_self) {}

void TenantAdmission::SetTable(const RouteTable& table) {
  {
    const std::lock_guard lock(m_mutex);
    m_limits.clear();
    for (const guavacross::Tenant& tenant : table.m_tenants) {
      if (tenant.m_rate > 0) {
        m_limits[tenant.m_name] = {.m_rate = tenant.m_rate,
                                   .m_burst = tenant.m_burst};
      }
    }
    std::erase_if(m_tenants, [this](const auto& entry) {
      return entry.second.m_waiting.empty() && !entry.second.m_is_asking &&
             !m_limits.contains(entry.first);
    });
  }
  m_owner.Forget(m_clock.m_now());
}

std::optional<policy::TenantLimit> TenantAdmission::LimitOf(
    const std::string& tenant) const {
  const auto found = m_limits.find(tenant);
  return found == m_limits.end() ? std::nullopt : std::optional(found->second);
}

void TenantAdmission::Admit(const std::string& tenant,
                            bool past_objective,
                            Done done) {
  const TimePoint now = m_clock.m_now();
  std::optional<Error> refusal;
  bool ask = false;
  {
    const std::lock_guard lock(m_mutex);
    if (LimitOf(tenant).has_value()) {
      Tenant& state = m_tenants[tenant];
      const bool gives_way = past_objective && state.m_lease.IsShort(now);
      if (!gives_way && state.m_lease.TryTake(now)) {
        // Admitted.
      } else if (gives_way || now < state.m_lease.denied_until()) {
        refusal =
            Refusal(tenant, gives_way ? policy::QuotaLease::kShortTime
                                      : state.m_lease.denied_until() - now);
      } else {
        state.m_waiting.push_back(std::move(done));
        ask = !std::exchange(state.m_is_asking, true);
        done = nullptr;
      }
    }
  }
  if (done) {
    done(std::move(refusal));
  } else if (ask) {
    m_hooks.m_post([this, tenant] { Ask(tenant); });
  }
}

void TenantAdmission::GiveBack(const std::string& tenant) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_tenants.find(tenant);
  if (found != m_tenants.end()) {
    found->second.m_lease.GiveBack();
  }
}

policy::QuotaAnswer TenantAdmission::Answer(
    const std::string& asker,
    const policy::QuotaQuestion& question) {
  std::optional<policy::TenantLimit> limit;
  {
    const std::lock_guard lock(m_mutex);
    limit = LimitOf(question.m_tenant);
  }
  return AskSelf(asker, question, limit.value_or(question.m_limit));
}

void TenantAdmission::RecordMembers() {
  m_instances.Record(m_hooks.m_live_peers().size() + 1, m_clock.m_now());
}

std::uint64_t TenantAdmission::refused() const {
  const std::lock_guard lock(m_mutex);
  return m_refused;
}

void TenantAdmission::Ask(const std::string& tenant) {
  const TimePoint now = m_clock.m_now();
  policy::QuotaQuestion question{.m_tenant = tenant};
  {
    const std::lock_guard lock(m_mutex);
    Tenant& state = m_tenants[tenant];
    question.m_limit = LimitOf(tenant).value_or(policy::TenantLimit());
    question.m_wanted = state.m_lease.Wanted(state.m_waiting.size(), now);
    question.m_returned = state.m_lease.TakeReturned(now);
    question.m_reserve = state.m_reserve.OfMissingOwner(now);
  }
  std::erase_if(m_unusable_until,
                [now](const auto& entry) { return entry.second <= now; });
  std::vector<std::string> candidates = m_hooks.m_possible_peers();
  std::erase_if(candidates, [this](const std::string& name) {
    return m_unusable_until.contains(name);
  });
  candidates.push_back(m_self);
  const std::string owner = candidates[*policy::OwnerOf(tenant, candidates)];
  if (owner == m_self) {
    OnAnswer(tenant, AskSelf(m_self, question, question.m_limit));
    return;
  }
  m_hooks.m_ask(
      owner, question,
      [this, tenant, owner](const std::optional<policy::QuotaAnswer>& answer) {
        if (answer.has_value()) {
          OnAnswer(tenant, *answer);
          return;
        }
        util::LogWarning("tenants",
                         "the owner of a tenant's limit didn't answer",
                         {{"tenant", tenant}, {"owner", owner}});
        const TimePoint failed_at = m_clock.m_now();
        m_unusable_until[owner] = failed_at + kUnusableTime;
        {
          const std::lock_guard lock(m_mutex);
          m_tenants[tenant].m_reserve.RecordNoAnswer(failed_at);
        }
        Ask(tenant);
      });
}

void TenantAdmission::OnAnswer(const std::string& tenant,
                               const policy::QuotaAnswer& answer) {
  const TimePoint now = m_clock.m_now();
  std::vector<std::pair<Done, std::optional<Error>>> decided;
  bool ask_again = false;
  {
    const std::lock_guard lock(m_mutex);
    Tenant& state = m_tenants[tenant];
    state.m_lease.Add(answer, now);
    if (answer.m_reserve.has_value()) {
      state.m_reserve.RecordAnswer(*answer.m_reserve, now);
    }
    std::size_t served = 0;
    while (served < state.m_waiting.size() &&
           state.m_lease.TryTakeForWaiting(now)) {
      decided.emplace_back(std::move(state.m_waiting[served++]), std::nullopt);
    }
    // After a partial answer the rest is asked for again, and refused if the
    // owner has nothing more.
    ask_again = served < state.m_waiting.size() && answer.m_granted > 0;
    if (!ask_again) {
      for (std::size_t i = served; i < state.m_waiting.size(); ++i) {
        decided.emplace_back(std::move(state.m_waiting[i]),
                             Refusal(tenant, answer.m_retry_after));
      }
      served = state.m_waiting.size();
    }
    state.m_waiting.erase(
        state.m_waiting.begin(),
        state.m_waiting.begin() + static_cast<std::ptrdiff_t>(served));
    state.m_is_asking = ask_again;
  }
  for (auto& [done, refusal] : decided) {
    done(std::move(refusal));
  }
  if (ask_again) {
    Ask(tenant);
  }
}

policy::QuotaAnswer TenantAdmission::AskSelf(
    const std::string& asker,
    const policy::QuotaQuestion& question,
    const policy::TenantLimit& limit) {
  const TimePoint now = m_clock.m_now();
  const std::vector<std::string> peers = m_hooks.m_live_peers();
  const std::size_t live = peers.size() + 1;
  m_instances.Record(live, now);
  policy::QuotaStanding standing{
      .m_share = policy::OwnedShare(live, m_instances.Largest(now))};
  std::vector<std::string> possible = m_hooks.m_possible_peers();
  possible.push_back(m_self);
  const std::string owner =
      possible[*policy::OwnerOf(question.m_tenant, possible)];
  if (owner != m_self) {
    standing.m_substitute_part = m_passed_over.Record(owner, asker, live, now);
    standing.m_owner_is_live =
        std::find(peers.begin(), peers.end(), owner) != peers.end();
  }
  std::uint64_t members = 0;
  for (const std::string& peer : peers) {
    members = util::Hash(peer, members);
  }
  m_owner.SetMembers(members);
  const policy::QuotaAnswer answer =
      m_owner.Ask(asker, question, limit, standing, now);
  if (standing.m_substitute_part.has_value()) {
    LogState(
        "substitute", question.m_tenant,
        "answering in place of the owner of a tenant's limit",
        {{"owner", owner},
         {"asker", asker},
         {"part_of_instances", std::to_string(*standing.m_substitute_part)},
         {"share", std::to_string(standing.m_share)}});
  } else if (const double held = m_owner.HeldBack(question.m_tenant, now);
             held > 0) {
    LogState("held back", question.m_tenant,
             "holding back a part of a tenant's limit for silent instances",
             {{"held_back_per_s", std::to_string(held)},
              {"rate_per_s", std::to_string(limit.m_rate)},
              {"share", std::to_string(standing.m_share)}});
  }
  return answer;
}

// Logs a state of a tenant's limit, unless it has been logged lately.
void TenantAdmission::LogState(const char* state,
                               const std::string& tenant,
                               const char* message,
                               std::vector<util::LogField> fields) {
  const TimePoint now = m_clock.m_now();
  std::erase_if(m_logged_at, [now](const auto& entry) {
    return now - entry.second >= kLogInterval;
  });
  if (m_logged_at.try_emplace({state, tenant}, now).second) {
    fields.emplace_back("tenant", tenant);
    util::LogFields("tenants", message, fields);
  }
}

Error TenantAdmission::Refusal(const std::string& tenant,
                               Duration retry_after) {
  ++m_refused;
  return {.m_kind = ErrorKind::kTenantLimit,
          .m_text = "tenant " + tenant + " is at its limit",
          .m_retry_after = policy::RetryAfter(retry_after, &m_random)};
}

}  // namespace guavacross::serve
