#ifndef GUAVACROSS_GUAVACROSS_COMMANDS_H_
#define GUAVACROSS_GUAVACROSS_COMMANDS_H_

/// The commands of the `guavacross` binary. Each takes the arguments after the
/// program's name, starting with the command's own name, and returns the exit
/// code: 0 for success, 1 for a refusal or failure, 2 for invalid usage or
/// settings. Operator commands have further codes: see operators/commands.h.
namespace guavacross::commands {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// Runs an entry instance until SIGTERM.
int Serve(int argc, char** argv);
/// Runs an entry instance on the Darkframe platform.
int Platform(int argc, char** argv);
/// Prints the log lines of one request from log files.
int Explain(int argc, char** argv);
/// Validates configuration documents.
int Check(int argc, char** argv);
/// Publishes sections of a document.
int Publish(int argc, char** argv);
/// Prints the state of the instances and the sections in force.
int Status(int argc, char** argv);
/// Fetches the instance addresses of a service, as callers do.
int Addresses(int argc, char** argv);
/// Runs entry instances against stand-ins under load and prints tables of the
/// results.
int Demo(int argc, char** argv);
}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_COMMANDS_H_
