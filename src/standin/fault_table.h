#ifndef GUAVACROSS_STANDIN_FAULT_TABLE_H_
#define GUAVACROSS_STANDIN_FAULT_TABLE_H_

#include <QJsonObject>
#include <QJsonValue>
#include <QString>
#include <algorithm>
#include <functional>
#include <string>
#include <type_traits>
#include <vector>

namespace guavacross::standin {

/// Converts a member to JSON.
template <class T>
QJsonValue ToJson(const T& value) {
  if constexpr (std::is_same_v<T, std::string>) {
    return QString::fromStdString(value);
  } else {
    return value;
  }
}

/// Sets a member from a JSON value. Returns false if the type is wrong.
template <class T>
bool SetFromJson(const QJsonValue& value, T* member) {
  if constexpr (std::is_same_v<T, bool>) {
    *member = value.toBool();
    return value.isBool();
  } else if constexpr (std::is_same_v<T, std::string>) {
    *member = value.toString().toStdString();
    return value.isString();
  } else {
    *member = static_cast<T>(value.toDouble());
    return value.isDouble();
  }
}

/// Maps a JSON key to a member of a struct of faults.
template <class Faults>
struct FaultField {
  template <class T>
  FaultField(const char* name, T Faults::*member)
      : m_name(name),
        m_get(
            [member](const Faults& faults) { return ToJson(faults.*member); }),
        m_set([member](const QJsonValue& value, Faults* faults) {
          return SetFromJson(value, &(faults->*member));
        }) {}

  const char* m_name;
  std::function<QJsonValue(const Faults&)> m_get;
  std::function<bool(const QJsonValue&, Faults*)> m_set;
};

/// Converts a struct of faults to JSON.
template <class Faults>
QJsonObject FaultsToJson(const Faults& faults,
                         const std::vector<FaultField<Faults>>& fields) {
  QJsonObject json;
  for (const auto& field : fields) {
    json[field.m_name] = field.m_get(faults);
  }
  return json;
}

/// Sets the members named in `json`; others are unchanged.
///
/// @return an empty string on success, otherwise an error message, in which
/// case
///     `faults` is unchanged.
template <class Faults>
QString FaultsFromJson(const QJsonObject& json,
                       const std::vector<FaultField<Faults>>& fields,
                       Faults* faults) {
  Faults changed = *faults;
  for (auto entry = json.begin(); entry != json.end(); ++entry) {
    const auto field = std::find_if(
        fields.begin(), fields.end(), [&entry](const auto& candidate) {
          return entry.key() == QLatin1String(candidate.m_name);
        });
    if (field == fields.end()) {
      return "unknown fault: " + entry.key();
    }
    if (!field->m_set(entry.value(), &changed)) {
      return "wrong type: " + entry.key();
    }
  }
  *faults = changed;
  return {};
}

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_FAULT_TABLE_H_
