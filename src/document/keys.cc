#include "document/keys.h"

#include <array>
#include <cstddef>

namespace guavacross::document {

namespace {

constexpr double kDayMs = 86400000;
constexpr double kHourMs = 3600000;
constexpr double kMinuteMs = 60000;
constexpr double kMaxBodyBytes = 17179869184;  // 16 GiB

// Makes the specification of a key whose value is not a number. The key is
// required if it has no default.
constexpr KeySpec NonNumericKey(Key key,
                                KeyTable table,
                                std::string_view name,
                                KeyType type,
                                std::string_view default_text,
                                std::string_view effect) {
  return {key, table, name, type,         default_text.empty(),
          0,   0,     "",   default_text, effect};
}

constexpr KeySpec NumericKey(Key key,
                             KeyTable table,
                             std::string_view name,
                             KeyType type,
                             double min,
                             double max,
                             std::string_view unit,
                             std::string_view default_text,
                             std::string_view effect) {
  return {key, table, name, type, false, min, max, unit, default_text, effect};
}

using enum KeyTable;
using enum KeyType;

// The checks of a released schema must never change, because releases that run
// side by side must reach the same verdict on an edit.
constexpr std::array kKeys = {
    NonNumericKey(
        Key::kTeam,
        kSection,
        "team",
        kName,
        "",
        "The team that owns the section and may publish edits of it."),
    NonNumericKey(
        Key::kProfile,
        kSection,
        "profile",
        kString,
        "\"tail-first\"",
        "`measuring-first` spends little on probes and accepts a longer "
        "tail; `tail-first` keeps the tail short and may spend the whole "
        "probe budget."),
    NonNumericKey(
        Key::kRequestIdHeader,
        kSection,
        "request_id_header",
        kString,
        "\"\"",
        "A header that identifies a request and that the backend servers "
        "repeat in their answers, for example `X-Request-Id`; added where "
        "the caller sent none. An answer without the request's own value "
        "answers nothing. Empty: answers are told apart by their order "
        "alone, and one that a backend server sends before it was asked is "
        "taken for the answer to the first request."),
    NonNumericKey(Key::kTargetName,
                  kTarget,
                  "name",
                  kName,
                  "",
                  "The backend server's name, unique in the section."),
    NonNumericKey(
        Key::kTargetAddress,
        kTarget,
        "address",
        kAddress,
        "",
        "Where the backend server listens, `ip:port`, unique in the section."),
    NonNumericKey(
        Key::kTargetZone,
        kTarget,
        "zone",
        kName,
        "",
        "The backend server's availability zone; near ones are preferred."),
    NumericKey(
        Key::kTargetSlots,
        kTarget,
        "slots",
        kInt,
        1,
        10000,
        "requests",
        "4",
        "Requests that the backend server runs at one time; the instances "
        "together send no more."),
    NonNumericKey(
        Key::kClassName,
        kClass,
        "name",
        kName,
        "",
        "The class's name, unique in the section; a label of the metrics."),
    NonNumericKey(Key::kClassMethods,
                  kClass,
                  "methods",
                  kStringArray,
                  "[]",
                  "HTTP methods that belong to the class; empty means any."),
    NonNumericKey(
        Key::kClassPathPrefix,
        kClass,
        "path_prefix",
        kString,
        "\"/\"",
        "Paths that belong to the class start with this. A request belongs "
        "to the first class that matches."),
    NonNumericKey(
        Key::kClassRepeatable,
        kClass,
        "repeatable",
        kBool,
        "true",
        "Whether running a request twice does no harm. Requests of a class "
        "with `false` need an `Idempotency-Key` and run at most once. Must "
        "be written unless `methods` holds only GET, HEAD and OPTIONS."),
    NonNumericKey(
        Key::kClassHedge,
        kClass,
        "hedge",
        kBool,
        "false",
        "Whether a second copy may be sent to another target when the first "
        "is slow. Only for repeatable classes."),
    NonNumericKey(
        Key::kClassBulk,
        kClass,
        "bulk",
        kBool,
        "false",
        "Whether answers are large downloads, which get a share of the slots "
        "of their own."),
    NumericKey(
        Key::kClassDeadline,
        kClass,
        "deadline_ms",
        kInt,
        0,
        kDayMs,
        "ms",
        "10000",
        "Time from a request's arrival to the start of its answer; 0 means "
        "no limit. An answer that has started is never cut off by it."),
    NumericKey(
        Key::kClassQueueLimit,
        kClass,
        "queue_limit",
        kInt,
        0,
        1000000,
        "requests",
        "64",
        "Requests of the class that may wait for a slot on one instance; "
        "more are refused as not run."),
    NumericKey(
        Key::kClassQueueWait,
        kClass,
        "queue_wait_ms",
        kInt,
        0,
        kHourMs,
        "ms",
        "1000",
        "Longest wait for a slot, after which a request is refused as not "
        "run. If written, not more than `deadline_ms`."),
    NumericKey(
        Key::kClassWeight,
        kClass,
        "weight",
        kInt,
        1,
        1000,
        "",
        "1",
        "The class's share of the slots under contention, against the other "
        "classes' weights."),
    NumericKey(Key::kClassMaxBody,
               kClass,
               "max_body_bytes",
               kInt,
               0,
               kMaxBodyBytes,
               "bytes",
               "1048576",
               "Largest request body; a larger one is refused as not run."),
    NonNumericKey(
        Key::kTenantName,
        kTenant,
        "name",
        kName,
        "",
        "The tenant's name as callers send it, unique in the section."),
    NumericKey(
        Key::kTenantWeight,
        kTenant,
        "weight",
        kInt,
        1,
        1000,
        "",
        "1",
        "The tenant's share of the slots under contention. A tenant that "
        "isn't listed has weight 1."),
    NumericKey(Key::kProbeRate,
               kProbe,
               "probes_per_second",
               kReal,
               0,
               100000,
               "probes/s",
               "10",
               "Probes that all instances together may send to the service's "
               "targets."),
    NumericKey(
        Key::kProbeTimeShare,
        kProbe,
        "time_share",
        kReal,
        0,
        1,
        "share",
        "0.01",
        "Share of the targets' slot time that probes may take; the lower of "
        "this and `probes_per_second` holds."),
    NumericKey(Key::kProbeCost,
               kProbe,
               "probe_cost_ms",
               kInt,
               0,
               kMinuteMs,
               "ms",
               "6",
               "Time that one probe takes on a backend server; charged to "
               "`time_share`."),
    NumericKey(
        Key::kProbeTimeout,
        kProbe,
        "timeout_ms",
        kInt,
        1,
        kMinuteMs,
        "ms",
        "250",
        "How long a probe's answer is waited for. A probe that times out "
        "stays charged."),
    NumericKey(Key::kRetryBudgetShare,
               kRetry,
               "budget_share",
               kReal,
               0,
               1,
               "share",
               "0.1",
               "Retries and hedges together, as a share of the requests."),
    NumericKey(Key::kRetryMaxAttempts,
               kRetry,
               "max_attempts",
               kInt,
               1,
               10,
               "attempts",
               "3",
               "Attempts for one request, the first included."),
    NumericKey(
        Key::kHedgePercentile,
        kHedge,
        "percentile",
        kReal,
        1,
        100,
        "percent",
        "95",
        "The latency percentile of recent answers after which a hedge is "
        "sent."),
    NumericKey(Key::kHedgeMinDelay,
               kHedge,
               "min_delay_ms",
               kInt,
               0,
               kMinuteMs,
               "ms",
               "5",
               "Shortest time before a hedge."),
    NumericKey(Key::kEjectionErrors,
               kEjection,
               "consecutive_errors",
               kInt,
               1,
               1000,
               "errors",
               "5",
               "Errors in a row after which a target is ejected."),
    NumericKey(
        Key::kEjectionBaseTime,
        kEjection,
        "base_time_ms",
        kInt,
        1,
        kHourMs,
        "ms",
        "1000",
        "Length of a target's first ejection; doubled for each further one."),
    NumericKey(Key::kEjectionMaxTime,
               kEjection,
               "max_time_ms",
               kInt,
               1,
               kHourMs,
               "ms",
               "30000",
               "Longest ejection; not less than `base_time_ms`."),
    NumericKey(Key::kEjectionMaxShare,
               kEjection,
               "max_share",
               kReal,
               0,
               1,
               "share",
               "0.5",
               "Largest share of the targets that may be ejected at one time."),
    NumericKey(
        Key::kSlowStartWindow,
        kSlowStart,
        "window_ms",
        kInt,
        0,
        kHourMs,
        "ms",
        "5000",
        "Time over which a cold target's share grows from a tenth to all of "
        "it; 0 switches slow start off."),
};

constexpr bool RowsMatchKeyOrder() {
  for (std::size_t i = 0; i < kKeys.size(); ++i) {
    if (static_cast<std::size_t>(kKeys[i].m_key) != i) {
      return false;
    }
  }
  return true;
}

static_assert(RowsMatchKeyOrder(), "rows must be in the order of Key");
static_assert(kKeys.size() ==
                  static_cast<std::size_t>(Key::kSlowStartWindow) + 1,
              "every key needs a row");

}  // namespace

const KeySpec& Spec(Key key) {
  return kKeys[static_cast<std::size_t>(key)];
}

std::span<const KeySpec> AllKeys() {
  return kKeys;
}

std::string_view Heading(KeyTable table) {
  switch (table) {
    case kSection:
      return "";
    case kTarget:
      return "[[target]]";
    case kClass:
      return "[[class]]";
    case kTenant:
      return "[[tenant]]";
    case kProbe:
      return "[probe]";
    case kRetry:
      return "[retry]";
    case kHedge:
      return "[hedge]";
    case kEjection:
      return "[ejection]";
    case kSlowStart:
      break;
  }
  return "[slow_start]";
}

}  // namespace guavacross::document
