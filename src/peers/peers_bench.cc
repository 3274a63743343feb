#include "peers/peers_bench.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <chrono>
#include <iomanip>
#include <memory>
#include <string>

#include "peers/peer_network.h"
#include "util/metrics.h"
#include "util/process_usage.h"
#include "util/qt_clock.h"

namespace guavacross::peers {

namespace {

constexpr int kTargets = 38;
constexpr int kWarmUpSeconds = 3;

LocalState BusyState() {
  LocalState state{.m_load = 0.5, .m_config_digest = 1, .m_config_version = 1};
  state.m_in_flight = {{"catalog", {}}};
  for (int target = 0; target < kTargets; target += 2) {
    state.m_in_flight[0].second.emplace_back("target-" + std::to_string(target),
                                             1 + target % 4);
  }
  return state;
}

void RunEventLoop(int seconds) {
  QEventLoop loop;
  QTimer::singleShot(std::chrono::seconds(seconds), &loop, &QEventLoop::quit);
  loop.exec();
}

// The network of one instance.
struct BenchInstance {
  explicit BenchInstance(int number) {
    PeerOptions options;
    options.m_self = {.m_name = "entry-" + std::to_string(number),
                      .m_incarnation = 1};
    options.m_region = "eu-north";
    options.m_zone = "zone-a";
    options.m_listen = {.m_ip = "127.0.8." + std::to_string(1 + number)};
    options.m_callers = {.m_ip = options.m_listen.m_ip, .m_port = 8001};
    options.m_clock = util::QtClock();
    options.m_metrics = &m_metrics;
    PeerHooks hooks;
    hooks.m_post = [](std::function<void()> call) {
      QMetaObject::invokeMethod(QCoreApplication::instance(), std::move(call),
                                Qt::QueuedConnection);
    };
    hooks.m_local_state = [] { return BusyState(); };
    hooks.m_on_in_flight = [](const auto&, const auto&, const auto&) {};
    m_network = std::make_unique<PeerNetwork>(options, hooks);
    m_started = m_network->Start();
    std::vector<std::string> targets;
    for (int target = 0; target < kTargets; ++target) {
      targets.push_back("target-" + std::to_string(target));
    }
    m_network->SetTargets("catalog", targets);
  }

  double ReadGauge(const char* name) {
    return m_metrics.Gauge(std::string("guavacross_peer_") + name, "").Value();
  }

  util::Metrics m_metrics;
  std::unique_ptr<PeerNetwork> m_network;
  bool m_started = false;
};

void ShareInstanceList(
    const std::vector<std::unique_ptr<BenchInstance>>& bench_instances) {
  std::vector<ListedInstance> listed;
  for (std::size_t i = 0; i < bench_instances.size(); ++i) {
    ListedInstance instance;
    instance.m_name = "entry-" + std::to_string(i);
    instance.m_peers = bench_instances[i]->m_network->listen_address();
    listed.push_back(instance);
  }
  for (const auto& bench_instance : bench_instances) {
    bench_instance->m_network->SetListed(listed);
  }
}

double Total(const std::vector<std::unique_ptr<BenchInstance>>& bench_instances,
             const char* name) {
  double total = 0;
  for (const auto& bench_instance : bench_instances) {
    total += bench_instance->ReadGauge(name);
  }
  return total;
}

void PrintRow(int instances, int seconds, std::ostream& out) {
  const double bytes_before = util::PrivateBytes();
  std::vector<std::unique_ptr<BenchInstance>> bench_instances;
  for (int i = 0; i < instances; ++i) {
    bench_instances.push_back(std::make_unique<BenchInstance>(i));
    if (!bench_instances.back()->m_started) {
      out << instances << ": cannot listen on a loopback address\n";
      return;
    }
  }
  ShareInstanceList(bench_instances);
  RunEventLoop(kWarmUpSeconds);
  const double sent = Total(bench_instances, "sent_bytes");
  const double messages = Total(bench_instances, "sent_messages");
  const double cpu_seconds = util::ProcessorSeconds();
  RunEventLoop(seconds);
  const double instance_seconds = static_cast<double>(instances) * seconds;
  const double cores =
      (util::ProcessorSeconds() - cpu_seconds) / instance_seconds;
  out << std::setw(9) << instances << std::setw(9)
      << bench_instances[0]->m_network->LiveCount() << std::setw(13)
      << (Total(bench_instances, "sent_bytes") - sent) / instance_seconds
      << std::setw(11)
      << (Total(bench_instances, "sent_messages") - messages) / instance_seconds
      << std::setw(9) << cores * 100 << std::setw(12)
      << (util::PrivateBytes() - bytes_before) / instances / 1024
      << std::setw(9) << util::ThreadCount() << "\n";
}

}  // namespace

void RunPeersBench(const std::vector<int>& instance_counts,
                   int seconds,
                   std::ostream& out) {
  out << std::fixed << std::setprecision(2)
      << "instances     live  sent B/s   messages/s  core %  private KiB "
         "threads (all)\n";
  for (const int instances : instance_counts) {
    PrintRow(instances, seconds, out);
  }
}

}  // namespace guavacross::peers
