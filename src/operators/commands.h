#ifndef GUAVACROSS_OPERATORS_COMMANDS_H_
#define GUAVACROSS_OPERATORS_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "guavacross/time.h"

/// What operators run besides `serve`. Each function runs a command to its end,
/// with an event loop of its own; a QCoreApplication must exist. The result is
/// the process's exit code. Texts for people go to `out`, errors to `err`.
namespace guavacross::operators {

/// Exit codes of all commands.
enum ExitCode {
  kExitOk = 0,
  /// The document is wrong, an edit was refused, or an instance is not well.
  kExitRefused = 1,
  /// A flag or file is wrong.
  kExitUsage = 2,
  /// The log service or an instance did not answer; nothing was changed.
  kExitUnavailable = 3,
  /// An edit may or may not take effect.
  kExitUnclear = 4,
  /// An edit was accepted, but isn't yet in force on all instances.
  kExitNotInForce = 5,
};

struct CheckOptions {
  std::vector<std::string> m_files;
  /// Print the reference of all keys instead.
  bool m_reference = false;
};

/// Checks documents.
int RunCheck(const CheckOptions& options, std::ostream& out, std::ostream& err);

struct PublishOptions {
  std::string m_file;
  /// Sections to publish; empty means all of the team's that have changed.
  std::vector<std::string> m_sections;
  /// Sections to remove. With these alone, no file is needed.
  std::vector<std::string> m_removals;
  /// The team that publishes.
  std::string m_team;
  Endpoint m_log_service;
  /// The operators' addresses of the instances that are asked what they have in
  /// force.
  std::vector<Endpoint> m_instances;
  /// The id of an earlier publish whose end was unclear; with one section only.
  std::string m_edit_id;
  Duration m_deadline = std::chrono::seconds(30);
  /// How long the instances are asked.
  Duration m_in_force_deadline = std::chrono::seconds(10);
};

/// Publishes changed sections and reports on how many instances they are in
/// force.
int RunPublish(const PublishOptions& options,
               std::ostream& out,
               std::ostream& err);

struct StatusOptions {
  /// Operators' addresses.
  std::vector<Endpoint> m_instances;
  bool m_json = false;
  Duration m_timeout = std::chrono::seconds(5);
};

/// Shows the instances and, per section, version, owner, age and instances
/// behind.
int RunStatus(const StatusOptions& options,
              std::ostream& out,
              std::ostream& err);

struct AddressesOptions {
  /// Any address that callers use.
  Endpoint m_instance;
  std::string m_service;
  Duration m_timeout = std::chrono::seconds(5);
};

/// Shows which addresses callers of a service are told to use.
int RunAddresses(const AddressesOptions& options,
                 std::ostream& out,
                 std::ostream& err);

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_COMMANDS_H_
