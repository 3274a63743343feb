#include "guavacross/command_line.h"

#include <QCoreApplication>
#include <boost/leaf/error.hpp>
#include <iostream>
#include <utility>

#include "guavacross/commands.h"
#include "util/handle.h"
#include "util/log.h"

namespace guavacross::commands {

int ParseAndRun(
    cxxopts::Options options,
    int argc,
    char** argv,
    const std::function<Result<int>(const cxxopts::ParseResult&)>& run) {
  options.add_options()("help", "show this help");
  const std::string name = options.program();
  try {
    const cxxopts::ParseResult flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return kExitOk;
    }
    return util::Handle([&] { return run(flags); },
                        [&name](const Error& error) {
                          std::cerr << name << ": " << error.m_text
                                    << std::endl;
                          return kExitUsage;
                        });
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << name << ": " << error.what() << std::endl;
    return kExitUsage;
  }
}

int RunWithFlags(
    cxxopts::Options options,
    int argc,
    char** argv,
    const std::function<Result<int>(const cxxopts::ParseResult&)>& run) {
  return ParseAndRun(std::move(options), argc, argv,
                     [&](const cxxopts::ParseResult& flags) {
                       QCoreApplication application(argc, argv);
                       util::StartLogging(argv[0], "error");
                       return run(flags);
                     });
}

bool HasValue(const cxxopts::ParseResult& flags, const std::string& name) {
  return flags.count(name) > 0 || flags[name].has_default();
}

Result<Endpoint> EndpointFlag(const cxxopts::ParseResult& flags,
                              const std::string& name) {
  if (!HasValue(flags, name)) {
    return Fail(ErrorKind::kBadSettings, "--" + name + " is missing");
  }
  const auto& text = flags[name].as<std::string>();
  Endpoint endpoint;
  if (!ParseEndpoint(text, &endpoint)) {
    return Fail(ErrorKind::kBadSettings,
                "--" + name + " must be IP:PORT, not " + text);
  }
  return endpoint;
}

Result<std::vector<Endpoint>> EndpointsFlag(const cxxopts::ParseResult& flags,
                                            const std::string& name) {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : ListFlag(flags, name)) {
    Endpoint endpoint;
    if (!ParseEndpoint(text, &endpoint)) {
      return Fail(ErrorKind::kBadSettings,
                  "--" + name + " must be IP:PORT,IP:PORT,..., not " + text);
    }
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

std::vector<std::string> ListFlag(const cxxopts::ParseResult& flags,
                                  const std::string& name) {
  if (!HasValue(flags, name)) {
    return {};
  }
  return flags[name].as<std::vector<std::string>>();
}

}  // namespace guavacross::commands
