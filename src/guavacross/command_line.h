#ifndef GUAVACROSS_GUAVACROSS_COMMAND_LINE_H_
#define GUAVACROSS_GUAVACROSS_COMMAND_LINE_H_

#include <cxxopts.hpp>
#include <functional>
#include <string>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/identity.h"

namespace guavacross::commands {

/// Parses the flags of one command, then prints its help if `--help` is given
/// and calls `run` with the flags otherwise. An invalid flag or an error that
/// `run` returns is printed with the command's name and gives exit code 2.
int ParseAndRun(
    cxxopts::Options options,
    int argc,
    char** argv,
    const std::function<Result<int>(const cxxopts::ParseResult&)>& run);

/// As `ParseAndRun`, but calls `run` with a QCoreApplication in place and with
/// logging limited to errors.
int RunWithFlags(
    cxxopts::Options options,
    int argc,
    char** argv,
    const std::function<Result<int>(const cxxopts::ParseResult&)>& run);

/// Returns the address given by a flag. Errors: `kBadSettings` if the flag is
/// missing or isn't `IP:PORT`.
Result<Endpoint> EndpointFlag(const cxxopts::ParseResult& flags,
                              const std::string& name);

/// Returns the comma-separated addresses given by a flag; empty if the flag is
/// missing. Errors: `kBadSettings` if one of them isn't `IP:PORT`.
Result<std::vector<Endpoint>> EndpointsFlag(const cxxopts::ParseResult& flags,
                                            const std::string& name);

/// Returns the values of a repeatable flag; empty if the flag is missing.
std::vector<std::string> ListFlag(const cxxopts::ParseResult& flags,
                                  const std::string& name);

}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_COMMAND_LINE_H_
