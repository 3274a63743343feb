#include "serve/route_instance.h"

#include <QJsonDocument>
#include <atomic>
#include <utility>

#include "backends/probe_runner.h"
#include "callers/caller_server.h"
#include "callers/route_classifier.h"
#include "guavacross/routing.h"
#include "operators/metrics_server.h"
#include "peers/peer_network.h"
#include "serve/control_thread.h"
#include "serve/instance_parts.h"
#include "serve/member_views.h"
#include "serve/route_callers.h"
#include "serve/route_status.h"
#include "serve/router_peer_hooks.h"
#include "serve/service_plans.h"
#include "serve/tenant_admission.h"
#include "util/hash.h"
#include "util/log.h"
#include "util/metrics.h"

namespace guavacross::serve {

namespace {

// Callers must learn within about a second that an instance is gone, which is
// detected after several missed heartbeats.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
constexpr Duration kSuspectAfter = std::chrono::milliseconds(900);
constexpr Duration kDeadAfter = std::chrono::milliseconds(2000);

constexpr Duration kInstanceCountInterval = std::chrono::milliseconds(200);

// Instances divide the probe budget by the number of live instances. Counting
// them takes several heartbeats.
constexpr Duration kFirstProbeDelay = std::chrono::milliseconds(1500);

// Times before the end of the grace time: by when the last answer must be sent
// (requests that may take longer are refused), when open connections are
// finished, and when the requests that are left are answered.
constexpr Duration kLastAnswerMargin = std::chrono::milliseconds(400);
constexpr Duration kFinishMargin = std::chrono::milliseconds(900);
constexpr Duration kCutOffMargin = std::chrono::milliseconds(300);

// One worker thread is enough: the machines have only a fraction of one core.
constexpr int kWorkers = 1;

}  // namespace

class RouteInstance::Impl {
 public:
  Impl(RouteInstanceOptions options, Clock clock, RouteInstanceHooks hooks)
      : m_options(std::move(options)),
        m_clock(std::move(clock)),
        m_hooks(std::move(hooks)),
        m_self{.m_name = m_options.m_name,
               .m_incarnation = NewIncarnation(m_clock)} {
    MakeRouter();
    MakePeers();
    MakeTenants();
    MakeTargets();
    MakeCallers();
    m_probes = std::make_unique<backends::ProbeRunner>(
        m_router.get(), m_clock, &m_metrics, m_hooks.m_target_dialect);
  }

  ~Impl() {
    // Components with their own threads stop first, so that they call nothing
    // that is already destroyed.
    // Its threads use the hooks of the router until they have been joined.
    m_probing_callers = nullptr;
    m_callers.reset();
    m_peers->Stop();
  }

  Result<bool> Start() {
    BOOST_LEAF_CHECK(m_callers->Start());
    m_probing_callers = m_callers.get();
    if (!m_peers->Start()) {
      return Fail(ErrorKind::kBadSettings,
                  "peers: cannot listen on " + ToString(m_options.m_peers));
    }
    StartMetrics();
    m_peers->SetListed(Seeds());
    m_probes->Start(kFirstProbeDelay);
    UpdateInstanceCount();
    util::LogChange("serve", "started",
                    {{"callers", ToString(m_options.m_callers)},
                     {"peers", ToString(m_options.m_peers)},
                     {"seeds", std::to_string(m_options.m_seeds.size())}});
    return true;
  }

  void SetTable(const RouteTable& table) {
    if (m_table != nullptr && table.m_version <= m_table->m_version) {
      return;
    }
    util::LogChange("config", "configuration in force",
                    {{"version", std::to_string(table.m_version)},
                     {"before", std::to_string(version())},
                     {"routes", std::to_string(table.m_routes.size())},
                     {"services", std::to_string(table.m_services.size())}});
    m_table = std::make_shared<const RouteTable>(table);
    m_in_force_since = m_clock.m_now();
    m_plans->SetTable(m_table);
    // After the services, so that no route refers to an unknown service.
    m_classifier->SetTable(m_table);
    m_tenants->SetTable(*m_table);
    m_callers->SetLimits(ToCallerLimits(table.m_limits));
    UpdateReady();
  }

  void PutTarget(const RegisteredTarget& target, const EntrySource& source) {
    m_plans->Put(target, source);
  }

  void RemoveTarget(const std::string& id, const EntrySource& source) {
    m_plans->Remove(id, source);
  }

  void ApplyTargets() {
    m_plans->Apply();
    UpdateReady();
  }

  void SetEvacuatedZones(std::set<std::string> zones) {
    m_plans->SetEvacuatedZones(std::move(zones));
  }

  void NotifyPeers() { m_peers->SendHeartbeatsNow(); }

  std::vector<std::string> LivePeers() const {
    return LiveNames(m_peers->Members());
  }

  std::vector<Endpoint> LiveAddresses() const {
    return LivePeerAddresses(m_peers->Members(), Self());
  }

  void SetContacts(const std::vector<Endpoint>& contacts) {
    if (std::exchange(m_contacts, contacts) != contacts) {
      m_peers->SetListed(Seeds());
    }
  }

  void SetStoreReachable(bool reachable, const std::string& why) {
    m_store_error = reachable ? "" : why;
    if (reachable) {
      util::LogChange("store", "the store answers again");
    } else {
      util::LogWarning("store", "the store is lost", {{"why", why}});
    }
  }

  void SetTableCurrent(bool current) { m_classifier->SetCurrent(current); }

  void SetOutageEnd(std::optional<TimePoint> ended_at) {
    if (ended_at.has_value()) {
      const Duration ago = m_clock.m_now() - *ended_at;
      util::LogChange(
          "store", "an outage of the store has ended",
          {{"ago_ms",
            std::to_string(static_cast<std::int64_t>(Milliseconds(ago)))}});
    } else {
      util::LogChange("store", "there was no outage of the store");
    }
    m_plans->SetOutageEnd(ended_at);
  }

  void Reload(const RouteInstanceOptions& options) {
    m_options.m_seeds = options.m_seeds;
    m_options.m_budgets = options.m_budgets;
    m_options.m_grace = options.m_grace;
    m_peers->SetListed(Seeds());
    m_plans->SetBudgets(m_options.m_budgets);
  }

  void Shutdown(std::function<void()> on_done) {
    if (m_leaving.exchange(true)) {
      return;
    }
    m_on_shutdown_done = std::move(on_done);
    util::LogChange(
        "serve", "leaving",
        {{"grace_ms",
          std::to_string(static_cast<int>(Milliseconds(m_options.m_grace)))}});
    m_classifier->SetExitTime(m_clock.m_now() + m_options.m_grace -
                              kLastAnswerMargin);
    m_callers->BeginLeaving();
    m_peers->AnnounceLeaving();
    m_shutdown_timer = m_clock.m_call_after(m_options.m_grace - kFinishMargin,
                                            [this] { FinishRequests(); });
  }

  bool ready() const { return m_ready && !m_leaving; }

  std::vector<Endpoint> Addresses(const std::string& region,
                                  const std::string& zone) const {
    return CallerAddresses(m_peers->Members(), Self(), ready(), region, zone);
  }

 private:
  void MakeRouter() {
    RouterOptions options;
    options.m_name = m_options.m_name;
    options.m_zone = m_options.m_zone;
    options.m_zone_delay_per_megabyte = m_options.m_zone_delay_per_megabyte;
    options.m_seed = util::Hash(m_self.m_name, m_self.m_incarnation);
    options.m_clock = m_clock;
    options.m_relays = m_options.m_relay.m_port != 0;
    const auto post = m_control.poster();
    RouterHooks hooks =
        serve::MakeBroadcastHooks(post, [this] { return m_peers.get(); });
    hooks.m_on_probes = [this](std::vector<ProbeOrder> orders) {
      if (callers::CallerServer* const callers = m_probing_callers) {
        callers->SendProbes(std::move(orders));
      }
    };
    hooks.m_on_reach = [this, post](const std::string& service, bool lost) {
      post([this, service, lost] { OnReach(service, lost); });
    };
    m_router = std::make_unique<Router>(std::move(options), std::move(hooks));
  }

  // Tells the peers at once, whose answers say whether they reach the targets.
  void OnReach(const std::string& service, bool lost) {
    const std::string scope = service.empty() ? "all services" : service;
    if (lost) {
      util::LogWarning("targets", "the path to the targets is lost",
                       {{"service", scope}});
    } else {
      util::LogChange("targets", "the path to the targets is back",
                      {{"service", scope}});
    }
    m_peers->SendHeartbeatsNow();
  }

  void MakePeers() {
    peers::PeerOptions options = MakePeerOptions(Self(), m_clock, &m_metrics);
    options.m_listen = m_options.m_peers;
    options.m_relay = m_options.m_relay;
    options.m_advertised = m_options.m_peers_advertised;
    options.m_heartbeat_interval = kHeartbeatInterval;
    options.m_suspect_after = kSuspectAfter;
    options.m_dead_after = kDeadAfter;

    peers::PeerHooks hooks;
    hooks.m_post = m_control.poster();
    hooks.m_local_state = [this] { return LocalState(); };
    hooks.m_reach = [this] { return m_router->Reach(); };
    hooks.m_on_reach = [this](const std::string& peer,
                              const ReachState& reach) {
      m_router->LearnReach(peer, reach);
    };
    hooks.m_on_members_changed = [this] { UpdateInstanceCount(); };
    hooks.m_streams = m_hooks.m_exchange;
    hooks.m_answer_quota = [this](const std::string& peer,
                                  const policy::QuotaQuestion& question) {
      return m_tenants->Answer(peer, question);
    };
    SetRouterPeerHooks(m_router.get(), &hooks);
    m_peers = std::make_unique<peers::PeerNetwork>(std::move(options),
                                                   std::move(hooks));
  }

  void MakeTenants() {
    TenantAdmissionHooks hooks;
    hooks.m_post = m_control.poster();
    hooks.m_live_peers = [this] { return LivePeers(); };
    hooks.m_possible_peers = [this] {
      return PossibleNames(m_peers->Members());
    };
    hooks.m_ask = [this](const std::string& peer,
                         const policy::QuotaQuestion& question, auto done) {
      m_peers->AskQuota(peer, question, std::move(done));
    };
    m_tenants = std::make_unique<TenantAdmission>(
        m_self.m_name, util::Hash(m_self.m_name, m_self.m_incarnation + 1),
        m_clock, std::move(hooks));
  }

  void MakeTargets() {
    ServicePlansHooks hooks;
    hooks.m_on_plan = [this](const ServiceConfig& plan) {
      m_router->Configure(plan);
      m_peers->SetTargets(plan.m_name, TargetNames(plan));
    };
    hooks.m_on_remove = [this](const std::string& service) {
      m_router->Remove(service);
      m_peers->SetTargets(service, {});
    };
    m_plans = std::make_unique<ServicePlans>(m_options.m_budgets, m_clock,
                                             std::move(hooks));
  }

  void MakeCallers() {
    m_classifier = std::make_unique<callers::RouteClassifier>(
        m_router.get(), m_hooks.m_deadline_header);
    callers::CallerServerOptions options = MakeCallerOptions(m_options);
    options.m_workers = kWorkers;
    options.m_shutdown_limit = kFinishMargin - kCutOffMargin;

    callers::CallerServerHooks hooks;
    hooks.m_router = m_router.get();
    hooks.m_metrics = &m_metrics;
    hooks.m_clock = m_clock;
    hooks.m_classify = [this](
                           const http::RequestHead& head, TimePoint now,
                           const std::optional<forwarding::RelayMark>& relay) {
      return m_classifier->Classify(head, now, relay);
    };
    hooks.m_relay_identity = forwarding::RelayIdentity{
        .m_cluster = peers::PeerOptions().m_cluster,
        .m_name = m_options.m_name,
        .m_config_version = [this] { return m_classifier->version(); }};
    hooks.m_tenants.m_admit = [this](const std::string& tenant,
                                     bool past_objective, auto done) {
      m_tenants->Admit(tenant, past_objective, std::move(done));
    };
    hooks.m_tenants.m_give_back = [this](const std::string& tenant) {
      m_tenants->GiveBack(tenant);
    };
    hooks.m_answer_locally = m_hooks.m_answer_locally;
    hooks.m_target_dialect = m_hooks.m_target_dialect;
    hooks.m_caller_dialect = m_hooks.m_caller_dialect;
    m_callers = std::make_unique<callers::CallerServer>(std::move(options),
                                                        std::move(hooks));
    // Classification refuses requests until there is a table.
    m_callers->SetReady(true);
  }

  // An instance that can't serve metrics still serves requests.
  void StartMetrics() {
    if (m_options.m_operators.m_port == 0) {
      return;
    }
    m_operators = std::make_unique<operators::MetricsServer>(
        [this] {
          SetGauges(Status(), m_clock.m_now(), &m_metrics);
          return m_metrics.Text();
        },
        [this] {
          return QJsonDocument(ToJson(Status(), m_clock.m_now()))
              .toJson()
              .toStdString();
        });
    if (!m_operators->Start(m_options.m_operators)) {
      util::LogWarning("serve", "metrics can't be served: the address is taken",
                       {{"address", ToString(m_options.m_operators)}});
    }
  }

  RouteStatus Status() const {
    const TimePoint now = m_clock.m_now();
    RouteStatus status;
    status.m_name = m_self.m_name;
    status.m_region = m_options.m_region;
    status.m_zone = m_options.m_zone;
    status.m_ready = ready();
    status.m_leaving = m_leaving;
    status.m_version = version();
    status.m_in_force_for =
        m_table == nullptr ? Duration::zero() : now - m_in_force_since;
    status.m_store_error = m_store_error;
    status.m_streams = m_hooks.m_streams();
    status.m_services = m_router->Status();
    status.m_peers = m_peers->Members();
    status.m_entry_ages = m_plans->EntryAges();
    status.m_evacuated_zones = m_plans->evacuated_zones();
    status.m_config_problems =
        m_table == nullptr ? 0 : m_table->m_problem_count;
    return status;
  }

  std::vector<ListedInstance> Seeds() const {
    std::vector<Endpoint> seeds = m_options.m_seeds;
    seeds.insert(seeds.end(), m_contacts.begin(), m_contacts.end());
    return ToListedInstances(seeds, Self().m_peers);
  }

  std::uint64_t version() const {
    return m_table == nullptr ? 0 : m_table->m_version;
  }

  void UpdateReady() {
    const bool ready = m_table != nullptr && m_plans->listed();
    if (m_ready.exchange(ready) != ready) {
      util::LogChange("serve", "ready",
                      {{"version", std::to_string(version())}});
    }
  }

  void UpdateInstanceCount() {
    m_router->SetInstanceCount(m_peers->LiveCount());
    std::vector<InstancePlace> places = LivePlaces(m_peers->Members(), Self());
    if (m_leaving) {
      // The other instances share its part already.
      std::erase_if(places, [this](const InstancePlace& place) {
        return place.m_name == m_self.m_name;
      });
    }
    m_router->SetInstances(places);
    m_router->SetRelayPeers(RelayPeers(m_peers->Members()));
    if (m_tenants != nullptr) {
      m_tenants->RecordMembers();
    }
    m_instance_count_timer = m_clock.m_call_after(
        kInstanceCountInterval, [this] { UpdateInstanceCount(); });
  }

  peers::LocalState LocalState() const {
    peers::LocalState state;
    state.m_load =
        static_cast<double>(m_callers->status().m_requests_in_flight) /
        m_options.m_max_caller_connections;
    state.m_config_version = ready() ? version() : 0;
    state.m_in_flight = m_router->InFlight();
    state.m_streams = m_hooks.m_streams();
    return state;
  }

  Member Self() const {
    Member self;
    self.m_id = m_self;
    self.m_region = m_options.m_region;
    self.m_zone = m_options.m_zone;
    self.m_callers = m_options.m_callers;
    self.m_peers = m_options.m_peers_advertised.value_or(m_options.m_peers);
    return self;
  }

  void FinishRequests() {
    util::LogChange(
        "serve", "finishing open requests",
        {{"requests",
          std::to_string(m_callers->status().m_requests_in_flight)}});
    m_callers->StopAccepting();
    m_callers->Finish([this] {
      util::LogChange("serve", "shut down");
      m_probes->Stop();
      std::exchange(m_on_shutdown_done, nullptr)();
    });
  }

  // Members are destroyed in reverse order of declaration, so a member that
  // calls others must be declared after them.
  RouteInstanceOptions m_options;
  Clock m_clock;
  RouteInstanceHooks m_hooks;
  InstanceId m_self;
  // Addresses to contact in addition to the seeds of the settings.
  std::vector<Endpoint> m_contacts;
  ControlThread m_control;
  util::Metrics m_metrics;
  // Why the store counts as lost; empty while it is reachable.
  std::string m_store_error;
  TimePoint m_in_force_since;
  std::shared_ptr<const RouteTable> m_table;
  std::unique_ptr<Router> m_router;
  std::unique_ptr<peers::PeerNetwork> m_peers;
  std::unique_ptr<TenantAdmission> m_tenants;
  std::unique_ptr<ServicePlans> m_plans;
  std::unique_ptr<callers::RouteClassifier> m_classifier;
  std::unique_ptr<backends::ProbeRunner> m_probes;
  std::unique_ptr<callers::CallerServer> m_callers;
  // Where probes before placement are sent; null before the start and while
  // this object is destroyed.
  std::atomic<callers::CallerServer*> m_probing_callers{nullptr};
  std::unique_ptr<operators::MetricsServer> m_operators;
  std::unique_ptr<Timer> m_instance_count_timer;
  std::unique_ptr<Timer> m_shutdown_timer;
  std::function<void()> m_on_shutdown_done;
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_leaving{false};
};

RouteInstance::RouteInstance(RouteInstanceOptions options,
                             Clock clock,
                             RouteInstanceHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(options),
                                    std::move(clock),
                                    std::move(hooks))) {}

RouteInstance::~RouteInstance() = default;

Result<bool> RouteInstance::Start() {
  return m_impl->Start();
}

void RouteInstance::SetTable(const RouteTable& table) {
  m_impl->SetTable(table);
}

void RouteInstance::PutTarget(const RegisteredTarget& target,
                              const EntrySource& source) {
  m_impl->PutTarget(target, source);
}

void RouteInstance::RemoveTarget(const std::string& id,
                                 const EntrySource& source) {
  m_impl->RemoveTarget(id, source);
}

void RouteInstance::ApplyTargets() {
  m_impl->ApplyTargets();
}

std::vector<std::string> RouteInstance::LivePeers() const {
  return m_impl->LivePeers();
}

std::vector<Endpoint> RouteInstance::LiveAddresses() const {
  return m_impl->LiveAddresses();
}

void RouteInstance::SetContacts(const std::vector<Endpoint>& contacts) {
  m_impl->SetContacts(contacts);
}

void RouteInstance::SetEvacuatedZones(std::set<std::string> zones) {
  m_impl->SetEvacuatedZones(std::move(zones));
}

void RouteInstance::NotifyPeers() {
  m_impl->NotifyPeers();
}

void RouteInstance::SetStoreReachable(bool reachable, const std::string& why) {
  m_impl->SetStoreReachable(reachable, why);
}

void RouteInstance::SetTableCurrent(bool current) {
  m_impl->SetTableCurrent(current);
}

void RouteInstance::SetOutageEnd(std::optional<TimePoint> ended_at) {
  m_impl->SetOutageEnd(ended_at);
}

void RouteInstance::Reload(const RouteInstanceOptions& options) {
  m_impl->Reload(options);
}

void RouteInstance::Shutdown(std::function<void()> on_done) {
  m_impl->Shutdown(std::move(on_done));
}

bool RouteInstance::ready() const {
  return m_impl->ready();
}

std::vector<Endpoint> RouteInstance::Addresses(const std::string& region,
                                               const std::string& zone) const {
  return m_impl->Addresses(region, zone);
}

}  // namespace guavacross::serve
