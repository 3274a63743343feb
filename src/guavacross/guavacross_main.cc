#include <array>
#include <cstdlib>
#include <cstring>
#include <iostream>

#include "guavacross/commands.h"
#include "util/log.h"

namespace {

struct Command {
  const char* m_name;
  int (*m_run)(int argc, char** argv);
  const char* m_summary;
};

namespace commands = guavacross::commands;

constexpr std::array kCommands = {
    Command{"serve", commands::Serve, "run an entry instance"},
    Command{"platform", commands::Platform,
            "run an entry instance on the Darkframe platform"},
    Command{"explain", commands::Explain, "print the log lines of one request"},
    Command{"check", commands::Check, "check a configuration document"},
    Command{"publish", commands::Publish, "publish sections of a document"},
    Command{"status", commands::Status, "show the state of the instances"},
    Command{"addresses", commands::Addresses,
            "show the addresses that callers should use"},
    Command{"demo", commands::Demo, "run entry instances against stand-ins"},
};

void PrintUsage(std::ostream& out) {
  out << "usage: guavacross COMMAND [FLAGS]\n\n"
         "A load balancer for servers whose load changes within "
         "milliseconds.\n\n";
  for (const Command& command : kCommands) {
    out << "  " << command.m_name
        << std::string(12 - std::strlen(command.m_name), ' ')
        << command.m_summary << "\n";
  }
  out << "\n`guavacross COMMAND --help` describes a command's flags.\n";
}

// Exits without running static destructors. Those of the linked libraries wait
// up to a second for the libraries' threads, which may exceed the time left
// until a process that received SIGTERM is killed.
[[noreturn]] void Exit(int code) {
  guavacross::util::StopLogging();
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(code);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    PrintUsage(std::cerr);
    return commands::kExitUsage;
  }
  for (const Command& command : kCommands) {
    if (std::strcmp(argv[1], command.m_name) == 0) {
      Exit(command.m_run(argc - 1, argv + 1));
    }
  }
  const bool wants_help =
      std::strcmp(argv[1], "--help") == 0 || std::strcmp(argv[1], "help") == 0;
  PrintUsage(wants_help ? std::cout : std::cerr);
  return wants_help ? commands::kExitOk : commands::kExitUsage;
}
