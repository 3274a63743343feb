#include <QCoreApplication>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

#include "guavacross/command_line.h"
#include "guavacross/commands.h"
#include "platform/program.h"
#include "platform/settings.h"
#include "util/handle.h"
#include "util/log.h"
#include "util/qt_clock.h"
#include "util/signal_watcher.h"

namespace guavacross::commands {

namespace {

// Environment variable with the path of the settings file, used without
// --settings.
constexpr char kSettingsPathVariable[] = "GUAVACROSS_SETTINGS";

// Interval for re-reading the settings file without a signal. Changes that must
// take effect sooner are announced by SIGHUP.
constexpr Duration kSettingsPollInterval = std::chrono::seconds(2);

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "guavacross platform",
      "Runs an entry instance on the Darkframe platform until SIGTERM, then "
      "finishes open requests and exits. The settings file is named by "
      "--settings or by the variable GUAVACROSS_SETTINGS.");
  auto add = options.add_options();
  add("settings", "the settings file (TOML)", cxxopts::value<std::string>());
  add("check", "check the settings file and exit");
  return options;
}

Result<platform::Settings> ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (path.empty() || !file) {
    return Fail(ErrorKind::kBadSettings,
                path.empty() ? std::string("no settings file given")
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
  const char* const path_from_environment = std::getenv(kSettingsPathVariable);
  return path_from_environment == nullptr ? std::string()
                                          : path_from_environment;
}

// Reloads the settings file when `RereadFile` is called, which SIGHUP triggers,
// and every `kSettingsPollInterval`, since the file may change without a
// signal.
class SettingsWatcher {
 public:
  SettingsWatcher(std::string path,
                  platform::Settings settings,
                  Clock clock,
                  std::function<void(const platform::Settings&)> on_change)
      : m_path(std::move(path)),
        m_settings(std::move(settings)),
        m_clock(std::move(clock)),
        m_on_change(std::move(on_change)) {
    Schedule();
  }

  void RereadFile() {
    const util::Expected<platform::Settings> read =
        util::Catch([&] { return ReadSettings(m_path); });
    if (!read) {
      if (m_last_error != read.m_error.m_text) {
        m_last_error = read.m_error.m_text;
        util::LogWarning("settings",
                         "the file can't be read; the last settings stay in "
                         "force",
                         {{"why", m_last_error}});
      }
      return;
    }
    m_last_error.clear();
    if (*read.m_value != m_settings) {
      m_settings = *read.m_value;
      util::LogChange(
          "settings", "changed settings in force",
          {{"seeds", std::to_string(m_settings.m_instance.m_seeds.size())}});
      m_on_change(m_settings);
    }
  }

 private:
  void Schedule() {
    m_timer = m_clock.m_call_after(kSettingsPollInterval, [this] {
      RereadFile();
      Schedule();
    });
  }

  std::string m_path;
  platform::Settings m_settings;
  Clock m_clock;
  std::function<void(const platform::Settings&)> m_on_change;
  std::string m_last_error;
  std::unique_ptr<Timer> m_timer;
};

// Runs the instance on this thread's event loop until it has shut down.
Result<int> RunInstance(const std::string& path,
                        const platform::Settings& settings,
                        int argc,
                        char** argv) {
  QCoreApplication application(argc, argv);
  std::unique_ptr<platform::Program> program;
  std::unique_ptr<SettingsWatcher> settings_watcher;
  bool shutting_down = false;
  // Must be created before the logging thread starts, since that thread would
  // receive the signals otherwise.
  const util::SignalWatcher watcher([&](int signal) {
    if (signal == SIGHUP) {
      util::LogChange("settings",
                      "SIGHUP received; re-reading the settings file");
      settings_watcher->RereadFile();
    } else if (!std::exchange(shutting_down, true)) {
      program->Shutdown([] { QCoreApplication::exit(kExitOk); });
    }
  });
  util::StartLogging(settings.m_instance.m_name, settings.m_log_level,
                     util::LogOutput::kStandardOutput);
  const Clock clock = util::QtClock();
  settings_watcher = std::make_unique<SettingsWatcher>(
      path, settings, clock,
      [&](const platform::Settings& changed) { program->Reload(changed); });
  program = std::make_unique<platform::Program>(settings, clock);
  BOOST_LEAF_CHECK(program->Start());
  return QCoreApplication::exec();
}

}  // namespace

int Platform(int argc, char** argv) {
  return ParseAndRun(MakeOptions(), argc, argv,
                     [&](const cxxopts::ParseResult& flags) -> Result<int> {
                       const std::string path = SettingsPath(flags);
                       BOOST_LEAF_AUTO(settings, ReadSettings(path));
                       if (flags.count("check") > 0) {
                         std::cout << "the settings are valid" << std::endl;
                         return kExitOk;
                       }
                       return RunInstance(path, settings, argc, argv);
                     });
}

}  // namespace guavacross::commands
