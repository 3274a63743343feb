#include <QCoreApplication>
#include <QFileInfo>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include "guavacross/commands.h"
#include "platform/program.h"
#include "platform/settings.h"
#include "util/handle.h"
#include "util/log.h"
#include "util/qt_clock.h"
#include "util/signal_watcher.h"

namespace guavacross::commands {

namespace {

// Names the settings file unless --settings does.
constexpr char kSettingsVariable[] = "GUAVACROSS_SETTINGS";

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "guavacross platform",
      "Runs an entry instance on the Darkframe platform until SIGTERM, then "
      "finishes open requests and exits. The settings file is named by "
      "--settings or by the variable GUAVACROSS_SETTINGS.");
  auto add = options.add_options();
  add("settings", "the settings file (TOML)", cxxopts::value<std::string>());
  add("check", "check the settings file and exit");
  add("help", "this text");
  return options;
}

Result<platform::Settings> ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (path.empty() || !file) {
    return Fail(ErrorKind::kBadSettings,
                path.empty() ? std::string("no settings file is named")
                             : "cannot read " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  return platform::ParseSettings(text.str());
}

std::string SettingsPath(const cxxopts::ParseResult& flags) {
  if (flags.count("settings") > 0) {
    return flags["settings"].as<std::string>();
  }
  const char* const named = std::getenv(kSettingsVariable);
  return named == nullptr ? std::string() : named;
}

// Runs the instance on this thread's event loop until it has shut down.
int RunInstance(const platform::Settings& settings, int argc, char** argv) {
  QCoreApplication application(argc, argv);
  util::StartLogging(settings.m_instance.m_name, settings.m_log_level,
                     util::LogOutput::kStandardOutput);
  std::unique_ptr<platform::Program> program;
  bool shutting_down = false;
  const util::SignalWatcher watcher([&](int signal) {
    if (signal == SIGHUP) {
      util::LogChange("serve", "settings file changed");
    } else if (!std::exchange(shutting_down, true)) {
      program->Shutdown([] { QCoreApplication::exit(kExitOk); });
    }
  });
  program = std::make_unique<platform::Program>(settings, util::QtClock());
  const util::Expected<bool> started =
      util::Catch([&] { return program->Start(); });
  if (!started) {
    std::cerr << "guavacross platform: " << started.m_error.m_text << std::endl;
    return kExitUsage;
  }
  return QCoreApplication::exec();
}

}  // namespace

int Platform(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  std::optional<cxxopts::ParseResult> flags;
  try {
    flags = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "guavacross platform: " << error.what() << std::endl;
    return kExitUsage;
  }
  if (flags->count("help") > 0) {
    std::cout << options.help();
    return kExitOk;
  }
  const util::Expected<platform::Settings> settings =
      util::Catch([&] { return ReadSettings(SettingsPath(*flags)); });
  if (!settings) {
    std::cerr << "guavacross platform: " << settings.m_error.m_text
              << std::endl;
    return kExitUsage;
  }
  if (flags->count("check") > 0) {
    std::cout << "the settings are good" << std::endl;
    return kExitOk;
  }
  return RunInstance(*settings.m_value, argc, argv);
}

}  // namespace guavacross::commands
