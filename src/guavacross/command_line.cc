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

Result<Endpoint> EndpointFlag(const cxxopts::ParseResult& flags,
                              const std::string& name) {
  Endpoint endpoint;
  if (flags.count(name) == 0 ||
      !ParseEndpoint(flags[name].as<std::string>(), &endpoint)) {
    return Fail(ErrorKind::kBadSettings, "--" + name + " must be IP:PORT");
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
                  "--" + name + " must be IP:PORT,IP:PORT,...");
    }
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

std::vector<std::string> ListFlag(const cxxopts::ParseResult& flags,
                                  const std::string& name) {
  if (flags.count(name) == 0) {
    return {};
  }
  return flags[name].as<std::vector<std::string>>();
}

}  // namespace guavacross::commands
