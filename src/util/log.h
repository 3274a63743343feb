#ifndef GUAVACROSS_UTIL_LOG_H_
#define GUAVACROSS_UTIL_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Structured log lines through log4cplus.
///
/// Each line is one event with fields: `LogChange("peer", "state changed",
/// {{"peer", name}, {"state", "suspect"}})`. Log changes of state; count
/// per-request events in metrics instead.
namespace guavacross::util {

using LogField = std::pair<std::string_view, std::string>;

/// Where log lines go.
enum class LogOutput { kStandardError, kStandardOutput };

/// Sends log lines to `output`. Standard output is written by a background
/// thread with a bounded queue, so that logging never blocks. `level` is debug,
/// info, warn or error. `instance` is added to each line. Call once, before
/// other threads start.
void StartLogging(const std::string& instance,
                  const std::string& level,
                  LogOutput output = LogOutput::kStandardError);

/// Writes the queued lines and stops logging. Later lines are lost. Call last,
/// after the other threads have ended.
void StopLogging();

/// Logs a change of state. Thread safe.
void LogChange(std::string_view package,
               std::string_view event,
               std::initializer_list<LogField> fields = {});

/// Logs a change of state as a warning for the operators. Thread safe.
void LogWarning(std::string_view package,
                std::string_view event,
                std::initializer_list<LogField> fields = {});

/// Same as `LogChange`, for fields that are collected in a vector.
void LogFields(std::string_view package,
               std::string_view event,
               const std::vector<LogField>& fields);

/// Formats a line as `event="..." key="value"`, with quotes, backslashes and
/// control characters escaped.
std::string FormatLogLine(std::string_view event,
                          const std::vector<LogField>& fields);

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_LOG_H_
