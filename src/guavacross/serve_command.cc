#include <QCoreApplication>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "guavacross/commands.h"
#include "guavacross/settings.h"
#include "serve/instance.h"
#include "util/handle.h"
#include "util/log.h"
#include "util/qt_clock.h"
#include "util/signal_watcher.h"

namespace guavacross::commands {

namespace {

// Settings that have a flag of their own; all are strings in TOML.
constexpr const char* kStringSettings[] = {
    "name",      "region",      "zone",          "callers",  "peers",
    "operators", "log_service", "instance_list", "log_level"};

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "guavacross serve",
      "Runs an entry instance until SIGTERM, then finishes every open request "
      "and exits.");
  auto add = options.add_options();
  add("settings", "the settings file (TOML)", cxxopts::value<std::string>());
  for (const char* const key : kStringSettings) {
    add(key, std::string("goes before the file's ") + key,
        cxxopts::value<std::string>());
  }
  add("set", "KEY=VALUE in TOML, for any other setting; may be repeated",
      cxxopts::value<std::vector<std::string>>());
  add("help", "this text");
  return options;
}

std::vector<std::string> Overrides(const cxxopts::ParseResult& flags) {
  std::vector<std::string> overrides;
  for (const char* const key : kStringSettings) {
    if (flags.count(key) > 0) {
      overrides.push_back(std::string(key) + " = \"" +
                          flags[key].as<std::string>() + "\"");
    }
  }
  if (flags.count("set") > 0) {
    for (const auto& entry : flags["set"].as<std::vector<std::string>>()) {
      overrides.push_back(entry);
    }
  }
  return overrides;
}

Result<InstanceSettings> ReadSettings(const cxxopts::ParseResult& flags) {
  std::stringstream text;
  if (flags.count("settings") > 0) {
    const std::string path = flags["settings"].as<std::string>();
    std::ifstream file(path);
    if (!file) {
      return Fail(ErrorKind::kBadSettings, "cannot read " + path);
    }
    text << file.rdbuf();
  }
  return ParseSettings(text.str(), Overrides(flags));
}

// Runs the instance on this thread's event loop until it has shut down.
int RunInstance(const InstanceSettings& settings, int argc, char** argv) {
  QCoreApplication application(argc, argv);
  util::StartLogging(settings.m_name, settings.m_log_level);
  std::unique_ptr<serve::Instance> instance;
  bool shutting_down = false;
  // A second signal changes nothing: open requests are still finished.
  const util::SignalWatcher watcher([&](int signal) {
    if (signal == SIGHUP) {
      util::LogChange("serve",
                      "SIGHUP changes nothing: settings are read at "
                      "the start only");
    } else if (!shutting_down && instance != nullptr) {
      shutting_down = true;
      instance->Shutdown([] { QCoreApplication::exit(kExitOk); });
    }
  });
  instance = std::make_unique<serve::Instance>(settings, util::QtClock());
  const util::Expected<bool> started =
      util::Catch([&] { return instance->Start(); });
  if (!started) {
    std::cerr << "guavacross serve: " << started.m_error.m_text << std::endl;
    return kExitUsage;
  }
  return QCoreApplication::exec();
}

}  // namespace

int Serve(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  std::optional<cxxopts::ParseResult> flags;
  try {
    flags = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "guavacross serve: " << error.what() << std::endl;
    return kExitUsage;
  }
  if (flags->count("help") > 0) {
    std::cout << options.help();
    return kExitOk;
  }
  const util::Expected<InstanceSettings> settings =
      util::Catch([&] { return ReadSettings(*flags); });
  if (!settings) {
    std::cerr << "guavacross serve: " << settings.m_error.m_text << std::endl;
    return kExitUsage;
  }
  return RunInstance(*settings.m_value, argc, argv);
}

}  // namespace guavacross::commands
