#include "util/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cstdio>
#include <memory>

#include "util/bounded_appender.h"

namespace guavacross::util {

namespace {

// Capacity of the queue: a few seconds of logging at the highest rate.
constexpr std::size_t kMaxQueuedLines = 2000;

// Initializes log4cplus on first use. It requires an initializer object that
// lives as long as the process.
log4cplus::Initializer& EnsureInitialized() {
  static log4cplus::Initializer initializer;
  return initializer;
}

log4cplus::LogLevel LevelFromName(const std::string& level) {
  if (level == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (level == "warn") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  if (level == "error") {
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

void AppendEscaped(std::string_view text, std::string* line) {
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      line->push_back('\\');
      line->push_back(c);
    } else if (static_cast<unsigned char>(c) < ' ') {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\x%02x", c);
      line->append(escaped);
    } else {
      line->push_back(c);
    }
  }
}

}  // namespace

void StartLogging(const std::string& instance,
                  const std::string& level,
                  LogOutput output) {
  EnsureInitialized();
  log4cplus::SharedAppenderPtr appender;
  if (output == LogOutput::kStandardError) {
    const bool flush_each_line = true;
    appender =
        new log4cplus::ConsoleAppender(/*logToStdErr=*/true, flush_each_line);
  } else {
    appender =
        new BoundedAppender(kMaxQueuedLines, [](const std::string& text) {
          std::fwrite(text.data(), 1, text.size(), stdout);
          std::fflush(stdout);
        });
  }
  const std::string pattern =
      "%D{%Y-%m-%dT%H:%M:%S.%q} level=%p instance=" + instance +
      " package=%c %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(LevelFromName(level));
}

void StopLogging() {
  EnsureInitialized();
  // Closes the appender, which writes its queued lines.
  log4cplus::Logger::getRoot().removeAllAppenders();
}

std::string FormatLogLine(std::string_view event,
                          const std::vector<LogField>& fields) {
  std::string line = "event=\"";
  AppendEscaped(event, &line);
  line.push_back('"');
  for (const auto& [key, value] : fields) {
    line.push_back(' ');
    line.append(key);
    line.append("=\"");
    AppendEscaped(value, &line);
    line.push_back('"');
  }
  return line;
}

void LogFields(std::string_view package,
               std::string_view event,
               const std::vector<LogField>& fields) {
  EnsureInitialized();
  const auto logger = log4cplus::Logger::getInstance(std::string(package));
  LOG4CPLUS_INFO(logger, FormatLogLine(event, fields));
}

void LogChange(std::string_view package,
               std::string_view event,
               std::initializer_list<LogField> fields) {
  LogFields(package, event, fields);
}

void LogWarning(std::string_view package,
                std::string_view event,
                std::initializer_list<LogField> fields) {
  EnsureInitialized();
  const auto logger = log4cplus::Logger::getInstance(std::string(package));
  LOG4CPLUS_WARN(logger, FormatLogLine(event, fields));
}

}  // namespace guavacross::util
