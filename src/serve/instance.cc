#include "serve/instance.h"

#include <algorithm>
#include <utility>

#include "backends/probe_runner.h"
#include "callers/caller_server.h"
#include "guavacross/document.h"
#include "guavacross/routing.h"
#include "instance_list/instance_poller.h"
#include "ledger/request_ledger.h"
#include "log_service/config_reader.h"
#include "log_service/http_log_access.h"
#include "operators/operator_server.h"
#include "peers/peer_network.h"
#include "serve/control_thread.h"
#include "serve/instance_parts.h"
#include "serve/router_peer_hooks.h"
#include "util/hash.h"
#include "util/log.h"
#include "util/metrics.h"

namespace guavacross::serve {

namespace {

// Instances divide the probe budget by the number of live instances. A new
// instance delays its probes until the others have counted it, since the
// instance list and the heartbeats lag.
constexpr Duration kFirstProbeDelay = std::chrono::seconds(3);
constexpr Duration kInstanceCountInterval = std::chrono::milliseconds(200);

}  // namespace

// Members are destroyed in reverse order of declaration, so a member that calls
// others must be declared after them.
struct Instance::Impl {
  Impl(InstanceSettings settings, Clock clock);
  ~Impl();

  void MakeRouter();
  void MakeConfig();
  void MakePeers();
  void MakeLedger();
  void MakeCallers();
  void MakeInstancePoller();
  void MakeOperators();
  Result<bool> Start();

  void ApplySection(const SectionState& section);
  void UpdateInstanceCount();
  void UpdateReady();
  peers::LocalState LocalState() const;
  double Load() const;
  operators::Readiness Readiness() const;
  operators::InstanceStatus Status() const;
  Member Self() const;
  std::vector<Member> AllMembers() const;
  std::vector<SectionState> SectionsInForce() const;

  void Shutdown(std::function<void()> on_done);
  void FinishRequests();
  void HandOverAndStop();

  InstanceSettings m_settings;
  Clock m_clock;
  InstanceId m_self;
  ControlThread m_control;
  util::Metrics m_metrics;
  LogAccess m_log;
  std::unique_ptr<Router> m_router;
  std::unique_ptr<log_service::ConfigReader> m_config;
  std::unique_ptr<peers::PeerNetwork> m_peers;
  std::unique_ptr<ledger::RequestLedger> m_ledger;
  std::unique_ptr<backends::ProbeRunner> m_probes;
  std::unique_ptr<callers::CallerServer> m_callers;
  std::unique_ptr<instance_list::InstancePoller> m_instance_poller;
  std::unique_ptr<operators::OperatorServer> m_operators;
  std::unique_ptr<Timer> m_instance_count_timer;
  std::unique_ptr<Timer> m_shutdown_timer;
  std::function<void()> m_on_shutdown_done;
  bool m_leaving = false;
};

Instance::Impl::Impl(InstanceSettings settings, Clock clock)
    : m_settings(std::move(settings)),
      m_clock(std::move(clock)),
      m_self{.m_name = m_settings.m_name,
             .m_incarnation = NewIncarnation(m_clock)},
      m_log(log_service::MakeLogAccess(m_settings.m_log_service, m_clock)) {
  MakeRouter();
  MakeConfig();
  MakePeers();
  MakeLedger();
  MakeCallers();
  MakeOperators();
  m_probes = std::make_unique<backends::ProbeRunner>(m_router.get(), m_clock,
                                                     &m_metrics);
}

Instance::Impl::~Impl() {
  // Components with their own threads stop first, so that they call nothing
  // that is already destroyed.
  m_callers.reset();
  m_peers->Stop();
}

void Instance::Impl::MakeRouter() {
  RouterOptions options;
  options.m_zone = m_settings.m_zone;
  options.m_policy = m_settings.m_choice_policy;
  options.m_disabled = m_settings.m_disabled_mechanisms;
  options.m_seed = util::Hash(m_self.m_name, m_self.m_incarnation);
  options.m_clock = m_clock;
  m_router = std::make_unique<Router>(
      std::move(options),
      MakeBroadcastHooks(m_control.poster(), [this] { return m_peers.get(); }));
}

void Instance::Impl::MakeConfig() {
  log_service::ConfigReaderHooks hooks;
  hooks.m_on_change = [this](const SectionState& section) {
    ApplySection(section);
  };
  hooks.m_on_new_versions = [this](const std::vector<SectionState>& sections) {
    m_peers->PushSections(sections);
  };
  hooks.m_on_ready = [this] { UpdateReady(); };
  log_service::ConfigReaderOptions options;
  options.m_follower.m_seed =
      util::Hash(m_self.m_name, m_self.m_incarnation + 3);
  options.m_snapshots.m_seed =
      util::Hash(m_self.m_name, m_self.m_incarnation + 4);
  options.m_snapshots.m_retention = m_settings.m_log_retention;
  m_config = std::make_unique<log_service::ConfigReader>(
      options, m_log, m_clock, m_metrics, std::move(hooks));
}

void Instance::Impl::MakePeers() {
  peers::PeerOptions options = MakePeerOptions(Self(), m_clock, &m_metrics);

  peers::PeerHooks hooks;
  hooks.m_post = m_control.poster();
  hooks.m_local_state = [this] { return LocalState(); };
  hooks.m_sections = [this] { return SectionsInForce(); };
  SetRouterPeerHooks(m_router.get(), &hooks);
  hooks.m_on_sections = [this](const std::vector<SectionState>& sections) {
    m_config->MergeFromPeers(sections, false);
  };
  hooks.m_on_fold_digest = [this](std::uint64_t as_of, std::uint64_t digest) {
    m_config->ComparePeerDigest({.m_as_of = as_of, .m_digest = digest});
  };
  hooks.m_on_members_changed = [this] { UpdateInstanceCount(); };
  hooks.m_answer_ledger = [this](const auto& question, auto reply) {
    m_ledger->AnswerPeer(question, std::move(reply));
  };
  hooks.m_take_handover = [this](const ledger::LedgerHandover& part) {
    return m_ledger->TakeHandover(part);
  };
  m_peers = std::make_unique<peers::PeerNetwork>(std::move(options),
                                                 std::move(hooks));
}

void Instance::Impl::MakeLedger() {
  ledger::LedgerOptions options;
  options.m_self = m_self;
  options.m_clock = m_clock;
  options.m_metrics = &m_metrics;
  options.m_seed = util::Hash(m_self.m_name, m_self.m_incarnation + 2);
  options.m_log_retention = m_settings.m_log_retention;

  ledger::LedgerHooks hooks;
  hooks.m_log = m_log;
  hooks.m_post = m_control.poster();
  hooks.m_members = [this] { return m_peers->Members(); };
  hooks.m_ask = [this](const auto& peer, const auto& question, auto reply) {
    m_peers->AskLedger(peer, question, std::move(reply));
  };
  hooks.m_hand_over = [this](const auto& peer, const auto& part, auto done) {
    m_peers->HandOver(peer, part, std::move(done));
  };
  m_ledger = std::make_unique<ledger::RequestLedger>(std::move(options),
                                                     std::move(hooks));
}

void Instance::Impl::MakeCallers() {
  callers::CallerServerOptions options;
  options.m_listen = m_settings.m_callers;
  options.m_workers = m_settings.m_workers;
  options.m_max_connections = m_settings.m_max_caller_connections;
  options.m_max_target_connections = m_settings.m_max_target_connections;
  options.m_region = m_settings.m_region;
  options.m_zone = m_settings.m_zone;
  options.m_address_lifetime = m_settings.m_address_lifetime;
  options.m_shutdown_limit = m_settings.m_shutdown_limit;

  callers::CallerServerHooks hooks;
  hooks.m_router = m_router.get();
  hooks.m_ledger = m_ledger->access();
  hooks.m_metrics = &m_metrics;
  hooks.m_clock = m_clock;
  hooks.m_members = [this] { return AllMembers(); };
  hooks.m_mint_identity = [this] { return m_ledger->MintIdentity(); };
  m_callers = std::make_unique<callers::CallerServer>(std::move(options),
                                                      std::move(hooks));
}

void Instance::Impl::MakeInstancePoller() {
  instance_list::InstancePoller::Options options;
  options.m_endpoint = m_settings.m_instance_list;
  m_instance_poller = std::make_unique<instance_list::InstancePoller>(
      std::move(options), m_clock, m_metrics,
      [this](const std::vector<ListedInstance>& listed) {
        m_peers->SetListed(listed);
      });
}

void Instance::Impl::MakeOperators() {
  operators::OperatorHooks hooks;
  hooks.m_readiness = [this] { return Readiness(); };
  hooks.m_status = [this] { return Status(); };
  hooks.m_section = [this](const std::string& section) {
    return operators::FindSectionRow(*m_config, section);
  };
  hooks.m_metrics = [this] { return m_metrics.Text(); };
  m_operators = std::make_unique<operators::OperatorServer>(std::move(hooks));
}

operators::Readiness Instance::Impl::Readiness() const {
  if (!m_config->ready()) {
    return {.m_reason = "no configuration yet"};
  }
  if (m_leaving) {
    return {.m_reason = "shutting down"};
  }
  return {.m_ready = true};
}

operators::InstanceStatus Instance::Impl::Status() const {
  operators::InstanceStatus status;
  status.m_id = m_self;
  status.m_region = m_settings.m_region;
  status.m_zone = m_settings.m_zone;
  status.m_ready = m_config->ready();
  status.m_leaving = m_leaving;
  status.m_log = m_config->log_status();
  status.m_config_digest = m_config->in_force().Digest();
  status.m_members = m_peers->Members();
  status.m_sections = operators::SectionRows(*m_config, status.m_members);
  status.m_refused_edits = m_config->RefusedEdits();
  status.m_services = m_router->Status();
  status.m_latencies = m_metrics.Histograms();
  return status;
}

Result<bool> Instance::Impl::Start() {
  BOOST_LEAF_CHECK(m_callers->Start());
  if (!m_operators->Start(m_settings.m_operators)) {
    return Fail(ErrorKind::kBadSettings, "operators: cannot listen on " +
                                             ToString(m_settings.m_operators));
  }
  if (!m_peers->Start()) {
    return Fail(ErrorKind::kBadSettings,
                "peers: cannot listen on " + ToString(m_settings.m_peers));
  }
  MakeInstancePoller();
  m_config->Start();
  m_ledger->Start();
  m_probes->Start(kFirstProbeDelay);
  UpdateInstanceCount();
  util::LogChange("serve", "started",
                  {{"callers", ToString(m_callers->endpoint())},
                   {"peers", ToString(m_peers->listen_address())}});
  return true;
}

// Applies a new version of a section to the router and the peers.
void Instance::Impl::ApplySection(const SectionState& section) {
  const std::optional<ServiceConfig> service = ServiceInForce(section);
  if (service.has_value()) {
    m_router->Configure(*service);
    m_peers->SetTargets(section.m_section, TargetNames(*service));
  } else if (section.m_toml.empty()) {
    m_router->Remove(section.m_section);
    m_peers->SetTargets(section.m_section, {});
  }
}

// Also runs periodically, because membership can change without a notification,
// for example when a suspect is declared dead.
void Instance::Impl::UpdateInstanceCount() {
  m_router->SetInstanceCount(m_peers->LiveCount());
  for (const Member& member : m_peers->Members()) {
    if (member.m_state == MemberState::kLive) {
      m_config->HandlePeerInForceDigest(member.m_config_digest);
    }
  }
  m_instance_count_timer = m_clock.m_call_after(
      kInstanceCountInterval, [this] { UpdateInstanceCount(); });
}

void Instance::Impl::UpdateReady() {
  m_callers->SetReady(m_config->ready());
  util::LogChange("serve", "ready");
}

peers::LocalState Instance::Impl::LocalState() const {
  peers::LocalState state;
  state.m_load = Load();
  state.m_config_digest = m_config->in_force().Digest();
  state.m_config_version = m_config->in_force().highest_version();
  const log_service::FoldDigest fold = m_config->fold_digest();
  state.m_fold_offset = fold.m_as_of;
  state.m_fold_digest = fold.m_digest;
  state.m_in_flight = m_router->InFlight();
  return state;
}

// Requests in flight as a fraction of the maximum number of caller connections.
double Instance::Impl::Load() const {
  const auto status = m_callers->status();
  return static_cast<double>(status.m_requests_in_flight) /
         m_settings.m_max_caller_connections;
}

Member Instance::Impl::Self() const {
  Member self;
  self.m_id = m_self;
  self.m_region = m_settings.m_region;
  self.m_zone = m_settings.m_zone;
  self.m_callers = m_settings.m_callers;
  self.m_peers = m_settings.m_peers;
  return self;
}

std::vector<Member> Instance::Impl::AllMembers() const {
  std::vector<Member> members = m_peers->Members();
  members.push_back(Self());
  return members;
}

std::vector<SectionState> Instance::Impl::SectionsInForce() const {
  std::vector<SectionState> sections;
  for (const auto& [name, section] : m_config->in_force().sections()) {
    sections.push_back(section);
  }
  return sections;
}

void Instance::Impl::Shutdown(std::function<void()> on_done) {
  if (m_leaving) {
    return;
  }
  m_leaving = true;
  m_on_shutdown_done = std::move(on_done);
  util::LogChange("serve", "leaving");
  m_callers->BeginLeaving();
  m_peers->AnnounceLeaving();
  m_shutdown_timer = m_clock.m_call_after(m_settings.m_address_lifetime,
                                          [this] { FinishRequests(); });
}

void Instance::Impl::FinishRequests() {
  util::LogChange("serve", "finishing open requests");
  m_callers->StopAccepting();
  m_callers->Finish([this] { HandOverAndStop(); });
}

void Instance::Impl::HandOverAndStop() {
  m_ledger->HandOver([this] {
    util::LogChange("serve", "shut down");
    m_probes->Stop();
    const auto done = std::exchange(m_on_shutdown_done, nullptr);
    done();
  });
}

Instance::Instance(InstanceSettings settings, Clock clock)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(clock))) {}

Instance::~Instance() = default;

Result<bool> Instance::Start() {
  return m_impl->Start();
}

void Instance::Shutdown(std::function<void()> on_done) {
  m_impl->Shutdown(std::move(on_done));
}

Endpoint Instance::callers_endpoint() const {
  return m_impl->m_callers->endpoint();
}

bool Instance::ready() const {
  return m_impl->m_config->ready();
}

}  // namespace guavacross::serve
