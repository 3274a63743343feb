#ifndef GUAVACROSS_LEDGER_TABLE_HANDOVER_H_
#define GUAVACROSS_LEDGER_TABLE_HANDOVER_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "ledger/ledger_context.h"
#include "ledger/minted_claims.h"

namespace guavacross::ledger {

/// Moves the table of held keys, and the right to decide about minted
/// identities, from an instance that shuts down to a live peer.
///
/// The right goes with the last part, which is sent to one peer only and never
/// again, so that no two peers can have it.
class TableHandover {
 public:
  /// Both arguments must outlive the handover.
  TableHandover(LedgerContext* context, MintedClaims* minted);

  /// Begins to hand over; see `RequestLedger::HandOver`.
  void Begin(std::function<void()> done);
  bool has_begun() const { return m_has_begun; }

  /// Keeps what another instance hands over.
  bool Take(const LedgerHandover& part);

 private:
  void TryNextPeer();
  void SendNext();
  void SendLast();
  bool TakeClaim(const HandedClaim& claim);
  std::vector<LedgerHandover> MakeParts() const;

  LedgerContext* m_context;
  MintedClaims* m_minted;
  bool m_has_begun = false;
  std::function<void()> m_done;
  std::deque<InstanceId> m_peers;
  std::vector<LedgerHandover> m_parts;
  std::size_t m_next_part = 0;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_TABLE_HANDOVER_H_
