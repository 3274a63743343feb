// The flags of the operator commands. The commands themselves are declared in
// operators/commands.h.

#include <boost/leaf/error.hpp>
#include <iostream>

#include "guavacross/command_line.h"
#include "guavacross/commands.h"
#include "operators/commands.h"

namespace guavacross::commands {

namespace {

Duration SecondsFlag(const cxxopts::ParseResult& flags,
                     const std::string& name) {
  return FromSeconds(flags[name].as<double>());
}

Result<int> RunCheckFlags(const cxxopts::ParseResult& flags) {
  operators::CheckOptions options;
  options.m_files = ListFlag(flags, "document");
  options.m_reference = flags.count("reference") > 0;
  if (options.m_files.empty() && !options.m_reference) {
    return Fail(ErrorKind::kBadSettings, "no document given");
  }
  return operators::RunCheck(options, std::cout, std::cerr);
}

Result<int> RunPublishFlags(const cxxopts::ParseResult& flags) {
  operators::PublishOptions options;
  if (flags.count("document") > 0) {
    options.m_file = flags["document"].as<std::string>();
  }
  options.m_sections = ListFlag(flags, "section");
  options.m_removals = ListFlag(flags, "remove");
  options.m_team = flags["team"].as<std::string>();
  options.m_edit_id = flags["edit-id"].as<std::string>();
  options.m_deadline = SecondsFlag(flags, "deadline");
  options.m_in_force_deadline = SecondsFlag(flags, "in-force-deadline");
  BOOST_LEAF_ASSIGN(options.m_log_service, EndpointFlag(flags, "log-service"));
  BOOST_LEAF_ASSIGN(options.m_instances, EndpointsFlag(flags, "instances"));
  if (options.m_file.empty() && options.m_removals.empty()) {
    return Fail(ErrorKind::kBadSettings,
                "neither a document nor --remove given");
  }
  return operators::RunPublish(options, std::cout, std::cerr);
}

Result<int> RunStatusFlags(const cxxopts::ParseResult& flags) {
  operators::StatusOptions options;
  options.m_json = flags.count("json") > 0;
  options.m_timeout = SecondsFlag(flags, "timeout");
  BOOST_LEAF_ASSIGN(options.m_instances, EndpointsFlag(flags, "instances"));
  if (options.m_instances.empty()) {
    return Fail(ErrorKind::kBadSettings, "--instances is missing");
  }
  return operators::RunStatus(options, std::cout, std::cerr);
}

Result<int> RunAddressesFlags(const cxxopts::ParseResult& flags) {
  operators::AddressesOptions options;
  options.m_service = flags["service"].as<std::string>();
  options.m_timeout = SecondsFlag(flags, "timeout");
  BOOST_LEAF_ASSIGN(options.m_instance, EndpointFlag(flags, "instance"));
  if (options.m_service.empty()) {
    return Fail(ErrorKind::kBadSettings, "--service is missing");
  }
  return operators::RunAddresses(options, std::cout, std::cerr);
}

}  // namespace

int Check(int argc, char** argv) {
  cxxopts::Options options(
      "guavacross check",
      "Checks configuration documents. An error is reported with its line, "
      "column and key, and gives exit code 1.");
  options.add_options()("document", "the documents",
                        cxxopts::value<std::vector<std::string>>())(
      "reference", "print the reference of all keys as Markdown");
  options.parse_positional("document");
  options.positional_help("DOCUMENT...");
  return RunWithFlags(std::move(options), argc, argv, RunCheckFlags);
}

int Publish(int argc, char** argv) {
  cxxopts::Options options(
      "guavacross publish",
      "Publishes a document's changed sections and reports on how many "
      "instances they are\nin force. Exit codes: 1 refused, 3 log service "
      "unavailable and nothing changed, 4 outcome\nunclear, 5 accepted but not "
      "yet in force on all instances.");
  options.add_options()("document", "the document",
                        cxxopts::value<std::string>())(
      "section", "publish this section only; may be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "remove", "remove this section; may be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "team", "the team that publishes",
      cxxopts::value<std::string>()->default_value(""))(
      "log-service", "the platform's log service, IP:PORT",
      cxxopts::value<std::string>())(
      "instances", "the instances' operator addresses, IP:PORT,IP:PORT,...",
      cxxopts::value<std::vector<std::string>>())(
      "edit-id", "the id of an earlier edit whose outcome is unclear",
      cxxopts::value<std::string>()->default_value(""))(
      "deadline",
      "seconds until an edit without a result is reported as unclear",
      cxxopts::value<double>()->default_value("30"))(
      "in-force-deadline",
      "seconds to wait until the instances have the edit in force",
      cxxopts::value<double>()->default_value("10"));
  options.parse_positional("document");
  options.positional_help("DOCUMENT");
  return RunWithFlags(std::move(options), argc, argv, RunPublishFlags);
}

int Status(int argc, char** argv) {
  cxxopts::Options options(
      "guavacross status",
      "Shows the instances and, per section, its version, owner, age and the "
      "number of instances with an older version.");
  options.add_options()(
      "instances", "the instances' operator addresses, IP:PORT,IP:PORT,...",
      cxxopts::value<std::vector<std::string>>())("json", "print JSON")(
      "timeout", "seconds to wait for an instance",
      cxxopts::value<double>()->default_value("5"));
  return RunWithFlags(std::move(options), argc, argv, RunStatusFlags);
}

int Addresses(int argc, char** argv) {
  cxxopts::Options options(
      "guavacross addresses",
      "Shows the instance addresses that callers of a service are given.");
  options.add_options()("instance",
                        "the caller address of any instance, IP:PORT",
                        cxxopts::value<std::string>())(
      "service", "the service",
      cxxopts::value<std::string>()->default_value(""))(
      "timeout", "seconds to wait",
      cxxopts::value<double>()->default_value("5"));
  return RunWithFlags(std::move(options), argc, argv, RunAddressesFlags);
}

}  // namespace guavacross::commands
