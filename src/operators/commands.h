#ifndef GUAVACROSS_OPERATORS_COMMANDS_H_
#define GUAVACROSS_OPERATORS_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/time.h"

/// The operator commands `check`, `publish`, `status` and `addresses`. Each
/// function blocks until its command has finished and runs its own event loop;
/// a QCoreApplication must exist. Returns the exit code of the process. Results
/// are written to `out`, errors to `err`.
namespace guavacross::operators {

/// Exit codes of all commands.
enum ExitCode {
  kExitOk = 0,
  /// The document is invalid, an edit was refused, an instance is not ready or
  /// does not answer, or a section is not yet in force on all instances.
  kExitRefused = 1,
  /// A flag is invalid or a file can't be read.
  kExitUsage = 2,
  /// The log service or an instance did not answer; nothing was changed.
  kExitUnavailable = 3,
  /// The outcome of an append is unknown: the edit may or may not take effect.
  kExitUnclear = 4,
  /// An edit was accepted, but isn't yet in force on all instances.
  kExitNotInForce = 5,
};

struct CheckOptions {
  std::vector<std::string> m_files;
  /// Print the reference of all keys instead of checking documents.
  bool m_reference = false;
};

/// Validates configuration documents.
int RunCheck(const CheckOptions& options, std::ostream& out, std::ostream& err);

struct PublishOptions {
  std::string m_file;
  /// Sections to publish; if empty, all changed sections of the team.
  std::vector<std::string> m_sections;
  /// Sections to remove. `m_file` may be empty if only removals are requested.
  std::vector<std::string> m_removals;
  /// The team that publishes.
  std::string m_team;
  Endpoint m_log_service;
  /// Operator addresses of the instances that are polled for the version they
  /// have in force.
  std::vector<Endpoint> m_instances;
  /// The id of an earlier edit whose outcome is unknown, to publish it again
  /// without applying it twice. Valid with exactly one section or removal.
  std::string m_edit_id;
  /// Longest time for reading the log, and for each edit.
  Duration m_deadline = std::chrono::seconds(30);
  /// How long the instances are polled until the edit is in force on all.
  Duration m_in_force_deadline = std::chrono::seconds(10);
};

/// Publishes changed sections and removals, then reports on how many instances
/// each is in force.
int RunPublish(const PublishOptions& options,
               std::ostream& out,
               std::ostream& err);

struct StatusOptions {
  /// Operator addresses of the instances.
  std::vector<Endpoint> m_instances;
  bool m_json = false;
  Duration m_timeout = std::chrono::seconds(5);
};

/// Prints the state of each instance and, per section, its version, owner, age
/// and the number of instances that have an older version.
int RunStatus(const StatusOptions& options,
              std::ostream& out,
              std::ostream& err);

struct AddressesOptions {
  /// The caller address of any instance.
  Endpoint m_instance;
  std::string m_service;
  Duration m_timeout = std::chrono::seconds(5);
};

/// Prints the instance addresses that callers of a service are given.
int RunAddresses(const AddressesOptions& options,
                 std::ostream& out,
                 std::ostream& err);

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_COMMANDS_H_
