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
  /// Maximum time to wait until a claim is read back from the log.
  Duration m_claim_timeout = std::chrono::seconds(2);
  /// Maximum number of appends to the log per second, over all instances.
  double m_appends_per_second = 300;
  /// Maximum number of claims in one appended record.
  std::size_t m_max_claims_per_append = 512;
  /// Minimum time for which a key without a timestamp is remembered.
  Duration m_min_key_retention = std::chrono::hours(1);
  /// Maximum time for which a key is remembered.
  Duration m_max_key_retention = std::chrono::hours(24);
  /// Maximum tolerated difference between the clocks of callers and instances.
  Duration m_clock_skew = std::chrono::minutes(5);
  /// Time for which a minted identity may be used.
  Duration m_identity_lifetime = std::chrono::hours(1);
  /// Maximum number of keys remembered from the log.
  std::size_t m_max_keys = 262'144;
  /// Maximum number of requests held or ended on this instance, with or without
  /// a recorded answer.
  std::size_t m_max_held_keys = 65'536;
  /// Maximum total size of the answers recorded on this instance, in bytes.
  std::size_t m_max_answer_bytes = 4 << 20;
  /// Maximum size of a recorded answer, in bytes; larger answers aren't kept.
  std::size_t m_max_bytes_per_answer = 64 << 10;
  /// Minimum time for which the log keeps a record. Claims are appended again
  /// after half of this time, so that a new instance finds them.
  Duration m_log_retention = std::chrono::hours(1);
};

/// Callbacks through which the ledger uses the log, the control thread and the
/// other instances.
struct LedgerHooks {
  LogAccess m_log;
  /// Runs a function on the control thread, later or at once. Thread safe.
  std::function<void(std::function<void()>)> m_post;
  /// The other instances, dead ones included.
  std::function<std::vector<Member>()> m_members;
  /// Sends a question to a peer. The callback is called once, on the control
  /// thread.
  std::function<void(const InstanceId& peer,
                     const LedgerQuestion& question,
                     std::function<void(LedgerReply)>)>
      m_ask;
  /// Sends a part of the table to a peer. The callback receives whether the
  /// peer accepted it.
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
/// Control thread only, except for `access()`'s functions and `MintIdentity`.
class RequestLedger {
 public:
  RequestLedger(LedgerOptions options, LedgerHooks hooks);
  ~RequestLedger();
  RequestLedger(const RequestLedger&) = delete;
  RequestLedger& operator=(const RequestLedger&) = delete;

  /// Starts reading the claim stream.
  void Start();

  /// The data path's functions. They are thread safe and may outlive the
  /// ledger; claims are then refused.
  LedgerAccess access();

  /// Returns a new identity to be sent with an address answer. Callers use
  /// `<identity>.<their sequence>` as `Idempotency-Key`. Thread safe.
  std::string MintIdentity();

  /// Answers a peer's question, at once or after asking others.
  void AnswerPeer(const LedgerQuestion& question,
                  std::function<void(LedgerReply)> reply);

  /// Stores a part of the table of a peer that shuts down. Returns whether all
  /// of it was accepted.
  bool TakeHandover(const LedgerHandover& part);

  /// Hands this instance's table over to a live peer. Claims are refused from
  /// now on. `done` is called once: when the last part was answered, or when no
  /// peer accepts the table.
  void HandOver(std::function<void()> done);

  /// Whether the claim stream has been read to its end at least once.
  bool caught_up() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_REQUEST_LEDGER_H_
