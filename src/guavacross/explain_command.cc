#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/command_line.h"
#include "guavacross/commands.h"

namespace guavacross::commands {

namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "guavacross explain",
      "Prints the log lines of one request in order of time, from the "
      "instances' log files or from standard input, followed by the log lines "
      "about each target that it was sent to.");
  auto add = options.add_options();
  add("request", "the request's id", cxxopts::value<std::string>());
  add("files", "log files; standard input if there are none",
      cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"request", "files"});
  options.positional_help("REQUEST-ID [FILE...]");
  return options;
}

// Returns the value of a field in a log line, or nothing if it has none.
std::optional<std::string> FieldValue(const std::string& line,
                                      const std::string& name) {
  const std::string prefix = " " + name + "=\"";
  const std::size_t field_start = line.find(prefix);
  if (field_start == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t value_start = field_start + prefix.size();
  return line.substr(value_start, line.find('"', value_start) - value_start);
}

// Strips any prefix before the timestamp, such as a file name. Lines that begin
// with their timestamp sort by time when compared as text.
std::string StripBeforeTimestamp(const std::string& line) {
  const std::size_t level = line.find(" level=");
  const std::size_t prefix_end =
      level == std::string::npos ? 0 : line.rfind(' ', level - 1);
  return prefix_end == std::string::npos || level == std::string::npos
             ? line
             : line.substr(prefix_end + 1);
}

void ReadLines(std::istream& in, std::vector<std::string>* lines) {
  std::string line;
  while (std::getline(in, line)) {
    lines->push_back(StripBeforeTimestamp(line));
  }
}

Result<std::vector<std::string>> ReadAll(
    const std::vector<std::string>& files) {
  std::vector<std::string> lines;
  if (files.empty()) {
    ReadLines(std::cin, &lines);
  }
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      return Fail(ErrorKind::kBadSettings, "cannot read " + name);
    }
    ReadLines(file, &lines);
  }
  std::stable_sort(lines.begin(), lines.end());
  return lines;
}

Result<int> Run(const cxxopts::ParseResult& flags) {
  if (flags.count("request") == 0) {
    return Fail(ErrorKind::kBadSettings, "no request id given");
  }
  const std::string id = flags["request"].as<std::string>();
  BOOST_LEAF_AUTO(lines, ReadAll(ListFlag(flags, "files")));
  std::vector<std::string> targets;
  bool found = false;
  for (const std::string& line : lines) {
    if (FieldValue(line, "request") == id) {
      found = true;
      std::cout << line << "\n";
      for (const char* const field : {"target", "last_target"}) {
        const auto target = FieldValue(line, field);
        if (target.has_value() && !target->empty() &&
            std::find(targets.begin(), targets.end(), *target) ==
                targets.end()) {
          targets.push_back(*target);
        }
      }
    }
  }
  if (!found) {
    std::cout << "no log line found for request " << id
              << "; only some of the successful requests are logged\n";
    return kExitFailed;
  }
  for (const std::string& target : targets) {
    std::cout << "\ntarget " << target << ":\n";
    for (const std::string& line : lines) {
      if (FieldValue(line, "target") == target &&
          !FieldValue(line, "request")) {
        std::cout << line << "\n";
      }
    }
  }
  return kExitOk;
}

}  // namespace

int Explain(int argc, char** argv) {
  return RunWithFlags(MakeOptions(), argc, argv, Run);
}

}  // namespace guavacross::commands
