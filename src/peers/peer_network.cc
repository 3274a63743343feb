#include "peers/peer_network.h"

#include <mutex>

namespace guavacross::peers {

struct PeerNetwork::Impl {
  PeerOptions m_options;
  PeerHooks m_hooks;
  mutable std::mutex m_mutex;
  std::vector<Member> m_members;
};

PeerNetwork::PeerNetwork(PeerOptions options, PeerHooks hooks)
    : m_impl(std::make_shared<Impl>()) {
  m_impl->m_options = std::move(options);
  m_impl->m_hooks = std::move(hooks);
}

PeerNetwork::~PeerNetwork() = default;

bool PeerNetwork::Start() {
  return true;
}

void PeerNetwork::Stop() {}

Endpoint PeerNetwork::listen_address() const {
  return m_impl->m_options.m_listen;
}

void PeerNetwork::SetListed(const std::vector<ListedInstance>& listed) {
  const std::lock_guard lock(m_impl->m_mutex);
  m_impl->m_members.clear();
  for (const ListedInstance& entry : listed) {
    if (entry.m_name != m_impl->m_options.m_self.m_name) {
      m_impl->m_members.push_back({.m_id = {.m_name = entry.m_name},
                                   .m_region = entry.m_region,
                                   .m_zone = entry.m_zone,
                                   .m_callers = entry.m_callers,
                                   .m_peers = entry.m_peers});
    }
  }
}

void PeerNetwork::SetTargets(const std::string& /*service*/,
                             const std::vector<std::string>& /*targets*/) {}

std::vector<Member> PeerNetwork::Members() const {
  const std::lock_guard lock(m_impl->m_mutex);
  return m_impl->m_members;
}

int PeerNetwork::LiveCount() const {
  const std::lock_guard lock(m_impl->m_mutex);
  return 1 + static_cast<int>(m_impl->m_members.size());
}

void PeerNetwork::PushDrain(const DrainNotice& /*notice*/) {}
void PeerNetwork::PushQuarantine(const QuarantineNotice& /*notice*/) {}
void PeerNetwork::PushSuspect(const SuspectNotice& /*notice*/) {}
void PeerNetwork::PushSections(const std::vector<SectionState>& /*sections*/) {}
void PeerNetwork::AnnounceLeaving() {}

void PeerNetwork::AskLedger(const InstanceId& /*peer*/,
                            const ledger::LedgerQuestion& /*question*/,
                            std::function<void(ledger::LedgerReply)> reply) {
  reply({});
}

void PeerNetwork::HandOver(const InstanceId& /*peer*/,
                           const ledger::LedgerHandover& /*part*/,
                           std::function<void(bool)> done) {
  done(false);
}

}  // namespace guavacross::peers
