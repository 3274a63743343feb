#ifndef GUAVACROSS_LEDGER_TABLE_HANDOVER_H_
#define GUAVACROSS_LEDGER_TABLE_HANDOVER_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "ledger/ledger_context.h"
#include "ledger/minted_key_claims.h"

namespace guavacross::ledger {

/// Moves the table of held keys, and the authority over minted identities, from
/// an instance that shuts down to a live peer.
///
/// The authority moves with the last part, which is sent once and to one peer
/// only, so that no two peers can have it.
class TableHandover {
 public:
  /// Both arguments must outlive the handover.
  TableHandover(LedgerContext* context, MintedKeyClaims* minted);

  /// Starts the handover; see `RequestLedger::HandOver`.
  void Begin(std::function<void()> done);
  bool has_begun() const { return m_has_begun; }

  /// Stores a part of another instance's table; see
  /// `RequestLedger::TakeHandover`.
  bool Take(const LedgerHandover& part);

 private:
  void TryNextPeer();
  void SendNext();
  void SendLast();
  bool TakeClaim(const HandedClaim& claim);
  std::vector<LedgerHandover> MakeParts() const;

  LedgerContext* m_context;
  MintedKeyClaims* m_minted;
  bool m_has_begun = false;
  std::function<void()> m_done;
  std::deque<InstanceId> m_peers;
  std::vector<LedgerHandover> m_parts;
  std::size_t m_next_part = 0;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_TABLE_HANDOVER_H_
