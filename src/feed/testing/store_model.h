#ifndef GUAVACROSS_FEED_TESTING_STORE_MODEL_H_
#define GUAVACROSS_FEED_TESTING_STORE_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "feed/keyed_feed.h"
#include "feed/shared_records.h"
#include "util/manual_clock.h"

namespace guavacross::feed::testing {

inline KeyedRecord Record(const std::string& key,
                          const std::string& value,
                          std::uint64_t offset) {
  return {.m_key = key, .m_value = value, .m_offset = offset};
}

inline bool AnyChange(const KeyedRecord* before, const KeyedRecord& now) {
  return before == nullptr || before->m_value != now.m_value;
}

/// The number in a value like `v7`; 0 for other values.
inline int VersionIn(const KeyedRecord& record) {
  const std::string value = record.m_value.value_or("");
  return value.starts_with('v') ? std::stoi(value.substr(1)) : 0;
}

/// Compares values like `v7`; others don't tell their age.
inline int CompareVersions(const KeyedRecord& before, const KeyedRecord& now) {
  const int old_version = VersionIn(before);
  const int new_version = VersionIn(now);
  return old_version > 0 && new_version > 0 ? new_version - old_version : 0;
}

/// Rules for records whose values are like `v7` or tell no version.
inline RecordRules Rules() {
  return {.m_is_significant = AnyChange,
          .m_compare_age = CompareVersions,
          .m_version_of = [](const KeyedRecord& record) {
            return static_cast<std::uint64_t>(VersionIn(record));
          }};
}

/// The log of a store that retains its records from offset `m_first` on.
struct StoreModel {
  explicit StoreModel(util::ManualClock* clock) : m_clock(clock->clock()) {}

  void Append(const std::string& key, std::optional<std::string> value) {
    m_log.push_back({.m_key = key,
                     .m_value = std::move(value),
                     .m_offset = Position(m_log.size())});
  }

  /// Positions of a later era are greater than all of an earlier one.
  std::uint64_t Position(std::uint64_t offset) const {
    return (m_era << 40U) + offset;
  }

  /// Comes back from a copy that has only the first `records`.
  void Restore(std::size_t records) {
    m_log.resize(records);
    ++m_era;
    for (std::size_t i = 0; i < records; ++i) {
      m_log[i].m_offset = Position(i);
    }
  }

  FeedPage Listing() const {
    std::map<std::string, KeyedRecord> newest;
    for (const KeyedRecord& record : m_log) {
      newest[record.m_key] = record;
    }
    FeedPage page{.m_status = FeedPage::Status::kOk,
                  .m_end = Position(m_log.size())};
    for (const auto& [key, record] : newest) {
      if (record.m_value.has_value()) {
        page.m_records.push_back(record);
      }
    }
    return page;
  }

  FeedPage From(std::uint64_t from) const {
    if (from < Position(m_first)) {
      return {.m_status = FeedPage::Status::kExpired};
    }
    FeedPage page{.m_status = FeedPage::Status::kOk,
                  .m_end = Position(m_log.size())};
    for (std::uint64_t i = from - Position(0); i < m_log.size(); ++i) {
      page.m_records.push_back(m_log[i]);
    }
    return page;
  }

  Clock m_clock;
  std::vector<KeyedRecord> m_log;
  /// The first offset that is retained.
  std::uint64_t m_first = 0;
  std::uint64_t m_era = 0;
  int m_calls = 0;
};

}  // namespace guavacross::feed::testing

#endif  // GUAVACROSS_FEED_TESTING_STORE_MODEL_H_
