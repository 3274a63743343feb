#include "document/section_reader.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

#include "document/keys.h"
#include "document/names.h"

namespace guavacross::document {

namespace {

using util::Presence;
using util::TomlReader;

constexpr std::size_t kMaxMethodLength = 20;

std::string KeyName(Key key) {
  return std::string(Spec(key).m_name);
}

Presence PresenceOf(const KeySpec& spec) {
  return spec.m_required ? Presence::kRequired : Presence::kOptional;
}

void ReadName(TomlReader& reader, Key key, std::string* out) {
  const std::string name = KeyName(key);
  reader.ReadString(name, PresenceOf(Spec(key)), out);
  if (reader.Has(name) && !IsName(*out)) {
    reader.FailAt(
        name, "must be 1 to 64 letters, digits, dots, underscores or hyphens");
  }
}

void ReadBool(TomlReader& reader, Key key, bool* out) {
  reader.ReadBool(KeyName(key), PresenceOf(Spec(key)), out);
}

template <class Int>
void ReadInt(TomlReader& reader, Key key, Int* out) {
  const KeySpec& spec = Spec(key);
  std::int64_t number = *out;
  reader.ReadInt(KeyName(key), PresenceOf(spec),
                 static_cast<std::int64_t>(spec.m_min),
                 static_cast<std::int64_t>(spec.m_max), &number);
  *out = static_cast<Int>(number);
}

void ReadReal(TomlReader& reader, Key key, double* out) {
  const KeySpec& spec = Spec(key);
  reader.ReadDouble(KeyName(key), PresenceOf(spec), spec.m_min, spec.m_max,
                    out);
}

void ReadDuration(TomlReader& reader, Key key, Duration* out) {
  const KeySpec& spec = Spec(key);
  reader.ReadMilliseconds(KeyName(key), PresenceOf(spec),
                          static_cast<std::int64_t>(spec.m_min),
                          static_cast<std::int64_t>(spec.m_max), out);
}

// Reports an error if an earlier element of the array has the same value, and
// adds the value to `seen`.
void CheckUnique(TomlReader& reader,
                 Key key,
                 const std::string& value,
                 const char* subject,
                 std::set<std::string>* seen) {
  if (!value.empty() && !seen->insert(value).second) {
    reader.FailAt(KeyName(key), std::string(subject) + " is listed twice");
  }
}

void ReadTargets(TomlReader& reader, std::vector<TargetConfig>* out) {
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (TomlReader& entry : reader.Tables("target", Presence::kRequired)) {
    TargetConfig target;
    ReadName(entry, Key::kTargetName, &target.m_name);
    entry.ReadEndpoint(KeyName(Key::kTargetAddress), Presence::kRequired,
                       &target.m_address);
    ReadName(entry, Key::kTargetZone, &target.m_zone);
    ReadInt(entry, Key::kTargetSlots, &target.m_slots);
    CheckUnique(entry, Key::kTargetName, target.m_name, "the target", &names);
    if (target.m_address.m_port != 0) {
      CheckUnique(entry, Key::kTargetAddress, ToString(target.m_address),
                  "the address", &addresses);
    }
    out->push_back(std::move(target));
  }
  if (out->empty() && reader.Has("target")) {
    reader.FailAt("target", "must hold at least one target");
  }
}

bool IsMethod(const std::string& method) {
  return !method.empty() && method.size() <= kMaxMethodLength &&
         std::all_of(method.begin(), method.end(),
                     [](char c) { return (c >= 'A' && c <= 'Z') || c == '-'; });
}

// Whether `method` is safe according to RFC 9110, section 9.2.1. TRACE is not
// counted as safe.
bool IsSafeMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

void ReadMethods(TomlReader& reader, ClassConfig* out) {
  const std::string key = KeyName(Key::kClassMethods);
  reader.ReadStrings(key, Presence::kOptional, &out->m_methods);
  if (!std::all_of(out->m_methods.begin(), out->m_methods.end(), IsMethod)) {
    reader.FailAt(key, "must be HTTP methods in upper case");
  }
  const std::set<std::string> distinct(out->m_methods.begin(),
                                       out->m_methods.end());
  if (distinct.size() != out->m_methods.size()) {
    reader.FailAt(key, "lists a method twice");
  }
}

void ReadPathPrefix(TomlReader& reader, std::string* out) {
  const std::string key = KeyName(Key::kClassPathPrefix);
  reader.ReadString(key, Presence::kOptional, out);
  if (out->empty() || out->front() != '/') {
    reader.FailAt(key, "must start with /");
  }
}

void ReadRepeatable(TomlReader& reader, ClassConfig* out) {
  const auto& methods = out->m_methods;
  const bool only_safe =
      !methods.empty() &&
      std::all_of(methods.begin(), methods.end(), IsSafeMethod);
  // A request that is wrongly treated as repeatable, for example a payment, may
  // run twice. The default therefore applies only if all methods are safe.
  reader.ReadBool(KeyName(Key::kClassRepeatable),
                  only_safe ? Presence::kOptional : Presence::kRequired,
                  &out->m_repeatable);
  ReadBool(reader, Key::kClassHedge, &out->m_hedge);
  if (out->m_hedge && !out->m_repeatable) {
    reader.FailAt(KeyName(Key::kClassHedge),
                  "a class that isn't repeatable can't be hedged");
  }
}

void ReadQueue(TomlReader& reader, ClassConfig* out) {
  ReadDuration(reader, Key::kClassDeadline, &out->m_deadline);
  ReadInt(reader, Key::kClassQueueLimit, &out->m_queue_limit);
  ReadDuration(reader, Key::kClassQueueWait, &out->m_queue_wait);
  const std::string key = KeyName(Key::kClassQueueWait);
  if (reader.Has(key) && out->m_deadline != Duration::zero() &&
      out->m_queue_wait > out->m_deadline) {
    reader.FailAt(key, "must not be more than deadline_ms");
  }
}

ClassConfig ReadClass(TomlReader& reader) {
  ClassConfig result;
  ReadName(reader, Key::kClassName, &result.m_name);
  ReadMethods(reader, &result);
  ReadPathPrefix(reader, &result.m_path_prefix);
  ReadRepeatable(reader, &result);
  ReadBool(reader, Key::kClassBulk, &result.m_bulk);
  ReadQueue(reader, &result);
  ReadInt(reader, Key::kClassWeight, &result.m_weight);
  ReadInt(reader, Key::kClassMaxBody, &result.m_max_body_bytes);
  return result;
}

// Whether `earlier` matches every request that `later` matches.
bool Covers(const ClassConfig& earlier, const ClassConfig& later) {
  if (!later.m_path_prefix.starts_with(earlier.m_path_prefix)) {
    return false;
  }
  if (earlier.m_methods.empty()) {
    return true;
  }
  const auto& methods = earlier.m_methods;
  return !later.m_methods.empty() &&
         std::all_of(later.m_methods.begin(), later.m_methods.end(),
                     [&methods](const std::string& method) {
                       return std::find(methods.begin(), methods.end(),
                                        method) != methods.end();
                     });
}

void ReadClasses(TomlReader& reader, std::vector<ClassConfig>* out) {
  std::set<std::string> names;
  for (TomlReader& entry : reader.Tables("class", Presence::kRequired)) {
    const ClassConfig parsed_class = ReadClass(entry);
    CheckUnique(entry, Key::kClassName, parsed_class.m_name, "the class",
                &names);
    for (const ClassConfig& earlier : *out) {
      if (Covers(earlier, parsed_class)) {
        entry.FailAt(KeyName(Key::kClassName),
                     "no request can reach the class: class " + earlier.m_name +
                         " comes before it and matches the same requests");
      }
    }
    out->push_back(parsed_class);
  }
  if (out->empty() && reader.Has("class")) {
    reader.FailAt("class", "must hold at least one class");
  }
}

void ReadTenants(TomlReader& reader, std::vector<TenantConfig>* out) {
  std::set<std::string> names;
  for (TomlReader& entry : reader.Tables("tenant", Presence::kOptional)) {
    TenantConfig tenant;
    ReadName(entry, Key::kTenantName, &tenant.m_name);
    ReadInt(entry, Key::kTenantWeight, &tenant.m_weight);
    CheckUnique(entry, Key::kTenantName, tenant.m_name, "the tenant", &names);
    out->push_back(std::move(tenant));
  }
}

void ReadProbe(TomlReader reader, ProbeConfig* out) {
  ReadReal(reader, Key::kProbeRate, &out->m_probes_per_second);
  ReadReal(reader, Key::kProbeTimeShare, &out->m_time_share);
  ReadDuration(reader, Key::kProbeCost, &out->m_probe_cost);
  ReadDuration(reader, Key::kProbeTimeout, &out->m_timeout);
}

void ReadRetry(TomlReader reader, RetryConfig* out) {
  ReadReal(reader, Key::kRetryBudgetShare, &out->m_budget_share);
  ReadInt(reader, Key::kRetryMaxAttempts, &out->m_max_attempts);
}

void ReadHedge(TomlReader reader, HedgeConfig* out) {
  ReadReal(reader, Key::kHedgePercentile, &out->m_percentile);
  ReadDuration(reader, Key::kHedgeMinDelay, &out->m_min_delay);
}

void ReadEjection(TomlReader reader, EjectionConfig* out) {
  ReadInt(reader, Key::kEjectionErrors, &out->m_consecutive_errors);
  ReadDuration(reader, Key::kEjectionBaseTime, &out->m_base_time);
  ReadDuration(reader, Key::kEjectionMaxTime, &out->m_max_time);
  ReadReal(reader, Key::kEjectionMaxShare, &out->m_max_share);
  if (out->m_base_time > out->m_max_time) {
    const bool has_base = reader.Has(KeyName(Key::kEjectionBaseTime));
    reader.FailAt(
        KeyName(has_base ? Key::kEjectionBaseTime : Key::kEjectionMaxTime),
        "base_time_ms must not be more than max_time_ms");
  }
}

void ReadSlowStart(TomlReader reader, SlowStartConfig* out) {
  ReadDuration(reader, Key::kSlowStartWindow, &out->m_window);
}

void ReadProfile(TomlReader& reader, Profile* out) {
  const std::string key = KeyName(Key::kProfile);
  std::string text = "tail-first";
  reader.ReadString(key, Presence::kOptional, &text);
  if (text == "measuring-first") {
    *out = Profile::kMeasuringFirst;
  } else if (text != "tail-first") {
    reader.FailAt(key, "must be \"measuring-first\" or \"tail-first\"");
  }
}

// Headers that can't carry a request id, because they frame or route the
// request.
constexpr std::array<std::string_view, 5> kForbiddenRequestIdHeaders = {
    "connection", "content-length", "host", "transfer-encoding", "upgrade"};

// Whether `name` has at most 64 characters and consists of letters, digits and
// hyphens, a subset of the tokens of RFC 9110, section 5.6.2. An empty name
// passes, as it means that there is no such header.
bool IsHeaderName(std::string_view name) {
  return name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-';
         });
}

void ReadRequestIdHeader(TomlReader& reader, std::string* out) {
  const std::string key = KeyName(Key::kRequestIdHeader);
  reader.ReadString(key, Presence::kOptional, out);
  std::string lower = *out;
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  if (!IsHeaderName(*out) ||
      std::find(kForbiddenRequestIdHeaders.begin(),
                kForbiddenRequestIdHeaders.end(),
                lower) != kForbiddenRequestIdHeaders.end()) {
    reader.FailAt(
        key,
        "must be a header name of letters, digits and hyphens, and not "
        "a header that frames or routes the request");
  }
}

}  // namespace

ServiceConfig ReadSection(const std::string& name, TomlReader reader) {
  ServiceConfig service;
  service.m_name = name;
  if (!IsName(name)) {
    reader.Fail(
        "the section's name must be 1 to 64 letters, digits, dots, underscores "
        "or hyphens");
  }
  ReadName(reader, Key::kTeam, &service.m_team);
  ReadProfile(reader, &service.m_profile);
  ReadRequestIdHeader(reader, &service.m_request_id_header);
  ReadTargets(reader, &service.m_targets);
  ReadClasses(reader, &service.m_classes);
  ReadTenants(reader, &service.m_tenants);
  ReadProbe(reader.Table("probe", Presence::kOptional), &service.m_probe);
  ReadRetry(reader.Table("retry", Presence::kOptional), &service.m_retry);
  ReadHedge(reader.Table("hedge", Presence::kOptional), &service.m_hedge);
  ReadEjection(reader.Table("ejection", Presence::kOptional),
               &service.m_ejection);
  ReadSlowStart(reader.Table("slow_start", Presence::kOptional),
                &service.m_slow_start);
  return service;
}

}  // namespace guavacross::document
