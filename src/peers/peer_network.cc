#include "peers/peer_network.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "peers/peer_codec.h"
#include "peers/peer_network_impl.h"
#include "util/log.h"

namespace guavacross::peers {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;
constexpr std::size_t kMaxNameLength = 256;
constexpr int kMaxRumors = 64;
constexpr int kMaxInFlightEntries = 4096;
constexpr int kMaxNotices = 4096;
constexpr int kMaxStreams = 16;
constexpr int kMaxImpaired = 256;
// Delay before sections that came into force are sent to peers. Sections that
// come into force meanwhile are sent together, and most peers will have read
// them from the log by then.
constexpr Duration kSectionPushDelay = std::chrono::milliseconds(150);
constexpr std::size_t kMaxRecentSections = 1024;
constexpr std::size_t kRepairBurstBytes = 64 << 10;
constexpr Duration kHandoverTimeout = std::chrono::seconds(5);
// A request waits for the answer: the owner is passed over after many round
// trips between availability zones.
constexpr Duration kQuotaTimeout = std::chrono::milliseconds(150);

MemberTableOptions TableOptions(const PeerOptions& options) {
  return {.m_self = options.m_self.m_name,
          .m_suspect_after = options.m_suspect_after,
          .m_dead_after = options.m_dead_after,
          .m_forget_after = options.m_forget_after,
          .m_fanout = options.m_fanout};
}

bool IsWellFormed(const proto::News& news) {
  return news.drains_size() <= kMaxNotices &&
         news.limits_size() <= kMaxNotices &&
         news.quarantines_size() <= kMaxNotices &&
         news.suspects_size() <= kMaxNotices;
}

bool IsWellFormed(const proto::Heartbeat& heartbeat) {
  if (heartbeat.rumors_size() > kMaxRumors ||
      heartbeat.suspects_size() > kMaxRumors ||
      heartbeat.in_flight_size() > kMaxInFlightEntries ||
      heartbeat.in_flight_size() != heartbeat.target_hashes_size() ||
      heartbeat.streams_size() > kMaxStreams ||
      heartbeat.reach().impaired_size() > kMaxImpaired ||
      heartbeat.reach().reaching_peers_size() > kMaxRumors ||
      !IsWellFormed(heartbeat.news())) {
    return false;
  }
  for (const proto::Rumor& rumor : heartbeat.rumors()) {
    if (rumor.name().empty() || rumor.name().size() > kMaxNameLength) {
      return false;
    }
  }
  return true;
}

bool IsWellFormed(const proto::PeerRequest& request) {
  switch (request.body_case()) {
    case proto::PeerRequest::kHeartbeat:
      return IsWellFormed(request.heartbeat());
    case proto::PeerRequest::kNews:
      return IsWellFormed(request.news());
    case proto::PeerRequest::BODY_NOT_SET:
      return false;
    default:
      return true;
  }
}

}  // namespace

PeerNetwork::Impl::Impl(PeerOptions options, PeerHooks hooks)
    : m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_table(TableOptions(m_options)),
      m_metrics(m_options.m_metrics),
      m_repair_budget(m_options.m_repair_bytes_per_second, kRepairBurstBytes) {
  TransportHooks transport_hooks;
  transport_hooks.m_post = m_hooks.m_post;
  transport_hooks.m_on_request =
      [this](const proto::PeerRequest& request,
             std::function<void(const proto::PeerReply&)> respond) {
        OnRequest(request, std::move(respond));
      };
  m_transport = std::make_unique<GrpcTransport>(
      TransportOptions{.m_listen = m_options.m_listen,
                       .m_max_message_bytes = m_options.m_max_message_bytes},
      std::move(transport_hooks));
}

void PeerNetwork::Impl::WriteHeader(std::uint64_t to_incarnation,
                                    proto::Header* out) const {
  out->set_version(kProtocolVersion);
  out->set_cluster(m_options.m_cluster);
  out->set_from(m_options.m_self.m_name);
  out->set_from_incarnation(m_options.m_self.m_incarnation);
  out->set_to_incarnation(to_incarnation);
}

proto::PeerReply::Refusal PeerNetwork::Impl::ValidateRequest(
    const proto::PeerRequest& request) const {
  const proto::Header& header = request.header();
  if (header.version() != kProtocolVersion ||
      header.cluster() != m_options.m_cluster) {
    return proto::PeerReply::INCOMPATIBLE;
  }
  if (header.from().empty() || header.from().size() > kMaxNameLength ||
      header.from() == m_options.m_self.m_name || !IsWellFormed(request)) {
    return proto::PeerReply::BAD_MESSAGE;
  }
  if (header.to_incarnation() != 0 &&
      header.to_incarnation() != m_options.m_self.m_incarnation) {
    return proto::PeerReply::OTHER_INCARNATION;
  }
  return proto::PeerReply::NONE;
}

void PeerNetwork::Impl::OnRequest(
    const proto::PeerRequest& request,
    std::function<void(const proto::PeerReply&)> respond) {
  proto::PeerReply reply;
  WriteHeader(request.header().from_incarnation(), reply.mutable_header());
  const proto::PeerReply::Refusal refusal = ValidateRequest(request);
  if (refusal != proto::PeerReply::NONE) {
    m_metrics.CountRefusal(
        refusal == proto::PeerReply::INCOMPATIBLE  ? "incompatible"
        : refusal == proto::PeerReply::BAD_MESSAGE ? "bad-message"
                                                   : "other-incarnation");
    reply.set_refusal(refusal);
    respond(reply);
    return;
  }
  const InstanceId from{.m_name = request.header().from(),
                        .m_incarnation = request.header().from_incarnation()};
  Answer(request, from, std::move(reply), std::move(respond));
}

void PeerNetwork::Impl::Answer(
    const proto::PeerRequest& request,
    const InstanceId& from,
    proto::PeerReply reply,
    std::function<void(const proto::PeerReply&)> respond) {
  const auto refuse = [&] {
    m_metrics.CountRefusal("bad-message");
    reply.set_refusal(proto::PeerReply::BAD_MESSAGE);
  };
  switch (request.body_case()) {
    case proto::PeerRequest::kHeartbeat:
      if (OnHeartbeat(from, request.heartbeat())) {
        WriteHeartbeat(from.m_name, reply.mutable_heartbeat());
        const std::vector<std::string> asked(
            request.heartbeat().suspects().begin(),
            request.heartbeat().suspects().end());
        for (const Rumor& rumor :
             m_table.RumorsOf(asked, m_options.m_clock.m_now())) {
          FromRumor(rumor, reply.mutable_heartbeat()->add_rumors());
        }
      } else {
        reply.set_refusal(proto::PeerReply::OTHER_INCARNATION);
      }
      break;
    case proto::PeerRequest::kNews:
      OnNews(from, request.news());
      reply.set_taken(true);
      break;
    case proto::PeerRequest::kSections: {
      const auto limit = std::min<std::size_t>(
          request.sections().max_bytes(),
          static_cast<std::size_t>(m_options.m_max_message_bytes / 2));
      AnswerSections(request.sections(),
                     m_hooks.m_sections ? m_hooks.m_sections()
                                        : std::vector<SectionState>(),
                     limit, reply.mutable_sections());
      break;
    }
    case proto::PeerRequest::kQuestion: {
      ledger::LedgerQuestion question;
      if (!m_hooks.m_answer_ledger ||
          !ToQuestion(request.question(), from, &question)) {
        refuse();
        break;
      }
      m_hooks.m_answer_ledger(
          question, [reply = std::move(reply), respond = std::move(respond)](
                        const ledger::LedgerReply& answer) mutable {
            FromReply(answer, reply.mutable_answer());
            respond(reply);
          });
      return;
    }
    case proto::PeerRequest::kHandover: {
      ledger::LedgerHandover part;
      if (!m_hooks.m_take_handover ||
          !ToHandover(request.handover(), from, &part)) {
        refuse();
        break;
      }
      reply.set_taken(m_hooks.m_take_handover(part));
      break;
    }
    case proto::PeerRequest::kRecords:
      AnswerRecords(request.records(), reply.mutable_records());
      break;
    case proto::PeerRequest::kQuota:
      if (m_hooks.m_answer_quota) {
        FromQuotaAnswer(m_hooks.m_answer_quota(
                            from.m_name, ToQuotaQuestion(request.quota())),
                        reply.mutable_quota());
      } else {
        refuse();
      }
      break;
    case proto::PeerRequest::BODY_NOT_SET:
      refuse();
      break;
  }
  respond(reply);
}

// Accepts a reply only with the expected protocol version, cluster and
// incarnation.
bool PeerNetwork::Impl::IsValidReply(const proto::PeerReply& reply,
                                     const InstanceId& from) {
  const proto::Header& header = reply.header();
  if (header.version() != kProtocolVersion ||
      header.cluster() != m_options.m_cluster ||
      reply.refusal() == proto::PeerReply::INCOMPATIBLE) {
    m_metrics.CountRefusal("incompatible");
    return false;
  }
  const bool is_other_instance =
      header.from() == m_options.m_self.m_name ||
      (from.m_incarnation != 0 &&
       from != InstanceId{header.from(), header.from_incarnation()});
  return reply.refusal() == proto::PeerReply::NONE && !is_other_instance &&
         (!reply.has_heartbeat() || IsWellFormed(reply.heartbeat()));
}

void PeerNetwork::Impl::Send(
    const Member& member,
    std::uint64_t to_incarnation,
    proto::PeerRequest request,
    std::function<void(std::optional<proto::PeerReply>)> done) {
  WriteHeader(to_incarnation, request.mutable_header());
  const InstanceId to{.m_name = member.m_id.m_name,
                      .m_incarnation = to_incarnation};
  const Duration timeout = request.has_handover() ? kHandoverTimeout
                           : request.has_quota()  ? kQuotaTimeout
                                                  : m_options.m_call_timeout;
  m_transport->Call(member.m_peers, request, timeout,
                    [this, to, done = std::move(done)](
                        const std::optional<proto::PeerReply>& reply) {
                      if (reply && IsValidReply(*reply, to)) {
                        done(reply);
                      } else {
                        done(std::nullopt);
                      }
                    });
}

void PeerNetwork::Impl::SendNews(const proto::News& news) {
  for (const Member& member : m_table.Members()) {
    if (member.m_state != MemberState::kDead) {
      proto::PeerRequest request;
      *request.mutable_news() = news;
      Send(member, 0, std::move(request),
           [](const std::optional<proto::PeerReply>&) {});
    }
  }
}

std::optional<Member> PeerNetwork::Impl::FindMember(
    const InstanceId& id) const {
  for (const Member& member : m_table.Members()) {
    if (member.m_id == id) {
      return member;
    }
  }
  return std::nullopt;
}

void PeerNetwork::Impl::OnMembersChanged() {
  const auto changes = m_table.TakeChanges();
  for (const MemberChange& change : changes) {
    util::LogChange("peers", "member state changed",
                    {{"peer", change.m_id.m_name},
                     {"incarnation", std::to_string(change.m_id.m_incarnation)},
                     {"state", std::string(MemberStateName(change.m_state))}});
    if (change.m_state == MemberState::kLive) {
      RenewFailedConnection(change.m_id);
    }
    if (change.m_state == MemberState::kDead) {
      for (const auto& [service, counts] :
           std::exchange(m_peer_states[change.m_id.m_name].m_in_flight, {})) {
        if (m_hooks.m_on_in_flight) {
          m_hooks.m_on_in_flight(change.m_id.m_name, service, {});
        }
      }
    }
  }
  PublishMembers();
  if (!changes.empty() && m_hooks.m_on_members_changed) {
    m_hooks.m_on_members_changed();
  }
}

void PeerNetwork::Impl::RenewFailedConnection(const InstanceId& id) {
  if (const auto member = FindMember(id)) {
    m_transport->RenewFailedConnection(member->m_peers);
  }
}

void PeerNetwork::Impl::PublishMembers() {
  std::vector<Member> members = m_table.Members();
  const std::lock_guard lock(m_mutex);
  m_members = std::move(members);
}

PeerNetwork::PeerNetwork(PeerOptions options, PeerHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

PeerNetwork::~PeerNetwork() {
  Stop();
}

bool PeerNetwork::Start() {
  if (!m_impl->m_transport->Start()) {
    return false;
  }
  m_impl->RunHeartbeatInterval();
  return true;
}

void PeerNetwork::Stop() {
  m_impl->m_stopped = true;
  m_impl->m_heartbeat_timer.reset();
  m_impl->m_push_timer.reset();
  m_impl->m_repair_timer.reset();
  m_impl->m_transport->Stop();
}

Endpoint PeerNetwork::listen_address() const {
  return m_impl->m_transport->listen_address();
}

void PeerNetwork::SetListed(const std::vector<ListedInstance>& listed) {
  m_impl->m_table.SetListed(listed, m_impl->m_options.m_clock.m_now());
  m_impl->OnMembersChanged();
}

void PeerNetwork::SetTargets(const std::string& service,
                             const std::vector<std::string>& targets) {
  m_impl->m_targets.Set(service, targets);
}

std::vector<Member> PeerNetwork::Members() const {
  const std::lock_guard lock(m_impl->m_mutex);
  return m_impl->m_members;
}

int PeerNetwork::LiveCount() const {
  const std::lock_guard lock(m_impl->m_mutex);
  int count = 1;
  for (const Member& member : m_impl->m_members) {
    count += member.m_state == MemberState::kDead ? 0 : 1;
  }
  return count;
}

void PeerNetwork::PushDrain(const DrainNotice& notice) {
  proto::News news;
  FromDrain(notice, news.add_drains());
  m_impl->SendNews(news);
}

void PeerNetwork::PushLimit(const LimitNotice& notice) {
  proto::News news;
  FromLimit(notice, news.add_limits());
  m_impl->SendNews(news);
}

void PeerNetwork::PushQuarantine(const QuarantineNotice& notice) {
  proto::News news;
  FromQuarantine(notice, news.add_quarantines());
  m_impl->SendNews(news);
}

void PeerNetwork::PushSuspect(const SuspectNotice& notice) {
  proto::News news;
  FromSuspect(notice, news.add_suspects());
  m_impl->SendNews(news);
}

void PeerNetwork::PushSections(const std::vector<SectionState>& sections) {
  Impl& impl = *m_impl;
  const TimePoint now = impl.m_options.m_clock.m_now();
  for (const SectionState& section : sections) {
    impl.m_recent_sections.push_back({.m_number = ++impl.m_last_section_number,
                                      .m_added_at = now,
                                      .m_section = section});
  }
  while (impl.m_recent_sections.size() > kMaxRecentSections) {
    impl.m_recent_sections.pop_front();
  }
  impl.m_local.reset();
  if (impl.m_push_timer != nullptr || impl.m_stopped) {
    return;
  }
  impl.m_push_timer =
      impl.m_options.m_clock.m_call_after(kSectionPushDelay, [&impl] {
        const auto running = std::move(impl.m_push_timer);
        impl.SendHeartbeatsNow();
      });
}

void PeerNetwork::SendHeartbeatsNow() {
  m_impl->SendHeartbeatsNow();
}

void PeerNetwork::AnnounceLeaving() {
  m_impl->m_leaving = true;
  proto::News news;
  news.set_leaving(true);
  m_impl->SendNews(news);
}

void PeerNetwork::AskLedger(const InstanceId& peer,
                            const ledger::LedgerQuestion& question,
                            std::function<void(ledger::LedgerReply)> reply) {
  const auto member = m_impl->FindMember(peer);
  if (!member) {
    reply({});
    return;
  }
  proto::PeerRequest request;
  FromQuestion(question, request.mutable_question());
  m_impl->Send(*member, peer.m_incarnation, std::move(request),
               [reply = std::move(reply)](
                   const std::optional<proto::PeerReply>& answer) {
                 ledger::LedgerReply read;
                 if (!answer || !answer->has_answer() ||
                     !ToReply(answer->answer(), &read)) {
                   read = {};
                 }
                 reply(std::move(read));
               });
}

void PeerNetwork::AskQuota(
    const std::string& peer,
    const policy::QuotaQuestion& question,
    std::function<void(std::optional<policy::QuotaAnswer>)> done) {
  for (const Member& member : m_impl->m_table.Members()) {
    if (member.m_id.m_name != peer) {
      continue;
    }
    proto::PeerRequest request;
    FromQuotaQuestion(question, request.mutable_quota());
    m_impl->Send(
        member, 0, std::move(request),
        [done = std::move(done)](const std::optional<proto::PeerReply>& reply) {
          const bool answered = reply && reply->has_quota();
          done(answered ? std::optional(ToQuotaAnswer(reply->quota()))
                        : std::nullopt);
        });
    return;
  }
  done(std::nullopt);
}

void PeerNetwork::HandOver(const InstanceId& peer,
                           const ledger::LedgerHandover& part,
                           std::function<void(bool)> done) {
  const auto member = m_impl->FindMember(peer);
  if (!member) {
    done(false);
    return;
  }
  proto::PeerRequest request;
  FromHandover(part, request.mutable_handover());
  m_impl->Send(
      *member, peer.m_incarnation, std::move(request),
      [done = std::move(done)](const std::optional<proto::PeerReply>& reply) {
        done(reply && reply->taken());
      });
}

}  // namespace guavacross::peers
