#ifndef GUAVACROSS_UTIL_LOG_H_
#define GUAVACROSS_UTIL_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Structured log lines through log4cplus.
///
/// A line is one event with fields: `LogChange("peer", "state changed",
/// {{"peer", name}, {"state", "suspect"}})`. Lines are for changes of state;
/// what happens per request is counted in metrics.
namespace guavacross::util {

using LogField = std::pair<std::string_view, std::string>;

/// Where log lines go.
enum class LogOutput { kStandardError, kStandardOutput };

/// Sends log lines to `output`. Standard output is written by a thread of its
/// own, behind a queue of bounded length, so that logging never waits. `level`
/// is debug, info, warn or error. `instance` is added to each line. Call once,
/// before threads start.
void StartLogging(const std::string& instance,
                  const std::string& level,
                  LogOutput output = LogOutput::kStandardError);

/// Writes out the lines that wait and ends the log. Lines that come later are
/// lost. Call last, once other threads have ended.
void StopLogging();

/// Logs a change of state. Thread safe.
void LogChange(std::string_view package,
               std::string_view event,
               std::initializer_list<LogField> fields = {});

/// Logs a change of state that an operator should look at. Thread safe.
void LogWarning(std::string_view package,
                std::string_view event,
                std::initializer_list<LogField> fields = {});

/// As `LogChange`, for fields that are gathered.
void LogFields(std::string_view package,
               std::string_view event,
               const std::vector<LogField>& fields);

/// The line's text: `event="..." key="value"`, with quotes and control
/// characters escaped.
std::string FormatLogLine(std::string_view event,
                          const std::vector<LogField>& fields);

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_LOG_H_
