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

/// Returns whether a flag that takes a value is given or has a default. The
/// library counts a flag that takes its default as not given.
bool HasValue(const cxxopts::ParseResult& flags, const std::string& name);

/// Returns the address given by a flag or by its default. Errors:
/// `kBadSettings`, with different texts for a flag that is missing and for one
/// that isn't `IP:PORT`.
Result<Endpoint> EndpointFlag(const cxxopts::ParseResult& flags,
                              const std::string& name);

/// Returns the comma-separated addresses given by a flag or by its default;
/// empty if there are none. Errors: `kBadSettings` if one of them isn't
/// `IP:PORT`.
Result<std::vector<Endpoint>> EndpointsFlag(const cxxopts::ParseResult& flags,
                                            const std::string& name);

/// Returns the values of a repeatable flag or its default; empty if there are
/// none.
std::vector<std::string> ListFlag(const cxxopts::ParseResult& flags,
                                  const std::string& name);

}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_COMMAND_LINE_H_
