#ifndef GUAVACROSS_GUAVACROSS_COMMANDS_H_
#define GUAVACROSS_GUAVACROSS_COMMANDS_H_

/// The commands of the `guavacross` binary. Each takes the arguments after the
/// program's name, its own name first, and returns the exit code: 0 for
/// success, 1 for a refusal or failure, 2 for wrong usage or settings.
namespace guavacross::commands {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// Runs an entry instance until SIGTERM.
int Serve(int argc, char** argv);
/// Runs an entry instance on the Darkframe platform.
int Platform(int argc, char** argv);
/// Prints the story of one request out of log files.
int Explain(int argc, char** argv);
/// Checks documents.
int Check(int argc, char** argv);
/// Publishes sections of a document.
int Publish(int argc, char** argv);
/// Shows what is in force.
int Status(int argc, char** argv);
/// Asks for a service's addresses, as callers do.
int Addresses(int argc, char** argv);
/// Runs a deployment against stand-ins and prints a table.
int Demo(int argc, char** argv);
}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_COMMANDS_H_
