#ifndef GUAVACROSS_SERVE_TENANT_ADMISSION_H_
#define GUAVACROSS_SERVE_TENANT_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/route_table.h"
#include "guavacross/time.h"
#include "policy/instance_count.h"
#include "policy/random.h"
#include "policy/tenant_quota.h"
#include "util/log.h"

namespace guavacross::serve {

/// Callbacks of the admission. All are called on the control thread.
struct TenantAdmissionHooks {
  /// Queues a function to run on the control thread. Thread safe.
  std::function<void(std::function<void()>)> m_post;
  /// Names of the other instances that are live, and of those that may be: that
  /// some instances suspect the owner must not make another one of it.
  std::function<std::vector<std::string>()> m_live_peers;
  std::function<std::vector<std::string>()> m_possible_peers;
  /// Asks a peer; the answer is nothing if none came in time.
  std::function<void(const std::string& peer,
                     const policy::QuotaQuestion&,
                     std::function<void(std::optional<policy::QuotaAnswer>)>)>
      m_ask;
};

/// Admits requests within the limits of their tenants, over all instances; see
/// `policy/tenant_quota.h`.
///
/// A request waits for the answer of the tenant's owner only if this instance
/// has no token left. An owner that doesn't answer is passed over for a second,
/// in favour of the next in rank. `Admit` and `GiveBack` are thread safe; the
/// other functions are called on the control thread.
class TenantAdmission {
 public:
  /// Called once: with nothing if the request is admitted, else with the
  /// refusal. May be called before `Admit` returns, or on the control thread.
  using Done = std::function<void(std::optional<Error>)>;

  TenantAdmission(std::string self,
                  std::uint64_t seed,
                  Clock clock,
                  TenantAdmissionHooks hooks);

  /// Takes the tenants' limits from a table.
  void SetTable(const RouteTable& table);

  /// While the tenant is short of tokens, a request past its objective is
  /// refused: the tokens go to requests that can be answered in time.
  void Admit(const std::string& tenant, bool past_objective, Done done);
  /// Returns the token of a request that no target has run.
  void GiveBack(const std::string& tenant);

  /// Notes how many instances are live; to be called when that changes.
  void RecordMembers();

  /// Answers the instance `asker`, which takes this one for the owner, or for
  /// the next in rank after one that doesn't answer it.
  policy::QuotaAnswer Answer(const std::string& asker,
                             const policy::QuotaQuestion& question);

  /// Requests refused since the start because of a limit. Thread safe.
  std::uint64_t refused() const;

 private:
  struct Tenant {
    policy::QuotaLease m_lease;
    policy::KnownReserve m_reserve;
    std::vector<Done> m_waiting;
    bool m_is_asking = false;
  };

  // The limit of a tenant; nothing if it has none.
  std::optional<policy::TenantLimit> LimitOf(const std::string& tenant) const;
  void Ask(const std::string& tenant);
  void OnAnswer(const std::string& tenant, const policy::QuotaAnswer& answer);
  policy::QuotaAnswer AskSelf(const std::string& asker,
                              const policy::QuotaQuestion& question,
                              const policy::TenantLimit& limit);
  void LogState(const char* state,
                const std::string& tenant,
                const char* message,
                std::vector<util::LogField> fields);
  Error Refusal(const std::string& tenant, Duration retry_after);

  const std::string m_self;
  const Clock m_clock;
  const TenantAdmissionHooks m_hooks;
  mutable std::mutex m_mutex;
  policy::Random m_random;
  std::unordered_map<std::string, policy::TenantLimit> m_limits;
  std::unordered_map<std::string, Tenant> m_tenants;
  std::uint64_t m_refused = 0;
  // Used on the control thread only.
  policy::QuotaOwner m_owner;
  policy::PassedOverOwners m_passed_over;
  std::map<std::string, TimePoint> m_unusable_until;
  policy::InstanceCount m_instances;
  // When states of tenants' limits have been logged.
  std::map<std::pair<std::string, std::string>, TimePoint> m_logged_at;
};

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_TENANT_ADMISSION_H_
