#include "feed/shared_records.h"

#include <algorithm>
#include <set>
#include <utility>

namespace guavacross::feed {

std::vector<KeyedRecord> SharedRecords::Merge(
    const std::vector<KeyedRecord>& records) {
  std::vector<KeyedRecord> newer;
  for (const KeyedRecord& record : records) {
    const auto [place, added] = m_known.try_emplace(record.m_key);
    Known& known = place->second;
    const int order = added ? 1 : AgeOrder(known, record);
    if (order < 0 && record.m_offset > known.m_newest) {
      known.m_newest = record.m_offset;
      known.m_record.m_offset = record.m_offset;
      m_changed_to = std::max(m_changed_to, record.m_offset + 1);
    }
    if (order < 0 || (order == 0 && record.m_offset <= known.m_newest)) {
      continue;
    }
    known.m_newest = std::max(known.m_newest, record.m_offset);
    if (m_rules.m_is_significant(added ? nullptr : &known.m_record, record)) {
      known.m_record = record;
      // Newer contents may come at a lower offset, from a peer that knew them
      // before the store was restored.
      known.m_record.m_offset = known.m_newest;
      m_changed_to = std::max(m_changed_to, known.m_newest + 1);
      m_version = std::max(m_version, VersionOf({record}));
    }
    newer.push_back(record);
  }
  return newer;
}

std::uint64_t SharedRecords::VersionOf(
    const std::vector<KeyedRecord>& records) const {
  std::uint64_t version = 0;
  if (m_rules.m_version_of) {
    for (const KeyedRecord& record : records) {
      version = std::max(version, m_rules.m_version_of(record));
    }
  }
  return version;
}

int SharedRecords::AgeOrder(const Known& known,
                            const KeyedRecord& record) const {
  return m_rules.m_compare_age ? m_rules.m_compare_age(known.m_record, record)
                               : 0;
}

std::vector<KeyedRecord> SharedRecords::MergeFromPeer(
    const std::vector<KeyedRecord>& records) {
  std::vector<KeyedRecord> newer = Merge(records);
  // Also counts records that weren't significant here, so that they aren't
  // requested again.
  for (const KeyedRecord& record : records) {
    m_changed_to = std::max(m_changed_to, record.m_offset + 1);
  }
  return newer;
}

std::vector<KeyedRecord> SharedRecords::MergeListing(
    const std::vector<KeyedRecord>& records,
    std::uint64_t end) {
  std::set<std::string> present;
  for (const KeyedRecord& record : records) {
    present.insert(record.m_key);
  }
  std::vector<KeyedRecord> all = records;
  for (const auto& [key, known] : m_known) {
    const bool deleted = !present.contains(key) && end > 0 &&
                         known.m_record.m_value.has_value() &&
                         known.m_newest < end;
    if (deleted) {
      // An offset after the known record and before any later write.
      all.push_back(
          {.m_key = key, .m_offset = std::max(end - 1, known.m_newest + 1)});
    }
  }
  return Merge(all);
}

std::vector<KeyedRecord> SharedRecords::Since(std::uint64_t from,
                                              std::size_t max_bytes) const {
  std::vector<const Known*> wanted;
  for (const auto& [key, known] : m_known) {
    if (known.m_record.m_offset >= from) {
      wanted.push_back(&known);
    }
  }
  std::sort(wanted.begin(), wanted.end(), [](const Known* a, const Known* b) {
    return a->m_record.m_offset < b->m_record.m_offset;
  });
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  for (const Known* known : wanted) {
    bytes += known->m_record.m_key.size() +
             known->m_record.m_value.value_or("").size();
    if (bytes > max_bytes && !records.empty()) {
      break;
    }
    records.push_back(known->m_record);
  }
  return records;
}

}  // namespace guavacross::feed
