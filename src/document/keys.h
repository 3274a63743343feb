#ifndef GUAVACROSS_DOCUMENT_KEYS_H_
#define GUAVACROSS_DOCUMENT_KEYS_H_

#include <cstdint>
#include <span>
#include <string_view>

/// The table of all keys of document schema 1. The parser takes each key's
/// range from it; the reference for operators is generated from it.
namespace guavacross::document {

/// The TOML table of a section that a key belongs to.
enum class KeyTable {
  kSection,
  kTarget,
  kClass,
  kTenant,
  kProbe,
  kRetry,
  kHedge,
  kEjection,
  kSlowStart,
};

/// All keys, in the order of the reference.
enum class Key {
  kTeam,
  kProfile,
  kRequestIdHeader,
  kTargetName,
  kTargetAddress,
  kTargetZone,
  kTargetSlots,
  kClassName,
  kClassMethods,
  kClassPathPrefix,
  kClassRepeatable,
  kClassHedge,
  kClassBulk,
  kClassDeadline,
  kClassQueueLimit,
  kClassQueueWait,
  kClassWeight,
  kClassMaxBody,
  kTenantName,
  kTenantWeight,
  kProbeRate,
  kProbeTimeShare,
  kProbeCost,
  kProbeTimeout,
  kRetryBudgetShare,
  kRetryMaxAttempts,
  kHedgePercentile,
  kHedgeMinDelay,
  kEjectionErrors,
  kEjectionBaseTime,
  kEjectionMaxTime,
  kEjectionMaxShare,
  kSlowStartWindow,
};

enum class KeyType {
  kName,
  kString,
  kStringArray,
  kAddress,
  kBool,
  kInt,
  kReal
};

/// The specification of a key.
struct KeySpec {
  Key m_key;
  KeyTable m_table;
  std::string_view m_name;
  KeyType m_type;
  bool m_required;
  /// The inclusive range of a number; 0 to 0 for other types.
  double m_min;
  double m_max;
  /// The unit as printed in the reference; empty if the value has none.
  std::string_view m_unit;
  /// The default in TOML syntax; empty if the key is required.
  std::string_view m_default;
  std::string_view m_effect;
};

/// Returns the specification of `key`. Thread safe.
const KeySpec& Spec(Key key);

/// Returns the specifications of all keys, in the order of `Key`. Thread safe.
std::span<const KeySpec> AllKeys();

/// Returns the table's header as written in a section's own text, for example
/// `[[target]]`; empty for the section itself. Thread safe.
std::string_view Heading(KeyTable table);

}  // namespace guavacross::document

#endif  // GUAVACROSS_DOCUMENT_KEYS_H_
