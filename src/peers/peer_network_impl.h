#ifndef GUAVACROSS_PEERS_PEER_NETWORK_IMPL_H_
#define GUAVACROSS_PEERS_PEER_NETWORK_IMPL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "feed/fetch_turn.h"
#include "peers.pb.h"
#include "peers/grpc_transport.h"
#include "peers/in_flight_codec.h"
#include "peers/member_table.h"
#include "peers/peer_metrics.h"
#include "peers/peer_network.h"
#include "peers/section_repair.h"

namespace guavacross::peers {

/// Encodes an instance's state of a stream, with ages as of `now`.
void FromStreamState(const feed::StreamState& stream,
                     TimePoint now,
                     proto::StreamState* out);

/// Implementation of `PeerNetwork`. All functions must be called on the control
/// thread.
struct PeerNetwork::Impl {
  Impl(PeerOptions options, PeerHooks hooks);

  /// State of the exchange with one peer.
  struct PeerState {
    /// Consecutive heartbeats whose configuration digest differed from this
    /// instance's.
    int m_digest_mismatches = 0;
    /// The number of the last recent section sent to the peer.
    std::uint64_t m_last_sent_section = 0;
    /// The peer's notices differ; it is to be sent the full list.
    bool m_notices_pending = false;
    std::optional<TimePoint> m_notices_sent_at;
    CountsByService m_in_flight;
    /// Number of other instances that the peer knows; 0 if it doesn't say.
    std::size_t m_known_members = 0;
  };

  /// A request for records of a stream.
  struct RecordFetch {
    std::string m_stream;
    std::uint64_t m_from = 0;
    /// Set for a request of deletions only; see `feed::PeerRecords`.
    std::optional<feed::StreamState> m_deletions_of;
  };

  /// A section that came into force recently.
  struct RecentSection {
    std::uint64_t m_number = 0;
    TimePoint m_added_at;
    SectionState m_section;
  };

  // Heartbeats (heartbeat_exchange.cc).
  void RunHeartbeatInterval();
  void SendHeartbeatsNow();
  void SendHeartbeat(const Member& member);
  void WriteHeartbeat(const std::string& peer, proto::Heartbeat* out);
  void WriteRumors(const PeerState& peer_state, proto::Heartbeat* out);
  void WriteNotices(PeerState* peer_state, proto::News* out);
  void WriteRecentSections(PeerState* peer_state, proto::News* out);
  bool OnHeartbeat(const InstanceId& from, const proto::Heartbeat& heartbeat);
  void OnInFlight(const std::string& peer, const proto::Heartbeat& heartbeat);
  void OnNews(const InstanceId& from, const proto::News& news);
  void CompareDigests(const InstanceId& from,
                      const proto::Heartbeat& heartbeat);
  std::uint64_t NoticesDigest() const;
  const LocalState& CachedLocalState();

  // Requests and answers (peer_network.cc).
  void OnRequest(const proto::PeerRequest& request,
                 std::function<void(const proto::PeerReply&)> respond);
  void Answer(const proto::PeerRequest& request,
              const InstanceId& from,
              proto::PeerReply reply,
              std::function<void(const proto::PeerReply&)> respond);
  proto::PeerReply::Refusal ValidateRequest(
      const proto::PeerRequest& request) const;
  void WriteHeader(std::uint64_t to_incarnation, proto::Header* out) const;
  bool IsValidReply(const proto::PeerReply& reply, const InstanceId& from);
  /// Sends a request to a member; `done` gets `std::nullopt` if no valid reply
  /// came.
  void Send(const Member& member,
            std::uint64_t to_incarnation,
            proto::PeerRequest request,
            std::function<void(std::optional<proto::PeerReply>)> done);
  void SendNews(const proto::News& news);
  std::optional<Member> FindMember(const InstanceId& id) const;

  // Anti-entropy (heartbeat_exchange.cc).
  void BeginRepair(const InstanceId& peer);
  void FetchPage(const InstanceId& peer, const std::string& after);
  void OnPage(const InstanceId& peer,
              const std::optional<proto::PeerReply>& reply);

  // Records of the store's streams (record_exchange.cc).
  void CompareStreams(const InstanceId& from,
                      const proto::Heartbeat& heartbeat);
  void FetchRecords(const InstanceId& from, const RecordFetch& fetch);
  void AnswerRecords(const proto::RecordsRequest& request,
                     proto::RecordsReply* reply) const;

  // Members.
  void OnMembersChanged();
  void RenewFailedConnection(const InstanceId& id);
  void PublishMembers();

  PeerOptions m_options;
  PeerHooks m_hooks;
  MemberTable m_table;
  PeerMetrics m_metrics;
  TargetNames m_targets;
  RepairBudget m_repair_budget;
  std::unique_ptr<GrpcTransport> m_transport;
  std::map<std::string, PeerState> m_peer_states;
  std::deque<RecentSection> m_recent_sections;
  std::uint64_t m_last_section_number = 0;
  std::uint64_t m_last_heartbeat_number = 0;
  std::optional<LocalState> m_local;
  /// Fetches in progress, by stream and whether only deletions are fetched.
  std::map<std::pair<std::string, bool>, feed::FetchTurn> m_fetch_turns;
  bool m_leaving = false;
  bool m_repairing = false;
  /// The repair in progress started without sections and isn't rate limited.
  bool m_is_first_repair = false;
  bool m_stopped = false;
  std::unique_ptr<Timer> m_heartbeat_timer;
  std::unique_ptr<Timer> m_push_timer;
  std::unique_ptr<Timer> m_repair_timer;

  // Guards `m_members`, the copy of the members that other threads read.
  mutable std::mutex m_mutex;
  std::vector<Member> m_members;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_PEER_NETWORK_IMPL_H_
