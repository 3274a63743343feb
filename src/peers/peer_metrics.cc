#include "peers/peer_metrics.h"

#include <algorithm>
#include <array>
#include <utility>

namespace guavacross::peers {

namespace {

constexpr std::array kStates = {
    std::pair{MemberState::kLive, "live"},
    std::pair{MemberState::kSuspect, "suspect"},
    std::pair{MemberState::kLeaving, "leaving"},
    std::pair{MemberState::kDead, "dead"},
};

}  // namespace

PeerMetrics::PeerMetrics(util::Metrics* metrics) : m_metrics(metrics) {}

void PeerMetrics::CountRefusal(const std::string& reason) {
  if (m_metrics != nullptr) {
    m_metrics
        ->Counter("guavacross_peer_refused_messages_total",
                  "Messages from peers that were refused", {{"reason", reason}})
        .Increment();
  }
}

void PeerMetrics::CountRepairedBytes(std::uint64_t bytes) {
  if (m_metrics != nullptr) {
    m_metrics
        ->Counter("guavacross_peer_repair_bytes_total",
                  "Bytes of sections fetched by anti-entropy")
        .Increment(static_cast<double>(bytes));
  }
}

void PeerMetrics::Report(const TransportCounts& counts,
                         const std::vector<Member>& members) {
  if (m_metrics == nullptr) {
    return;
  }
  const auto set = [this](const std::string& name, const std::string& help,
                          std::uint64_t value) {
    m_metrics->Gauge(name, help).Set(static_cast<double>(value));
  };
  set("guavacross_peer_sent_bytes", "Bytes of messages sent to peers",
      counts.m_sent_bytes);
  set("guavacross_peer_received_bytes", "Bytes of messages received from peers",
      counts.m_received_bytes);
  set("guavacross_peer_sent_messages", "Messages sent to peers",
      counts.m_sent_messages);
  set("guavacross_peer_received_messages", "Messages received from peers",
      counts.m_received_messages);
  set("guavacross_peer_overload_refusals",
      "Requests from peers refused because too many were open",
      counts.m_overload_refusals);
  set("guavacross_peer_failed_messages",
      "Requests to peers that failed although the peer was reachable",
      counts.m_failed_messages);
  for (const auto& [state, name] : kStates) {
    const auto count = std::count_if(
        members.begin(), members.end(),
        [state = state](const Member& m) { return m.m_state == state; });
    m_metrics
        ->Gauge("guavacross_members", "Other instances by state",
                {{"state", name}})
        .Set(static_cast<double>(count));
  }
}

}  // namespace guavacross::peers
