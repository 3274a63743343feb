#ifndef GUAVACROSS_CALLERS_WORKER_FIXTURE_H_
#define GUAVACROSS_CALLERS_WORKER_FIXTURE_H_

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "callers/caller_worker.h"
#include "guavacross/routing.h"
#include "net/test_peer.h"
#include "util/manual_clock.h"
#include "util/metrics.h"

namespace guavacross::callers {

/// Test fixture: one worker on the test's thread with a real router, a manual
/// clock, scripted backend servers, and callers that send raw bytes.
class WorkerFixture {
 public:
  explicit WorkerFixture(int targets = 1,
                         ChoicePolicy policy = ChoicePolicy::kRoundRobin,
                         bool relays = false)
      : m_router({.m_zone = "z1",
                  .m_policy = policy,
                  .m_relays = relays,
                  .m_clock = m_clock.clock()},
                 {}),
        m_listener(&m_sockets) {
    for (int i = 0; i < targets; ++i) {
      m_backends.push_back(std::make_unique<net::TestServer>(&m_sockets));
    }
    m_hooks.m_router = &m_router;
    m_hooks.m_metrics = &m_metrics;
    m_hooks.m_clock = m_clock.clock();
    m_hooks.m_ledger.m_claim = [this](const RequestKey& key,
                                      std::uint64_t fingerprint, auto decide) {
      m_claims.push_back({key, fingerprint});
      m_decide = std::move(decide);
      if (m_grant_claims) {
        Decide({.m_kind = ClaimDecision::Kind::kRun});
      }
    };
    m_hooks.m_ledger.m_finish = [this](const RequestKey&, ClaimEnd end) {
      m_finished.push_back(std::move(end));
    };
    m_state.m_ready = true;
    m_listener.m_on_descriptor = [this](int descriptor) {
      m_worker->CountConnection();
      m_worker->Accept(descriptor, /*refuse=*/false, m_connection_kind);
    };
    Configure(Service());
    MakeWorker();
  }

  ~WorkerFixture() {
    m_callers.clear();
    // Ends the worker's claims, which calls the ledger hooks: the members that
    // record them must still exist.
    m_worker.reset();
  }

  /// The service `shop`: charges at /charge, downloads without a deadline at
  /// /download, hedged reads at /quick, plain reads elsewhere.
  ServiceConfig Service() const {
    ServiceConfig service;
    service.m_name = "shop";
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
      service.m_targets.push_back({.m_name = "t" + std::to_string(i),
                                   .m_address = m_backends[i]->endpoint(),
                                   .m_zone = "z1",
                                   .m_slots = 4});
    }
    ClassConfig charge;
    charge.m_name = "charge";
    charge.m_path_prefix = "/charge";
    charge.m_repeatable = false;
    ClassConfig read;
    read.m_name = "read";
    read.m_max_body_bytes = 8 << 20;
    ClassConfig download;
    download.m_name = "download";
    download.m_path_prefix = "/download";
    download.m_deadline = Duration::zero();
    ClassConfig quick;
    quick.m_name = "quick";
    quick.m_path_prefix = "/quick";
    quick.m_hedge = true;
    service.m_classes = {charge, download, quick, read};
    service.m_tenants = {{.m_name = "acme"}};
    service.m_retry.m_budget_share = 1;
    return service;
  }

  void Configure(const ServiceConfig& service) { m_router.Configure(service); }

  void MakeWorker(CallerServerOptions options = {}) {
    options.m_workers = 1;
    m_worker = std::make_unique<CallerWorker>(options, &m_hooks, &m_state);
  }

  /// Opens a new caller's connection.
  net::TestPeer& Caller() {
    m_callers.push_back(
        std::make_unique<net::TestPeer>(&m_sockets, m_listener.endpoint()));
    return *m_callers.back();
  }

  net::TestServer& backend(std::size_t index = 0) { return *m_backends[index]; }

  /// Waits until the latest connection to the backend server has received
  /// `text` and returns it.
  net::TestPeer& BackendGot(std::string_view text, std::size_t index = 0) {
    net::TestServer& server = backend(index);
    net::WaitUntil([&] {
      return !server.peers().empty() && server.peers().back()->Received(text);
    });
    return *server.peers().back();
  }

  void Decide(const ClaimDecision& decision) {
    std::exchange(m_decide, nullptr)(decision);
  }

  /// The kind of the next connections.
  ConnectionKind m_connection_kind = ConnectionKind::kCaller;
  util::ManualClock m_clock;
  util::Metrics m_metrics;
  net::SocketSet m_sockets;
  std::vector<std::unique_ptr<net::TestServer>> m_backends;
  Router m_router;
  CallerServerHooks m_hooks;
  ServerState m_state;
  net::TestServer m_listener;
  std::unique_ptr<CallerWorker> m_worker;
  std::vector<std::unique_ptr<net::TestPeer>> m_callers;

  // State of the fake ledger hooks.
  bool m_grant_claims = true;
  std::vector<std::pair<RequestKey, std::uint64_t>> m_claims;
  std::function<void(ClaimDecision)> m_decide;
  std::vector<ClaimEnd> m_finished;
};

/// Delay before a request that may have made a target fail is sent again, so
/// that other instances learn of the failure first.
inline constexpr Duration kSuspectDelay = std::chrono::milliseconds(30);

/// Waits until some backend server has received `text` and returns the latest
/// open connection that did.
inline net::TestPeer& LatestBackend(WorkerFixture* fixture,
                                    const std::string& text) {
  net::TestPeer* found = nullptr;
  net::WaitUntil([&] {
    for (const auto& backend : fixture->m_backends) {
      for (const auto& peer : backend->peers()) {
        found = peer->Received(text) && !peer->gone() ? peer.get() : found;
      }
    }
    return found != nullptr;
  });
  return *found;
}

/// Returns a request without a body.
inline std::string Get(const std::string& target,
                       const std::string& fields = {}) {
  return "GET " + target + " HTTP/1.1\r\nHost: shop\r\n" + fields + "\r\n";
}

inline std::string Post(const std::string& target,
                        const std::string& body,
                        const std::string& fields = {}) {
  return "POST " + target + " HTTP/1.1\r\nHost: shop\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns a response with a body of known length.
inline std::string Reply(const std::string& body,
                         const std::string& status = "200 OK",
                         const std::string& fields = {}) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_WORKER_FIXTURE_H_
