#ifndef GUAVACROSS_PEERS_PEER_NETWORK_H_
#define GUAVACROSS_PEERS_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "feed/shared_records.h"
#include "guavacross/config_state.h"
#include "guavacross/membership.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"
#include "ledger/ledger_messages.h"
#include "policy/tenant_quota.h"

namespace guavacross::util {
class Metrics;
}

namespace guavacross::peers {

struct PeerOptions {
  InstanceId m_self;
  /// Messages from instances of another cluster are refused.
  std::string m_cluster = "guavacross";
  std::string m_region;
  std::string m_zone;
  Endpoint m_callers;
  /// Where this instance accepts requests that peers pass on; port 0 if it
  /// doesn't.
  Endpoint m_relay;
  /// Listen address of the gRPC server; port 0 takes any free port.
  Endpoint m_listen;
  /// Address given to other instances, if it differs from `m_listen`.
  std::optional<Endpoint> m_advertised;
  Clock m_clock;
  /// Outlives the network; may be null.
  util::Metrics* m_metrics = nullptr;
  std::uint64_t m_seed = 0;
  Duration m_heartbeat_interval = std::chrono::milliseconds(500);
  /// Number of peers that are sent a heartbeat in each interval.
  int m_fanout = 5;
  /// A member becomes suspect after this long without evidence of life (see
  /// `MemberTable`).
  Duration m_suspect_after = std::chrono::milliseconds(2000);
  /// A suspect member becomes dead after this much longer without evidence.
  Duration m_dead_after = std::chrono::milliseconds(3000);
  /// A dead member that isn't in the instance list is removed after this long.
  Duration m_forget_after = std::chrono::seconds(60);
  Duration m_call_timeout = std::chrono::milliseconds(1000);
  /// Larger messages are refused.
  int m_max_message_bytes = 1 << 20;
  /// Long-term rate limit for sections fetched by anti-entropy. The first fetch
  /// into an empty state is not limited.
  double m_repair_bytes_per_second = 8192;
};

/// State of this instance that heartbeats carry.
struct LocalState {
  /// Share of the slots in use, 0 to 1.
  double m_load = 0;
  /// Digest of the sections in force and the highest version among them.
  std::uint64_t m_config_digest = 0;
  std::uint64_t m_config_version = 0;
  /// Digest of the state folded from the log, and the log offset it refers to.
  std::uint64_t m_fold_offset = 0;
  std::uint64_t m_fold_digest = 0;
  InFlightCounts m_in_flight;
  std::vector<feed::StreamState> m_streams;

  bool operator==(const LocalState&) const = default;
};

/// Callbacks into the rest of the program. All but `m_post` are called on the
/// control thread; unset ones are skipped.
struct PeerHooks {
  /// Queues a function to run on the control thread. Thread safe.
  std::function<void(std::function<void()>)> m_post;
  std::function<LocalState()> m_local_state;
  /// This instance's path to the targets. Called for each heartbeat.
  std::function<ReachState()> m_reach;
  /// The sections in force on this instance.
  std::function<std::vector<SectionState>()> m_sections;
  std::function<std::vector<DrainNotice>()> m_drains;
  std::function<std::vector<LimitNotice>()> m_limits;
  std::function<std::vector<QuarantineNotice>()> m_quarantines;

  /// Gets sections that a peer has in force. Some may be older than the ones in
  /// force here.
  std::function<void(const std::vector<SectionState>&)> m_on_sections;
  /// Gets the digest of the state that a peer folded from the log, and the log
  /// offset it refers to.
  std::function<void(std::uint64_t as_of, std::uint64_t digest)>
      m_on_fold_digest;
  std::function<void(const DrainNotice&)> m_on_drain;
  std::function<void(const LimitNotice&)> m_on_limit;
  std::function<void(const QuarantineNotice&)> m_on_quarantine;
  std::function<void(const SuspectNotice&)> m_on_suspect;
  /// Gets a peer's changed in-flight counts; for `Router::SetPeerInFlight`.
  std::function<void(const std::string& peer,
                     const std::string& service,
                     const std::vector<std::pair<std::string, int>>& counts)>
      m_on_in_flight;
  std::function<void(const std::string& peer, const ReachState& reach)>
      m_on_reach;
  feed::StreamExchange m_streams;
  /// Called after the state or incarnation of a member changed.
  std::function<void()> m_on_members_changed;
  /// For `RequestLedger::AnswerPeer` and `TakeHandover`.
  std::function<void(const ledger::LedgerQuestion&,
                     std::function<void(ledger::LedgerReply)>)>
      m_answer_ledger;
  std::function<bool(const ledger::LedgerHandover&)> m_take_handover;
  /// Answers a peer that asks this instance for tokens of a tenant's limit.
  std::function<policy::QuotaAnswer(const std::string& peer,
                                    const policy::QuotaQuestion&)>
      m_answer_quota;
};

/// Connects this instance to the other entry instances.
///
/// Construct it on the control thread, call `Start`, pass each new instance
/// list to `SetListed`, and push notices as they arise. `Members` and
/// `LiveCount` are thread safe; all other functions must be called on the
/// control thread. `docs/design/membership.md` explains the protocol.
class PeerNetwork {
 public:
  PeerNetwork(PeerOptions options, PeerHooks hooks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// Starts listening and sending heartbeats.
  ///
  /// @return whether the address could be bound.
  bool Start();

  /// Cancels outstanding calls and ends gRPC's threads. No hook is called
  /// afterwards. The destructor calls it, too.
  void Stop();

  /// The listen address of the server, with the actual port.
  Endpoint listen_address() const;

  /// Sets the current instance list. Entries of this instance are ignored.
  void SetListed(const std::vector<ListedInstance>& listed);

  /// Sets the names of a service's targets, which resolve the target hashes in
  /// peers' in-flight counts. An empty list removes the service.
  void SetTargets(const std::string& service,
                  const std::vector<std::string>& targets);

  /// The other instances, sorted by name. Thread safe.
  std::vector<Member> Members() const;

  /// Number of instances that may be running (all but dead ones), this one
  /// included. Thread safe.
  int LiveCount() const;

  /// Send a notice to all peers immediately.
  void PushDrain(const DrainNotice& notice);
  void PushLimit(const LimitNotice& notice);
  void PushQuarantine(const QuarantineNotice& notice);
  void PushSuspect(const SuspectNotice& notice);
  /// Sends heartbeats shortly afterwards; peers with another configuration
  /// digest get these sections with their heartbeats.
  void PushSections(const std::vector<SectionState>& sections);
  /// Sends heartbeats now instead of at the next interval, for example after
  /// the local state changed.
  void SendHeartbeatsNow();
  /// Tells all peers that this instance is shutting down.
  void AnnounceLeaving();

  /// Sends a question to a peer's ledger. The reply is `kUnreachable` if none
  /// comes in time or if another incarnation answers.
  void AskLedger(const InstanceId& peer,
                 const ledger::LedgerQuestion& question,
                 std::function<void(ledger::LedgerReply)> reply);
  /// Asks the owner of a tenant's limit; `done` gets nothing if it doesn't
  /// answer within a short time.
  void AskQuota(const std::string& peer,
                const policy::QuotaQuestion& question,
                std::function<void(std::optional<policy::QuotaAnswer>)> done);
  /// Sends a part of a ledger handover; `done` gets whether the peer took it.
  void HandOver(const InstanceId& peer,
                const ledger::LedgerHandover& part,
                std::function<void(bool)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_PEER_NETWORK_H_
