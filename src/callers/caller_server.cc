#include "callers/caller_server.h"

#include <sys/resource.h>
#include <unistd.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QThread>
#include <algorithm>
#include <atomic>
#include <future>
#include <utility>

#include "callers/caller_worker.h"
#include "util/log.h"

namespace guavacross::callers {

namespace {

constexpr int kListenBacklog = 1024;

// Number of connections above the limit that get an error response; further
// ones are closed without one.
constexpr int kMaxRefusedConnections = 200;

// Raises the soft limit of open descriptors, often only 1024, to the hard
// limit.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

// Passes accepted descriptors to a callback instead of creating Qt sockets.
class Listener : public QTcpServer {
 public:
  explicit Listener(std::function<void(int)> on_accept)
      : m_on_accept(std::move(on_accept)) {}

 protected:
  void incomingConnection(qintptr descriptor) override {
    m_on_accept(static_cast<int>(descriptor));
  }

 private:
  std::function<void(int)> m_on_accept;
};

// A thread with an event loop that owns one worker.
class WorkerThread : public QThread {
 public:
  explicit WorkerThread(std::function<std::unique_ptr<CallerWorker>()> make)
      : m_make(std::move(make)) {}

  // Returns once the worker has been created.
  CallerWorker* Start() {
    start();
    return m_started.get_future().get();
  }

 protected:
  void run() override {
    const std::unique_ptr<CallerWorker> worker = m_make();
    m_started.set_value(worker.get());
    exec();
  }

 private:
  std::function<std::unique_ptr<CallerWorker>()> m_make;
  std::promise<CallerWorker*> m_started;
};

}  // namespace

class CallerServer::Impl {
 public:
  Impl(CallerServerOptions options, CallerServerHooks hooks)
      : m_options(std::move(options)),
        m_hooks(std::move(hooks)),
        m_listener([this](int descriptor) {
          OnAccept(descriptor, ConnectionKind::kCaller);
        }),
        m_peer_listener([this](int descriptor) {
          OnAccept(descriptor, ConnectionKind::kPeer);
        }) {}

  ~Impl() {
    m_listener.close();
    m_peer_listener.close();
    m_local_listeners.clear();
    m_control.Stop();
    for (const auto& thread : m_threads) {
      thread->quit();
    }
    for (const auto& thread : m_threads) {
      thread->wait();
    }
  }

  Result<void> Start() {
    RaiseDescriptorLimit();
    BOOST_LEAF_CHECK(Listen(&m_listener, m_options.m_listen));
    if (m_options.m_peer_listen.m_port != 0) {
      BOOST_LEAF_CHECK(Listen(&m_peer_listener, m_options.m_peer_listen));
    }
    for (const Endpoint& local : m_options.m_local_listen) {
      m_local_listeners.push_back(
          std::make_unique<Listener>([this](int descriptor) {
            OnAccept(descriptor, ConnectionKind::kLocal);
          }));
      BOOST_LEAF_CHECK(Listen(m_local_listeners.back().get(), local));
    }
    m_state.m_endpoint = {.m_ip = m_options.m_listen.m_ip,
                          .m_port = m_listener.serverPort()};
    for (int i = 0; i < m_options.m_workers; ++i) {
      m_threads.push_back(std::make_unique<WorkerThread>([this] {
        return std::make_unique<CallerWorker>(m_options, &m_hooks, &m_state);
      }));
      m_workers.push_back(m_threads.back()->Start());
    }
    return {};
  }

  static Result<void> Listen(Listener* listener, const Endpoint& endpoint) {
    listener->setListenBacklogSize(kListenBacklog);
    if (!listener->listen(QHostAddress(QString::fromStdString(endpoint.m_ip)),
                          endpoint.m_port)) {
      return Fail(ErrorKind::kBadSettings,
                  "can't listen on " + ToString(endpoint) + ": " +
                      listener->errorString().toStdString());
    }
    return {};
  }

  void OnAccept(int descriptor, ConnectionKind kind) {
    const int open = Connections();
    if (open >= m_options.m_max_connections + kMaxRefusedConnections) {
      close(descriptor);
      return;
    }
    const bool refuse = open >= m_options.m_max_connections;
    CallerWorker* const worker =
        *std::min_element(m_workers.begin(), m_workers.end(),
                          [](const CallerWorker* a, const CallerWorker* b) {
                            return a->connections() < b->connections();
                          });
    worker->CountConnection();
    worker->tasks().Post([worker, descriptor, refuse, kind] {
      worker->Accept(descriptor, refuse, kind);
    });
  }

  int Connections() const {
    int count = 0;
    for (const CallerWorker* worker : m_workers) {
      count += worker->connections();
    }
    return count;
  }

  int RequestsInFlight() const {
    int count = 0;
    for (const CallerWorker* worker : m_workers) {
      count += worker->requests_in_flight();
    }
    return count;
  }

  void Finish(std::function<void()> on_done) {
    m_state.m_shutting_down = true;
    m_on_done = std::move(on_done);
    m_unfinished_workers = static_cast<int>(m_workers.size());
    for (CallerWorker* const worker : m_workers) {
      auto on_worker_done = [this, control = m_control] {
        control.Post([this] { OnWorkerDone(); });
      };
      worker->tasks().Post(
          [worker, on_worker_done] { worker->Finish(on_worker_done); });
    }
    if (m_options.m_shutdown_limit > Duration::zero()) {
      const TimePoint end =
          m_hooks.m_clock.m_now() + m_options.m_shutdown_limit;
      ForEachWorker([end](CallerWorker* each) { each->RefuseWaiting(end); });
      m_shutdown_timer = m_hooks.m_clock.m_call_after(
          m_options.m_shutdown_limit, [this] { OnShutdownLimit(); });
    }
  }

  void SendProbes(std::vector<ProbeOrder> orders) {
    CallerWorker* const worker =
        m_workers[m_next_probing_worker++ % m_workers.size()];
    worker->tasks().Post([worker, orders = std::move(orders)]() mutable {
      worker->SendProbes(std::move(orders));
    });
  }

  void SetLimits(const CallerLimits& limits) {
    ForEachWorker([limits](CallerWorker* each) { each->SetLimits(limits); });
  }

  CallerServerOptions m_options;
  CallerServerHooks m_hooks;
  ServerState m_state;
  Listener m_listener;
  Listener m_peer_listener;
  std::vector<std::unique_ptr<Listener>> m_local_listeners;

 private:
  void OnWorkerDone() {
    if (--m_unfinished_workers == 0) {
      m_shutdown_timer.reset();
      std::exchange(m_on_done, nullptr)();
    }
  }

  void OnShutdownLimit() {
    util::LogWarning("callers",
                     "shutdown time limit reached; ending open requests",
                     {{"requests", std::to_string(RequestsInFlight())}});
    ForEachWorker([](CallerWorker* each) { each->EndUnanswered(); });
    m_shutdown_timer =
        m_hooks.m_clock.m_call_after(m_options.m_last_answer_time, [this] {
          ForEachWorker([](CallerWorker* each) { each->AbortAll(); });
        });
  }

  // Calls a function for each worker, on its thread.
  void ForEachWorker(const std::function<void(CallerWorker*)>& call) {
    for (CallerWorker* const worker : m_workers) {
      worker->tasks().Post([worker, call] { call(worker); });
    }
  }

  forwarding::WorkerTaskQueue m_control;
  std::vector<std::unique_ptr<WorkerThread>> m_threads;
  // Each is owned by its thread.
  std::vector<CallerWorker*> m_workers;
  std::atomic<std::size_t> m_next_probing_worker{0};
  std::function<void()> m_on_done;
  std::unique_ptr<Timer> m_shutdown_timer;
  int m_unfinished_workers = 0;
};

CallerServer::CallerServer(CallerServerOptions options, CallerServerHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

CallerServer::~CallerServer() = default;

Result<void> CallerServer::Start() {
  return m_impl->Start();
}

Endpoint CallerServer::endpoint() const {
  return m_impl->m_state.m_endpoint;
}

void CallerServer::SetReady(bool ready) {
  m_impl->m_state.m_ready = ready;
}

void CallerServer::SetLimits(const CallerLimits& limits) {
  m_impl->SetLimits(limits);
}

void CallerServer::SendProbes(std::vector<ProbeOrder> orders) {
  m_impl->SendProbes(std::move(orders));
}

void CallerServer::BeginLeaving() {
  m_impl->m_state.m_leaving = true;
}

void CallerServer::StopAccepting() {
  // Closing the listening socket resets connections in the kernel's accept
  // queue, whose requests may already have been sent; accept these first.
  for (Listener* const listener :
       {&m_impl->m_listener, &m_impl->m_peer_listener}) {
    if (listener->isListening()) {
      listener->waitForNewConnection(0);
      listener->close();
    }
  }
}

void CallerServer::Finish(std::function<void()> on_done) {
  m_impl->Finish(std::move(on_done));
}

CallerServerStatus CallerServer::status() const {
  return {.m_connections = m_impl->Connections(),
          .m_requests_in_flight = m_impl->RequestsInFlight(),
          .m_ready = m_impl->m_state.m_ready,
          .m_leaving = m_impl->m_state.m_leaving};
}

}  // namespace guavacross::callers
