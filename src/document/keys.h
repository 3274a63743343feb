#ifndef GUAVACROSS_DOCUMENT_KEYS_H_
#define GUAVACROSS_DOCUMENT_KEYS_H_

#include <cstdint>
#include <span>
#include <string_view>

/// The keys of document schema 1: one table, from which the parser takes each
/// key's range and the operators' reference its text.
namespace guavacross::document {

/// Where a key stands inside of a section.
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

/// Every key, in the order of the reference.
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

enum class KeyType { kName, kText, kTexts, kAddress, kBool, kInt, kReal };

/// One row of the table.
struct KeySpec {
  Key m_key;
  KeyTable m_table;
  std::string_view m_name;
  KeyType m_type;
  bool m_required;
  /// The range of a number, both ends included.
  double m_min;
  double m_max;
  /// The unit, for people; empty if the value has none.
  std::string_view m_unit;
  /// The default as it would be written; empty if the key is required.
  std::string_view m_default;
  std::string_view m_effect;
};

/// The row of `key`. Thread safe.
const KeySpec& Spec(Key key);

/// The whole table. Thread safe.
std::span<const KeySpec> AllKeys();

/// The table's heading as written in a section's own text, for example
/// `[[target]]`; empty for the section itself.
std::string_view Heading(KeyTable table);

}  // namespace guavacross::document

#endif  // GUAVACROSS_DOCUMENT_KEYS_H_
