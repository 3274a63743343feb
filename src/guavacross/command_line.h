#ifndef GUAVACROSS_GUAVACROSS_COMMAND_LINE_H_
#define GUAVACROSS_GUAVACROSS_COMMAND_LINE_H_

#include <cxxopts.hpp>
#include <functional>
#include <string>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/identity.h"

namespace guavacross::commands {

/// Parses the flags of one command, prints its help if asked for, and otherwise
/// runs `run` with the flags. A `Result` error of `run` and a wrong flag are
/// printed after the command's name and give exit code 2.
int ParseAndRun(
    cxxopts::Options options,
    int argc,
    char** argv,
    const std::function<Result<int>(const cxxopts::ParseResult&)>& run);

/// As `ParseAndRun`, in a Qt application that logs errors alone.
int RunWithFlags(
    cxxopts::Options options,
    int argc,
    char** argv,
    const std::function<Result<int>(const cxxopts::ParseResult&)>& run);

/// The address under a flag. Errors: `kBadSettings` if it isn't `IP:PORT`.
Result<Endpoint> EndpointFlag(const cxxopts::ParseResult& flags,
                              const std::string& name);

/// The comma-separated addresses under a flag, or none.
Result<std::vector<Endpoint>> EndpointsFlag(const cxxopts::ParseResult& flags,
                                            const std::string& name);

/// The values of a repeated flag, or none.
std::vector<std::string> ListFlag(const cxxopts::ParseResult& flags,
                                  const std::string& name);

}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_COMMAND_LINE_H_
