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
    Command{"explain", commands::Explain,
            "print a request's story out of log files"},
    Command{"check", commands::Check, "check a configuration document"},
    Command{"publish", commands::Publish, "publish sections of a document"},
    Command{"status", commands::Status,
            "show what the instances have in force"},
    Command{"addresses", commands::Addresses, "ask which addresses to use"},
    Command{"demo", commands::Demo, "run a deployment against stand-ins"},
};

void PrintUsage(std::ostream& out) {
  out << "usage: guavacross COMMAND [FLAGS]\n\n"
         "A load balancer for servers whose load shifts in milliseconds.\n\n";
  for (const Command& command : kCommands) {
    out << "  " << command.m_name
        << std::string(12 - std::strlen(command.m_name), ' ')
        << command.m_summary << "\n";
  }
  out << "\n`guavacross COMMAND --help` explains a command's flags.\n";
}

// Ends the process at once. The destructors of libraries' static objects wait
// for threads of these libraries for up to a second, which is longer than a
// process that has been told to end may have left.
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
