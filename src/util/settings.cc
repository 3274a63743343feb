#include "guavacross/settings.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/leaf/error.hpp>

#include "util/toml_reader.h"

namespace guavacross {

namespace {

constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info", "warn",
                                                        "error"};

constexpr std::array<std::pair<std::string_view, ChoicePolicy>, 4> kPolicies = {
    {{"guavacross", ChoicePolicy::kGuavacross},
     {"random", ChoicePolicy::kRandom},
     {"round-robin", ChoicePolicy::kRoundRobin},
     {"least-in-flight", ChoicePolicy::kLeastInFlight}}};

constexpr std::array<std::pair<std::string_view, Mechanism>, 12> kMechanisms = {
    {{"readings", Mechanism::kReadings},
     {"slowness", Mechanism::kSlowness},
     {"zone-preference", Mechanism::kZonePreference},
     {"slow-start", Mechanism::kSlowStart},
     {"slot-shares", Mechanism::kSlotShares},
     {"hedging", Mechanism::kHedging},
     {"ejection", Mechanism::kEjection},
     {"fair-queue", Mechanism::kFairQueue},
     {"early-refusal", Mechanism::kEarlyRefusal},
     {"objective-waits", Mechanism::kObjectiveWaits},
     {"probes", Mechanism::kProbes},
     {"subsets", Mechanism::kSubsets}}};

// Blanks the lines of `toml` whose key is also set by an override and appends
// the overrides, so that the text has each key once. Compares only the first
// word of each line, which suffices because settings have no tables.
std::string ApplyOverrides(std::string_view toml,
                           const std::vector<std::string>& overrides) {
  std::string text;
  std::size_t start = 0;
  while (start < toml.size()) {
    const std::size_t end = std::min(toml.find('\n', start), toml.size());
    const std::string line(toml.substr(start, end - start));
    const std::string key = line.substr(0, line.find_first_of(" \t="));
    const bool overridden = std::any_of(
        overrides.begin(), overrides.end(), [&key](const std::string& entry) {
          return entry.substr(0, entry.find_first_of(" \t=")) == key;
        });
    // An empty line in its place preserves the later lines' numbers for error
    // messages.
    text += overridden && !key.empty() ? "\n" : line + "\n";
    start = end + 1;
  }
  for (const std::string& entry : overrides) {
    text += entry + "\n";
  }
  return text;
}

void ReadChoicePolicy(util::TomlReader* reader, ChoicePolicy* policy) {
  std::string name = "guavacross";
  reader->ReadString("choice_policy", util::Presence::kOptional, &name);
  for (const auto& [known, value] : kPolicies) {
    if (name == known) {
      *policy = value;
      return;
    }
  }
  reader->FailAt("choice_policy",
                 "must be guavacross, random, round-robin or least-in-flight");
}

void ReadDisabledMechanisms(util::TomlReader* reader,
                            std::set<Mechanism>* disabled) {
  std::vector<std::string> names;
  reader->ReadStrings("disabled_mechanisms", util::Presence::kOptional, &names);
  for (const std::string& name : names) {
    const auto* const found = std::find_if(
        kMechanisms.begin(), kMechanisms.end(),
        [&name](const auto& entry) { return entry.first == name; });
    if (found == kMechanisms.end()) {
      reader->FailAt("disabled_mechanisms", "unknown mechanism " + name);
    } else {
      disabled->insert(found->second);
    }
  }
}

}  // namespace

Result<InstanceSettings> ParseSettings(
    std::string_view toml,
    const std::vector<std::string>& overrides) {
  using util::Presence;
  InstanceSettings settings;
  util::TomlReader reader = util::TomlReader::Parse(
      ApplyOverrides(toml, overrides), ErrorKind::kBadSettings);
  reader.ReadString("name", Presence::kRequired, &settings.m_name);
  reader.ReadString("region", Presence::kRequired, &settings.m_region);
  reader.ReadString("zone", Presence::kRequired, &settings.m_zone);
  reader.ReadEndpoint("callers", Presence::kRequired, &settings.m_callers);
  reader.ReadEndpoint("operators", Presence::kRequired, &settings.m_operators);
  reader.ReadEndpoint("peers", Presence::kRequired, &settings.m_peers);
  reader.ReadEndpoint("log_service", Presence::kRequired,
                      &settings.m_log_service);
  reader.ReadEndpoint("instance_list", Presence::kRequired,
                      &settings.m_instance_list);
  reader.ReadInt("workers", Presence::kOptional, 1, 256, &settings.m_workers);
  reader.ReadInt("max_caller_connections", Presence::kOptional, 1, 1000000,
                 &settings.m_max_caller_connections);
  reader.ReadInt("max_target_connections", Presence::kOptional, 1, 10000,
                 &settings.m_max_target_connections);
  reader.ReadMilliseconds("address_lifetime_ms", Presence::kOptional, 100,
                          600000, &settings.m_address_lifetime);
  reader.ReadMilliseconds("shutdown_limit_ms", Presence::kOptional, 0, 86400000,
                          &settings.m_shutdown_limit);
  reader.ReadMilliseconds("log_retention_ms", Presence::kOptional, 1000,
                          std::int64_t{366} * 86400000,
                          &settings.m_log_retention);
  reader.ReadString("log_level", Presence::kOptional, &settings.m_log_level);
  if (std::find(kLogLevels.begin(), kLogLevels.end(), settings.m_log_level) ==
      kLogLevels.end()) {
    reader.FailAt("log_level", "must be debug, info, warn or error");
  }
  ReadChoicePolicy(&reader, &settings.m_choice_policy);
  ReadDisabledMechanisms(&reader, &settings.m_disabled_mechanisms);
  BOOST_LEAF_CHECK(reader.Finish());
  return settings;
}

}  // namespace guavacross
