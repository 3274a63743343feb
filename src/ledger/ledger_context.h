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

/// What the two halves of the ledger, for plain keys and for minted
/// identities, have in common.
namespace guavacross::ledger {

using Decide = std::function<void(ClaimDecision)>;
using Reply = std::function<void(LedgerReply)>;

struct LedgerContext {
  LedgerOptions m_options;
  LedgerHooks m_hooks;
  HeldTable m_held;
  /// Callbacks check this token before they touch the ledger.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);

  /// Wraps a callback so that it does nothing once the ledger is gone.
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

/// What is known of an instance that holds a key.
enum class HolderState { kReachable, kGone };

/// `kGone` if the incarnation has ended as far as the members tell.
HolderState StateOfHolder(const LedgerContext& context,
                          const InstanceId& holder);

/// The decision that a reply about the key's holder leads to.
ClaimDecision ToDecision(const LedgerReply& reply);

ClaimDecision Refuse(ErrorKind kind, std::string text);

/// What `held` says about a copy of the request with this fingerprint.
LedgerReply ReplyOf(const HeldKey& held, std::uint64_t fingerprint);

/// Asks all of `peers` and calls `done` once with their replies, in order.
void AskAll(const LedgerContext& context,
            const std::vector<InstanceId>& peers,
            const LedgerQuestion& question,
            std::function<void(std::vector<LedgerReply>)> done);

/// The members that a survey asks: all, or all but those known to be dead.
enum class SurveyScope { kAll, kNotDead };
std::vector<InstanceId> MembersToAsk(const LedgerContext& context,
                                     SurveyScope scope);

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_LEDGER_CONTEXT_H_
