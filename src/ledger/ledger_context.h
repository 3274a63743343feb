#ifndef GUAVACROSS_LEDGER_LEDGER_CONTEXT_H_
#define GUAVACROSS_LEDGER_LEDGER_CONTEXT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "guavacross/ledger.h"
#include "ledger/held_table.h"
#include "ledger/ledger_messages.h"
#include "ledger/request_ledger.h"

/// State and functions that the claims of caller-chosen keys and of keys with a
/// minted identity share.
namespace guavacross::ledger {

using Decide = std::function<void(ClaimDecision)>;
using Reply = std::function<void(LedgerReply)>;

struct LedgerContext {
  LedgerOptions m_options;
  LedgerHooks m_hooks;
  HeldTable m_held;
  /// Expires with the ledger; callbacks check it before they use the ledger.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);

  /// Wraps a callback so that it does nothing once the ledger is destroyed.
  template <class Function>
  auto WhileAlive(Function function) const {
    return [alive = std::weak_ptr<int>(m_alive),
            function = std::move(function)](auto&&... arguments) mutable {
      if (!alive.expired()) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }
};

/// Whether the instance that holds a key can still be asked about it.
enum class HolderState { kReachable, kGone };

/// Returns `kGone` for an earlier incarnation of this instance, and for a
/// holder that the member list shows as dead or restarted or doesn't contain.
HolderState StateOfHolder(const LedgerContext& context,
                          const InstanceId& holder);

/// Converts a reply about a key to the decision about the caller's request.
ClaimDecision ToDecision(const LedgerReply& reply);

ClaimDecision Refuse(ErrorKind kind, std::string text);

/// The reply, according to `held`, for a copy of the request with this
/// fingerprint.
LedgerReply ReplyOf(const HeldKey& held, std::uint64_t fingerprint);

/// Sends `question` to all `peers` and calls `done` once with their replies, in
/// the order of `peers`.
void AskPeers(const LedgerContext& context,
              const std::vector<InstanceId>& peers,
              const LedgerQuestion& question,
              std::function<void(std::vector<LedgerReply>)> done);

/// Which members to ask: all, or all except those known to be dead.
enum class MemberScope { kAll, kNotDead };
std::vector<InstanceId> MembersToAsk(const LedgerContext& context,
                                     MemberScope scope);

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_LEDGER_CONTEXT_H_
