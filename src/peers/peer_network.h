#ifndef GUAVACROSS_PEERS_PEER_NETWORK_H_
#define GUAVACROSS_PEERS_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "feed/shared_records.h"
#include "guavacross/config_state.h"
#include "guavacross/membership.h"
#include "guavacross/routing.h"
#include "guavacross/time.h"
#include "ledger/ledger_messages.h"

namespace guavacross::util {
class Metrics;
}

namespace guavacross::peers {

struct PeerOptions {
  InstanceId m_self;
  /// Instances of another cluster are refused.
  std::string m_cluster = "guavacross";
  std::string m_region;
  std::string m_zone;
  Endpoint m_callers;
  /// Where the gRPC server listens; port 0 takes any free port.
  Endpoint m_listen;
  /// Where other instances reach it, if that is another address.
  std::optional<Endpoint> m_advertised;
  Clock m_clock;
  /// Outlives the network; may be null.
  util::Metrics* m_metrics = nullptr;
  std::uint64_t m_seed = 0;
  Duration m_heartbeat_interval = std::chrono::milliseconds(500);
  /// Peers that get a heartbeat in each interval.
  int m_fanout = 5;
  /// Without evidence of life for this long, a member becomes suspect.
  Duration m_suspect_after = std::chrono::milliseconds(2000);
  /// A suspect without evidence of life for this long is dead.
  Duration m_dead_after = std::chrono::milliseconds(3000);
  /// A dead member that the instance list doesn't show is forgotten after
  /// this.
  Duration m_forget_after = std::chrono::seconds(60);
  Duration m_call_timeout = std::chrono::milliseconds(1000);
  /// Larger messages are refused.
  int m_max_message_bytes = 1 << 20;
  /// Sections fetched by anti-entropy, over a longer time. A first fetch into
  /// an empty state is not slowed down.
  double m_repair_bytes_per_second = 8192;
};

/// What heartbeats tell about this instance.
struct LocalState {
  /// Share of the slots in use, 0 to 1.
  double m_load = 0;
  /// Digest of the sections in force and the highest version among them.
  std::uint64_t m_config_digest = 0;
  std::uint64_t m_config_version = 0;
  /// Digest of the state folded from the log, and the offset it is as of.
  std::uint64_t m_fold_as_of = 0;
  std::uint64_t m_fold_digest = 0;
  InFlightCounts m_in_flight;
  std::vector<feed::StreamState> m_streams;

  bool operator==(const LocalState&) const = default;
};

/// How the network reaches the rest of the program. All hooks but `m_post` are
/// called on the control thread; unset ones are left out.
struct PeerHooks {
  /// Runs a function on the control thread, later. Thread safe.
  std::function<void(std::function<void()>)> m_post;
  std::function<LocalState()> m_local_state;
  /// The sections in force on this instance.
  std::function<std::vector<SectionState>()> m_sections;
  std::function<std::vector<DrainNotice>()> m_drains;
  std::function<std::vector<QuarantineNotice>()> m_quarantines;

  /// Sections that a peer has in force. Older ones may be among them.
  std::function<void(const std::vector<SectionState>&)> m_on_sections;
  /// The digest of a peer's fold as of an offset.
  std::function<void(std::uint64_t as_of, std::uint64_t digest)>
      m_on_fold_digest;
  std::function<void(const DrainNotice&)> m_on_drain;
  std::function<void(const QuarantineNotice&)> m_on_quarantine;
  std::function<void(const SuspectNotice&)> m_on_suspect;
  /// For `Router::SetPeerInFlight`.
  std::function<void(const std::string& peer,
                     const std::string& service,
                     const std::vector<std::pair<std::string, int>>& counts)>
      m_on_in_flight;
  feed::StreamExchange m_streams;
  /// Some member's state, address or digest changed.
  std::function<void()> m_on_members;
  /// For `RequestLedger::AnswerPeer` and `TakeHandover`.
  std::function<void(const ledger::LedgerQuestion&,
                     std::function<void(ledger::LedgerReply)>)>
      m_answer_ledger;
  std::function<bool(const ledger::LedgerHandover&)> m_take_handover;
};

/// One instance's connections to the other entry instances.
///
/// Construct it on the control thread, call `Start`, pass on what the instance
/// list shows with `SetListed`, and push news as it comes. `Members` and
/// `LiveCount` are thread safe; all else is for the control thread.
/// `docs/design/membership.md` explains the protocol.
class PeerNetwork {
 public:
  PeerNetwork(PeerOptions options, PeerHooks hooks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// Listens and begins to send heartbeats.
  ///
  /// @return whether the address could be bound.
  bool Start();

  /// Cancels what is under way and ends gRPC's threads. No hook is called
  /// afterwards. Called by the destructor if need be.
  void Stop();

  /// The address that the server listens on, with its real port.
  Endpoint listen_address() const;

  /// Takes the newest instance list. Entries of this instance are ignored.
  void SetListed(const std::vector<ListedInstance>& listed);

  /// Names a service's targets, so that peers' in-flight counts, which carry
  /// hashes, can be told by name. An empty list removes the service.
  void SetTargets(const std::string& service,
                  const std::vector<std::string>& targets);

  /// The other instances, sorted by name. Thread safe.
  std::vector<Member> Members() const;

  /// Instances that may be running, this one included: all but dead ones.
  /// Thread safe.
  int LiveCount() const;

  /// News for all peers, sent at once.
  void PushDrain(const DrainNotice& notice);
  void PushQuarantine(const QuarantineNotice& notice);
  void PushSuspect(const SuspectNotice& notice);
  void PushSections(const std::vector<SectionState>& sections);
  /// Sends heartbeats now, since there is something new to tell.
  void BeatNow();
  /// Tells all peers that this instance is shutting down.
  void AnnounceLeaving();

  /// Asks a peer's ledger; `kUnreachable` if no answer comes in time, or if
  /// another incarnation answers.
  void AskLedger(const InstanceId& peer,
                 const ledger::LedgerQuestion& question,
                 std::function<void(ledger::LedgerReply)> reply);
  void HandOver(const InstanceId& peer,
                const ledger::LedgerHandover& part,
                std::function<void(bool)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_PEER_NETWORK_H_
