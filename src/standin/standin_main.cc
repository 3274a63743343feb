#include <QCoreApplication>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standin/backend_server.h"
#include "standin/control_server.h"
#include "standin/deployment.h"
#include "standin/instance_list.h"
#include "standin/load_command.h"
#include "standin/log_service.h"
#include "standin/proxy.h"
#include "util/qt_clock.h"

namespace {

using namespace guavacross::standin;  // NOLINT: the program's own namespace
using guavacross::Endpoint;
using guavacross::ParseEndpoint;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr char kUsage[] =
    "Stand-ins for the platform and for backend servers.\n\n"
    "Usage: guavacross-standin COMMAND [OPTION...]\n\n"
    "Commands:\n"
    "  log-service    the platform's log service\n"
    "  instance-list  the platform's list of entry instances\n"
    "  backend        backend servers, one for each --server\n"
    "  proxy          fault-injecting TCP proxies, one for each --link\n"
    "  platform       log service, instance list, backend servers and proxies\n"
    "                 in one process\n"
    "  deployment     platform and backend servers of an example deployment\n\n"
    "Faults are set and counters read over HTTP at the --control address; see\n"
    "standin/control_server.h. The first line of output gives that address.\n"
    "All commands run until SIGTERM.\n";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("guavacross-standin", kUsage);
  auto add = options.add_options();
  add("h,help", "Print this help");
  add("control", "Control address", cxxopts::value<std::string>());
  add("log-service", "Listen address of the log service",
      cxxopts::value<std::string>());
  add("instance-list", "Listen address of the instance list",
      cxxopts::value<std::string>());
  add("listen", "Listen address of the log service or instance list",
      cxxopts::value<std::string>());
  add("server", "A backend server: NAME=IP:PORT",
      cxxopts::value<std::vector<std::string>>());
  add("link", "A proxy: NAME=IP:PORT:TARGET_IP:TARGET_PORT",
      cxxopts::value<std::vector<std::string>>());
  add("slots", "Slots of each backend server",
      cxxopts::value<int>()->default_value("4"));
  add("mean-ms", "Mean of the exponential service time",
      cxxopts::value<double>()->default_value("2"));
  add("cold-ms", "Warm-up time after a cold start",
      cxxopts::value<int>()->default_value("0"));
  add("seed", "Seed of the service times",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("threads", "Threads for backend servers",
      cxxopts::value<int>()->default_value("3"));
  add("darkframe", "The Darkframe example (deployment)");
  add("cedarbloom", "The Cedarbloom example (deployment)");
  add("ip", "IP address of a deployment",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("base-port", "First port of a deployment",
      cxxopts::value<std::uint16_t>()->default_value("7700"));
  return options;
}

int ReportUsageError(const std::string& text) {
  std::cerr << "guavacross-standin: " << text << "\n";
  return kExitUsage;
}

// Prints the control address and runs the event loop until the process is
// terminated by a signal.
int Serve(const Endpoint& control) {
  std::cout << "control " << ToString(control) << std::endl;
  return QCoreApplication::exec();
}

// Splits `NAME=REST`; returns nothing if there is no name.
std::optional<std::pair<std::string, std::string>> SplitName(
    const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0) {
    return std::nullopt;
  }
  return std::pair(text.substr(0, equals), text.substr(equals + 1));
}

// The components that the commands other than `deployment` can start.
struct Components {
  std::unique_ptr<LogService> m_log_service;
  std::unique_ptr<InstanceList> m_instance_list;
  std::unique_ptr<ServerThreads> m_threads;
  std::vector<std::unique_ptr<Proxy>> m_proxies;
  std::vector<Component*> m_components;
};

std::string AddBackends(const cxxopts::ParseResult& flags,
                        Components* components) {
  if (flags.count("server") == 0) {
    return {};
  }
  components->m_threads =
      std::make_unique<ServerThreads>(flags["threads"].as<int>());
  std::uint64_t seed = flags["seed"].as<std::uint64_t>();
  for (const auto& text : flags["server"].as<std::vector<std::string>>()) {
    const auto named = SplitName(text);
    BackendOptions options;
    if (!named || !ParseEndpoint(named->second, &options.m_listen)) {
      return "--server must be NAME=IP:PORT, not " + text;
    }
    options.m_name = named->first;
    options.m_slots = flags["slots"].as<int>();
    options.m_cold_ms = flags["cold-ms"].as<int>();
    options.m_service_times.front().m_mean_ms = flags["mean-ms"].as<double>();
    options.m_seed = seed++;
    BackendServer* server = components->m_threads->Adopt(
        std::make_unique<BackendServer>(options, guavacross::util::QtClock()));
    if (!server->Start()) {
      return "can't listen on " + named->second;
    }
    components->m_components.push_back(server);
  }
  return {};
}

std::string AddProxies(const cxxopts::ParseResult& flags,
                       Components* components) {
  if (flags.count("link") == 0) {
    return {};
  }
  for (const auto& text : flags["link"].as<std::vector<std::string>>()) {
    const auto named = SplitName(text);
    Endpoint listen;
    Endpoint target;
    bool ok = named.has_value();
    if (ok) {
      // IP:PORT:IP:PORT is split after the first port.
      const std::string& rest = named->second;
      const std::size_t separator = rest.find(':', rest.find(':') + 1);
      ok = separator != std::string::npos &&
           ParseEndpoint(rest.substr(0, separator), &listen) &&
           ParseEndpoint(rest.substr(separator + 1), &target);
    }
    if (!ok) {
      return "--link must be NAME=IP:PORT:IP:PORT, not " + text;
    }
    components->m_proxies.push_back(std::make_unique<Proxy>(
        named->first, target, guavacross::util::QtClock()));
    if (!components->m_proxies.back()->Listen(listen)) {
      return "can't listen on " + ToString(listen);
    }
    components->m_components.push_back(components->m_proxies.back().get());
  }
  return {};
}

template <class Service>
std::string AddService(const cxxopts::ParseResult& flags,
                       const std::string& flag,
                       const std::string& name,
                       std::unique_ptr<Service>* service,
                       Components* components) {
  if (flags.count(flag) == 0) {
    return {};
  }
  const auto text = flags[flag].as<std::string>();
  Endpoint listen;
  if (!ParseEndpoint(text, &listen)) {
    return "--" + flag + " must be IP:PORT, not " + text;
  }
  *service = std::make_unique<Service>(name, guavacross::util::QtClock());
  if (!(*service)->Listen(listen)) {
    return "can't listen on " + text;
  }
  components->m_components.push_back(service->get());
  return {};
}

int RunComponents(const std::string& command,
                  const cxxopts::ParseResult& flags) {
  const bool all = command == "platform";
  Components components;
  std::vector<std::function<std::string()>> steps;
  if (all || command == "log-service") {
    steps.emplace_back([&] {
      return AddService(flags, all ? "log-service" : "listen", "log-service",
                        &components.m_log_service, &components);
    });
  }
  if (all || command == "instance-list") {
    steps.emplace_back([&] {
      return AddService(flags, all ? "instance-list" : "listen",
                        "instance-list", &components.m_instance_list,
                        &components);
    });
  }
  if (all || command == "backend") {
    steps.emplace_back([&] { return AddBackends(flags, &components); });
  }
  if (all || command == "proxy") {
    steps.emplace_back([&] { return AddProxies(flags, &components); });
  }
  for (const auto& step : steps) {
    const std::string problem = step();
    if (!problem.empty()) {
      return ReportUsageError(problem);
    }
  }
  Endpoint control{.m_ip = "127.0.0.1"};
  if (flags.count("control") != 0 &&
      !ParseEndpoint(flags["control"].as<std::string>(), &control)) {
    return ReportUsageError("--control must be IP:PORT");
  }
  if (components.m_components.empty()) {
    return ReportUsageError("no component to start; see --help");
  }
  ControlServer server(components.m_components);
  control.m_port = server.Listen(control);
  if (control.m_port == 0) {
    return ReportUsageError("can't listen on the control address");
  }
  return Serve(control);
}

int RunDeployment(const cxxopts::ParseResult& flags) {
  if (flags.count("darkframe") + flags.count("cedarbloom") != 1) {
    return ReportUsageError("deployment needs --darkframe or --cedarbloom");
  }
  DeploymentOptions options;
  options.m_example =
      flags.count("darkframe") != 0 ? DarkframeExample() : CedarbloomExample();
  options.m_ip = flags["ip"].as<std::string>();
  options.m_base_port = flags["base-port"].as<std::uint16_t>();
  options.m_threads = flags["threads"].as<int>();
  options.m_seed = flags["seed"].as<std::uint64_t>();
  Deployment deployment(options, guavacross::util::QtClock());
  const std::string problem = deployment.Start();
  if (!problem.empty()) {
    std::cerr << "guavacross-standin: " << problem << "\n";
    return kExitFailed;
  }
  return Serve(deployment.control());
}

}  // namespace

int main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "--help";
  if (command == "load") {
    QCoreApplication application(argc, argv);
    return guavacross::standin::RunLoadCommand(argc - 1, argv + 1);
  }
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult flags = options.parse(argc, argv);
    if (flags.count("help") != 0 || command == "--help") {
      std::cout << options.help();
      return 0;
    }
    QCoreApplication application(argc, argv);
    const std::vector<std::string> commands = {"log-service", "instance-list",
                                               "backend", "proxy", "platform"};
    if (command == "deployment") {
      return RunDeployment(flags);
    }
    for (const std::string& known : commands) {
      if (command == known) {
        return RunComponents(command, flags);
      }
    }
    return ReportUsageError("unknown command " + command + "; see --help");
  } catch (const cxxopts::exceptions::exception& problem) {
    return ReportUsageError(problem.what());
  }
}
