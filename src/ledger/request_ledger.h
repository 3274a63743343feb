#ifndef GUAVACROSS_LEDGER_REQUEST_LEDGER_H_
#define GUAVACROSS_LEDGER_REQUEST_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "guavacross/ledger.h"
#include "guavacross/log_service.h"
#include "guavacross/membership.h"
#include "guavacross/time.h"
#include "ledger/ledger_messages.h"

namespace guavacross::util {
class Metrics;
}

namespace guavacross::ledger {

struct LedgerOptions {
  InstanceId m_self;
  Clock m_clock;
  /// Outlives the ledger; may be null.
  util::Metrics* m_metrics = nullptr;
  std::uint64_t m_seed = 0;
  /// Longest wait for the log to settle a claim.
  Duration m_claim_timeout = std::chrono::seconds(2);
  /// Appends a second that all instances together may make to the log.
  double m_appends_per_second = 300;
  /// Claims in one appended record.
  std::size_t m_max_claims_per_append = 512;
  /// A key that carries no time is remembered for at least this long.
  Duration m_remember_at_least = std::chrono::hours(1);
  /// Keys are forgotten after this long.
  Duration m_remember = std::chrono::hours(24);
  /// How far apart the clocks of callers and instances may be.
  Duration m_clock_skew = std::chrono::minutes(5);
  /// How long a minted identity may be used.
  Duration m_identity_lifetime = std::chrono::hours(1);
  /// Keys remembered from the log.
  std::size_t m_max_keys = 262'144;
  /// Requests held or ended on this instance, with or without an answer.
  std::size_t m_max_held = 65'536;
  /// Bytes of recorded answers kept on this instance.
  std::size_t m_max_answer_bytes = 4 << 20;
  /// The longest recorded answer; longer ones aren't kept.
  std::size_t m_max_answer = 64 << 10;
  /// How long the log keeps a record, at the least. Claims are appended again
  /// when half of this has passed, so that a new instance finds them.
  Duration m_log_retention = std::chrono::hours(1);
};

/// How the ledger reaches the rest of the program.
struct LedgerHooks {
  LogAccess m_log;
  /// Runs a function on the control thread, later or at once. Thread safe.
  std::function<void(std::function<void()>)> m_post;
  /// The other instances, dead ones included.
  std::function<std::vector<Member>()> m_members;
  /// Asks a peer. The callback is called once, on the control thread.
  std::function<void(const InstanceId& peer,
                     const LedgerQuestion& question,
                     std::function<void(LedgerReply)>)>
      m_ask;
  /// Hands a part of the table to a peer. The callback tells whether the peer
  /// has taken it.
  std::function<void(const InstanceId& peer,
                     const LedgerHandover& part,
                     std::function<void(bool)>)>
      m_hand_over;
};

/// Decides for one instance which non-repeatable requests may run, so that
/// over all instances each runs at most once.
///
/// Construct it on the control thread, call `Start`, and give `access()` to the
/// data path. The peers package passes other instances' questions to
/// `AnswerPeer` and `TakeHandover`. On a graceful shutdown, call `HandOver`
/// when the last request has finished. `docs/design/at-most-once.md` explains
/// the protocol.
///
/// Control thread only, but for `access()`'s functions and `MintIdentity`.
class RequestLedger {
 public:
  RequestLedger(LedgerOptions options, LedgerHooks hooks);
  ~RequestLedger();
  RequestLedger(const RequestLedger&) = delete;
  RequestLedger& operator=(const RequestLedger&) = delete;

  /// Begins to follow the claim stream.
  void Start();

  /// The data path's functions. They are thread safe and may outlive the
  /// ledger; claims are then refused.
  LedgerAccess access();

  /// A new identity for an address answer: callers use
  /// `<identity>.<their sequence>` as `Idempotency-Key`. Thread safe.
  std::string MintIdentity();

  /// Answers a peer's question, at once or after asking others.
  void AnswerPeer(const LedgerQuestion& question,
                  std::function<void(LedgerReply)> reply);

  /// Keeps what a leaving peer hands over. Returns whether it was taken.
  bool TakeHandover(const LedgerHandover& part);

  /// Hands this instance's table to a live peer. Claims are refused from now
  /// on. `done` is called once: after the last part was taken, or when no peer
  /// takes it.
  void HandOver(std::function<void()> done);

  /// Whether the claim stream has been read to its end at least once.
  bool caught_up() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_REQUEST_LEDGER_H_
