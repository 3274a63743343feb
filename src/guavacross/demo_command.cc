#include <QCoreApplication>
#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>
#include <boost/leaf/error.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/command_line.h"
#include "guavacross/commands.h"
#include "guavacross/config_state.h"
#include "guavacross/demo_deployment.h"
#include "guavacross/demo_instances.h"
#include "guavacross/demo_report.h"
#include "guavacross/wire_names.h"
#include "load/load_generator.h"
#include "log_service/http_log_access.h"
#include "util/handle.h"
#include "util/log.h"
#include "util/qt_clock.h"

namespace guavacross::commands {

namespace {

constexpr int kInstanceCount = 6;
constexpr int kFirstInstancePort = 7900;
constexpr int kMaxReadyPolls = 200;
constexpr Duration kReadyPollInterval = std::chrono::milliseconds(50);

struct DemoFlags {
  std::string m_name;
  Endpoint m_control{.m_ip = "127.0.0.1", .m_port = 7700};
  std::uint64_t m_seed = 1;
  double m_seconds = 12;
  double m_scale = 1;
  bool m_faults = true;
};

// Runs this thread's event loop for `duration`.
void Wait(Duration duration) {
  QEventLoop loop;
  const auto timer =
      util::QtClock().m_call_after(duration, [&loop] { loop.quit(); });
  loop.exec();
}

// One run of the demo.
class DemoRun {
 public:
  explicit DemoRun(DemoFlags flags)
      : m_flags(std::move(flags)), m_control(m_flags.m_control) {}

  Result<bool> Run();

 private:
  Result<bool> Publish();
  Result<bool> StartInstances();
  ClassResults RunLoad(double seconds, std::uint64_t seed);
  ClassResults RunDirect(double seconds);
  void ScheduleFaults(double seconds);
  void SetTargetState(std::size_t index, const QJsonObject& state);
  void SendCrashRequest();
  Result<double> CountProbes(const ServiceConfig& service);
  Result<std::vector<double>> CountAllProbes();
  Result<bool> PrintProbeUsage(const std::vector<double>& before,
                               Duration time);

  DemoFlags m_flags;
  DemoControl m_control;
  // Client for the fault schedule, whose requests are sent while load runs.
  load::HttpClient m_fault_client;
  Clock m_clock = util::QtClock();
  DemoDeployment m_deployment;
  std::vector<InstanceSettings> m_settings;
  DemoInstances m_instances;
  std::vector<std::unique_ptr<Timer>> m_fault_timers;
};

// Appends every section of the document as a new section. If the deployment has
// these sections already, the edits are refused and nothing changes.
Result<bool> DemoRun::Publish() {
  BOOST_LEAF_AUTO(sections, SplitDocument(m_deployment.m_document));
  const LogAccess log =
      log_service::MakeLogAccess(m_deployment.m_log_service, m_clock);
  for (const SectionText& section : sections) {
    ConfigEdit edit;
    edit.m_schema = kDocumentSchema;
    edit.m_section = section.m_name;
    edit.m_team = section.m_team;
    edit.m_edit_id = "demo-" + section.m_name;
    edit.m_toml = section.m_toml;
    QEventLoop loop;
    std::optional<AppendResult> result;
    log.m_append(kConfigStream, EncodeEdit(edit),
                 [&](AppendResult append_result) {
                   result = append_result;
                   loop.quit();
                 });
    if (!result.has_value()) {
      loop.exec();
    }
    if (result->m_end != AppendEnd::kAppended) {
      return Fail(ErrorKind::kLogUnavailable,
                  "cannot append section " + section.m_name);
    }
  }
  return true;
}

Result<bool> DemoRun::StartInstances() {
  m_settings = MakeDemoSettings(
      m_deployment.m_region, m_deployment.m_zones, m_deployment.m_log_service,
      m_deployment.m_instance_list, m_flags.m_control.m_ip, kFirstInstancePort,
      kInstanceCount);
  BOOST_LEAF_CHECK(m_control.Post("/components/instance-list",
                                  {{"instances", ToInstanceList(m_settings)}}));
  for (const InstanceSettings& settings : m_settings) {
    BOOST_LEAF_CHECK(m_instances.Start(settings));
  }
  for (int i = 0; i < kMaxReadyPolls; ++i) {
    if (m_instances.AllReady()) {
      return true;
    }
    Wait(kReadyPollInterval);
  }
  return Fail(ErrorKind::kNotReady, "the instances did not become ready");
}

ClassResults DemoRun::RunLoad(double seconds, std::uint64_t seed) {
  load::LoadPlan plan;
  plan.m_zone = m_deployment.m_zones.front();
  plan.m_duration = FromSeconds(seconds);
  plan.m_seed = seed;
  for (const InstanceSettings& settings : m_settings) {
    plan.m_endpoints.push_back(settings.m_callers);
  }
  plan.m_classes = MakeDemoWorkload(m_deployment, m_flags.m_scale);
  QEventLoop loop;
  load::LoadGenerator generator(std::move(plan), m_clock,
                                [&loop] { loop.quit(); });
  generator.Start();
  loop.exec();
  return generator.results();
}

// Sends the same requests directly to the backend servers of each service, to
// all services at the same time.
ClassResults DemoRun::RunDirect(double seconds) {
  QEventLoop loop;
  std::size_t running = m_deployment.m_services.size();
  std::vector<std::unique_ptr<load::LoadGenerator>> generators;
  std::uint64_t seed = m_flags.m_seed * 1000;
  for (const ServiceConfig& service : m_deployment.m_services) {
    load::LoadPlan plan;
    plan.m_direct = true;
    plan.m_duration = FromSeconds(seconds);
    plan.m_seed = seed++;
    for (const TargetConfig& target : service.m_targets) {
      plan.m_endpoints.push_back(target.m_address);
    }
    for (auto& load_class : MakeDemoWorkload(m_deployment, m_flags.m_scale)) {
      if (load_class.m_service == service.m_name) {
        plan.m_classes.push_back(std::move(load_class));
      }
    }
    generators.push_back(std::make_unique<load::LoadGenerator>(
        std::move(plan), m_clock, [&loop, &running] {
          if (--running == 0) {
            loop.quit();
          }
        }));
  }
  for (const auto& generator : generators) {
    generator->Start();
  }
  loop.exec();
  ClassResults all;
  for (const auto& generator : generators) {
    all.insert(generator->results().begin(), generator->results().end());
  }
  return all;
}

void DemoRun::SetTargetState(std::size_t index, const QJsonObject& state) {
  const TargetConfig& target = m_deployment.m_services.front().m_targets[index];
  http::RequestHead head;
  head.m_method = "POST";
  head.m_target = "/components/" + target.m_name;
  m_fault_client.Send(m_flags.m_control, std::move(head),
                      QJsonDocument(state).toJson().toStdString(),
                      std::chrono::seconds(5),
                      [](const util::Expected<load::ClientAnswer>&) {});
}

// Sends a request that crashes the backend server that executes it.
void DemoRun::SendCrashRequest() {
  const ServiceConfig& service = m_deployment.m_services.front();
  http::RequestHead head;
  head.m_method = "GET";
  head.m_target = service.m_classes.front().m_path_prefix + "/crash";
  head.m_fields = {{kServiceHeader, service.m_name}, {"X-Crash", "1"}};
  m_fault_client.Send(m_settings.front().m_callers, std::move(head), "",
                      std::chrono::seconds(5),
                      [](const util::Expected<load::ClientAnswer>&) {});
}

// Schedules a slow backend server, a draining one, and two requests that crash
// the one they reach, one after the other over `seconds`.
void DemoRun::ScheduleFaults(double seconds) {
  const auto schedule_at = [this, seconds](double share,
                                           std::function<void()> call) {
    m_fault_timers.push_back(
        m_clock.m_call_after(FromSeconds(seconds * share), std::move(call)));
  };
  schedule_at(0.2, [this] {
    SetTargetState(0, {{"straggle_factor", 10}, {"straggle_for_ms", 2000}});
  });
  schedule_at(0.4, [this] { SetTargetState(1, {{"draining", true}}); });
  schedule_at(0.6, [this] { SendCrashRequest(); });
  schedule_at(0.7, [this] { SendCrashRequest(); });
  schedule_at(0.8, [this] { SetTargetState(1, {{"draining", false}}); });
}

Result<double> DemoRun::CountProbes(const ServiceConfig& service) {
  double probes = 0;
  BOOST_LEAF_AUTO(counters, m_control.Get("/counters"));
  for (const TargetConfig& target : service.m_targets) {
    probes += counters[QString::fromStdString(target.m_name)]
                  .toObject()["probes"]
                  .toDouble();
  }
  return probes;
}

Result<std::vector<double>> DemoRun::CountAllProbes() {
  std::vector<double> counts;
  for (const ServiceConfig& service : m_deployment.m_services) {
    BOOST_LEAF_AUTO(count, CountProbes(service));
    counts.push_back(count);
  }
  return counts;
}

Result<bool> DemoRun::PrintProbeUsage(const std::vector<double>& before,
                                      Duration time) {
  BOOST_LEAF_AUTO(after, CountAllProbes());
  std::vector<ProbeUsage> usage;
  for (std::size_t i = 0; i < after.size(); ++i) {
    const ServiceConfig& service = m_deployment.m_services[i];
    usage.push_back(
        {.m_service = service.m_name,
         .m_sent = after[i] - before[i],
         .m_allowed = service.m_probe.m_probes_per_second * Seconds(time)});
  }
  PrintProbes(usage, std::cout);
  return true;
}

Result<bool> DemoRun::Run() {
  BOOST_LEAF_ASSIGN(m_deployment, FetchDeployment(&m_control));
  if (m_deployment.m_name != m_flags.m_name) {
    return Fail(
        ErrorKind::kBadSettings,
        "the stand-ins run a different deployment: " + m_deployment.m_name);
  }
  std::cout << "deployment " << m_deployment.m_name << ", region "
            << m_deployment.m_region << ", " << kInstanceCount
            << " entry instances, seed " << m_flags.m_seed << "\n";
  const ClassResults direct = RunDirect(m_flags.m_seconds / 4);
  BOOST_LEAF_CHECK(Publish());
  BOOST_LEAF_CHECK(StartInstances());
  const TimePoint start = m_clock.m_now();
  BOOST_LEAF_AUTO(probes_before, CountAllProbes());
  const ClassResults proxied =
      RunLoad(m_flags.m_seconds / 4, m_flags.m_seed * 1000 + 100);
  PrintAddedLatency(direct, proxied, std::cout);

  const double seconds = m_flags.m_seconds / 2;
  if (m_flags.m_faults) {
    ScheduleFaults(seconds);
  }
  const ClassResults results = RunLoad(seconds, m_flags.m_seed * 1000 + 200);
  PrintResults(m_flags.m_faults
                   ? "With a straggler, a draining backend server and a crash"
                   : "Without faults",
               results, std::cout);
  BOOST_LEAF_CHECK(PrintProbeUsage(probes_before, m_clock.m_now() - start));
  BOOST_LEAF_AUTO(runs, m_control.Get("/runs"));
  const RunCountCheck check = CheckRunCounts(results, runs);
  PrintRunCountCheck(check, std::cout);
  return check.Passed();
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "guavacross demo",
      "Runs an example deployment: six entry instances in this process against "
      "the\nstand-ins of `guavacross-standin deployment`, which must be "
      "running. Prints, per\nclass, the requests sent and answered, latencies "
      "and the latency that guavacross adds to\nthe direct path, and, per "
      "service, the probes sent and allowed. `scripts/demo` starts both\n"
      "parts. Exit code 1 means an error, a wrong answer, a request that was "
      "executed twice, or\na falsely reported outcome.");
  options.add_options()("darkframe", "The Darkframe deployment")(
      "cedarbloom", "The Cedarbloom deployment")(
      "control", "The stand-ins' control address",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7700"))(
      "seed", "Seed of the random request arrivals",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "Total duration of the load, in seconds",
      cxxopts::value<double>()->default_value("12"))(
      "scale", "Factor for the request rates",
      cxxopts::value<double>()->default_value("1"))("no-faults",
                                                    "Do not inject faults")(
      "log-level", "debug, info, warn or error",
      cxxopts::value<std::string>()->default_value("error"));
  return options;
}

Result<int> RunDemo(const cxxopts::ParseResult& flags, int argc, char** argv) {
  if (flags.count("darkframe") + flags.count("cedarbloom") != 1) {
    return Fail(ErrorKind::kBadSettings,
                "exactly one of --darkframe and --cedarbloom must be given");
  }
  DemoFlags demo_flags;
  demo_flags.m_name = flags.count("darkframe") > 0 ? "darkframe" : "cedarbloom";
  demo_flags.m_seed = flags["seed"].as<std::uint64_t>();
  demo_flags.m_seconds = flags["seconds"].as<double>();
  demo_flags.m_scale = flags["scale"].as<double>();
  demo_flags.m_faults = flags.count("no-faults") == 0;
  BOOST_LEAF_ASSIGN(demo_flags.m_control, EndpointFlag(flags, "control"));
  QCoreApplication application(argc, argv);
  util::StartLogging("demo", flags["log-level"].as<std::string>());
  DemoRun demo(demo_flags);
  return util::Handle(
      [&demo]() -> Result<int> {
        BOOST_LEAF_AUTO(passed, demo.Run());
        return passed ? kExitOk : kExitFailed;
      },
      [](const Error& error) {
        std::cerr << "guavacross demo: " << error.m_text
                  << "\nAre the stand-ins running? `scripts/demo` starts them."
                  << std::endl;
        return kExitFailed;
      });
}

}  // namespace

int Demo(int argc, char** argv) {
  return ParseAndRun(MakeOptions(), argc, argv,
                     [&](const cxxopts::ParseResult& flags) {
                       return RunDemo(flags, argc, argv);
                     });
}

}  // namespace guavacross::commands
