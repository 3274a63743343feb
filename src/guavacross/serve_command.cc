#include <QCoreApplication>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "guavacross/command_line.h"
#include "guavacross/commands.h"
#include "guavacross/settings.h"
#include "serve/instance.h"
#include "util/log.h"
#include "util/qt_clock.h"
#include "util/signal_watcher.h"

namespace guavacross::commands {

namespace {

// Settings that can also be given by a flag of the same name. All are strings
// in TOML.
constexpr const char* kSettingsWithFlags[] = {
    "name",      "region",      "zone",          "callers",  "peers",
    "operators", "log_service", "instance_list", "log_level"};

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "guavacross serve",
      "Runs an entry instance until SIGTERM, then finishes every open request "
      "and exits.");
  auto add = options.add_options();
  add("settings", "the settings file (TOML)", cxxopts::value<std::string>());
  for (const char* const key : kSettingsWithFlags) {
    add(key, std::string("overrides the setting ") + key,
        cxxopts::value<std::string>());
  }
  add("set", "KEY=VALUE in TOML, for any other setting; may be repeated",
      cxxopts::value<std::vector<std::string>>());
  return options;
}

std::vector<std::string> Overrides(const cxxopts::ParseResult& flags) {
  std::vector<std::string> overrides;
  for (const char* const key : kSettingsWithFlags) {
    if (flags.count(key) > 0) {
      overrides.push_back(std::string(key) + " = \"" +
                          flags[key].as<std::string>() + "\"");
    }
  }
  for (const std::string& entry : ListFlag(flags, "set")) {
    overrides.push_back(entry);
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
Result<int> RunInstance(const InstanceSettings& settings,
                        int argc,
                        char** argv) {
  QCoreApplication application(argc, argv);
  util::StartLogging(settings.m_name, settings.m_log_level);
  std::unique_ptr<serve::Instance> instance;
  bool shutting_down = false;
  // A second SIGTERM or SIGINT is ignored, so that open requests are finished.
  const util::SignalWatcher watcher([&](int signal) {
    if (signal == SIGHUP) {
      util::LogChange("serve",
                      "SIGHUP ignored: settings are read at startup only");
    } else if (!shutting_down && instance != nullptr) {
      shutting_down = true;
      instance->Shutdown([] { QCoreApplication::exit(kExitOk); });
    }
  });
  instance = std::make_unique<serve::Instance>(settings, util::QtClock());
  BOOST_LEAF_CHECK(instance->Start());
  return QCoreApplication::exec();
}

}  // namespace

int Serve(int argc, char** argv) {
  return ParseAndRun(MakeOptions(), argc, argv,
                     [&](const cxxopts::ParseResult& flags) -> Result<int> {
                       BOOST_LEAF_AUTO(settings, ReadSettings(flags));
                       return RunInstance(settings, argc, argv);
                     });
}

}  // namespace guavacross::commands
