#include "feed/shared_records.h"

#include <algorithm>
#include <set>
#include <utility>

namespace guavacross::feed {

namespace {

bool IsEarlier(const KeyedRecord* a, const KeyedRecord* b) {
  return a->m_offset < b->m_offset;
}

// The first records, limited to `max_bytes`, but at least one.
std::vector<KeyedRecord> FirstOf(const std::vector<const KeyedRecord*>& wanted,
                                 std::size_t max_bytes) {
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  for (const KeyedRecord* const record : wanted) {
    bytes += record->m_key.size() + record->m_value.value_or("").size() +
             record->m_last_value.value_or("").size();
    if (bytes > max_bytes && !records.empty()) {
      break;
    }
    records.push_back(*record);
  }
  return records;
}

}  // namespace

std::vector<KeyedRecord> SharedRecords::Merge(
    const std::vector<KeyedRecord>& records) {
  std::vector<KeyedRecord> newer;
  for (const KeyedRecord& record : records) {
    if (!CheckReadable(record)) {
      continue;
    }
    const auto [place, added] = m_known.try_emplace(record.m_key);
    Known& known = place->second;
    if (added) {
      known.m_newest = record.m_offset;
      if (m_rules.m_is_significant(nullptr, record)) {
        Store(&known, record, record.m_last_value);
      }
    } else if (!MergeKnown(&known, record)) {
      continue;
    }
    newer.push_back(record);
  }
  return newer;
}

bool SharedRecords::CheckReadable(const KeyedRecord& record) {
  if (!m_rules.m_is_readable || !record.m_value.has_value() ||
      m_rules.m_is_readable(record)) {
    m_unreadable_keys.erase(record.m_key);
    return true;
  }
  if (m_unreadable_keys.size() < kMaxUnreadable &&
      m_unreadable_keys.insert(record.m_key).second) {
    m_unreadable.push_back(record);
  }
  return false;
}

std::vector<KeyedRecord> SharedRecords::TakeUnreadable() {
  return std::exchange(m_unreadable, {});
}

bool SharedRecords::MergeKnown(Known* known, const KeyedRecord& record) {
  const Value& known_value = known->m_record.m_value;
  const int order = AgeOrder(*known, record);
  const bool comes_after_deletion =
      !known_value.has_value() && record.m_value.has_value() &&
      !Revives(record.m_key, known->m_record.m_last_value, record.m_value);
  if (order < 0 || comes_after_deletion) {
    if (record.m_offset > known->m_newest) {
      known->m_newest = record.m_offset;
      known->m_record.m_offset = record.m_offset;
      m_changed_to = std::max(m_changed_to, record.m_offset + 1);
    }
    return false;
  }
  const bool was_deleted_since =
      known_value.has_value() && !record.m_value.has_value() &&
      record.m_last_value.has_value() &&
      !Revives(record.m_key, record.m_last_value,
               known->m_value.has_value() ? known->m_value : known_value);
  const bool is_newer =
      record.m_offset > known->m_newest || was_deleted_since || order > 0;
  Value newest_value = NewestValue(*known, record);
  known->m_newest = std::max(known->m_newest, record.m_offset);
  if (is_newer && m_rules.m_is_significant(&known->m_record, record)) {
    Store(known, record, std::move(newest_value));
  } else if (known_value.has_value()) {
    known->m_value = std::move(newest_value);
  } else {
    known->m_record.m_last_value = std::move(newest_value);
  }
  return is_newer;
}

void SharedRecords::Store(Known* known,
                          const KeyedRecord& record,
                          Value newest_value) {
  known->m_record = record;
  // Newer contents may come at a lower offset, from a peer that knew them
  // before the store was restored.
  known->m_record.m_offset = known->m_newest;
  known->m_record.m_last_value =
      record.m_value.has_value() ? std::nullopt : std::move(newest_value);
  known->m_value.reset();
  if (record.m_value.has_value() && m_rules.m_is_leaving &&
      m_rules.m_is_leaving(record)) {
    m_leaving.insert(record.m_key);
  } else {
    m_leaving.erase(record.m_key);
  }
  m_changed_to = std::max(m_changed_to, known->m_newest + 1);
  m_version = std::max(m_version, VersionOf({record}));
}

// Whether `value` is newer than `last_value`. Unknown values don't tell.
bool SharedRecords::Revives(const std::string& key,
                            const Value& last_value,
                            const Value& value) const {
  return !m_rules.m_revives || !last_value.has_value() || !value.has_value() ||
         m_rules.m_revives({.m_key = key, .m_value = last_value},
                           {.m_key = key, .m_value = value});
}

SharedRecords::Value SharedRecords::NewestValue(
    const Known& known,
    const KeyedRecord& record) const {
  if (!m_rules.m_revives) {
    return std::nullopt;
  }
  const KeyedRecord& last = known.m_record;
  const Value& before = known.m_value.has_value()  ? known.m_value
                        : last.m_value.has_value() ? last.m_value
                                                   : last.m_last_value;
  const Value& now =
      record.m_value.has_value() ? record.m_value : record.m_last_value;
  const bool is_newer = now.has_value() && Revives(record.m_key, before, now);
  return is_newer ? now : before;
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

std::vector<KeyedRecord> SharedRecords::MergeDeletions(
    const std::vector<KeyedRecord>& records) {
  const std::uint64_t changed_to = m_changed_to;
  std::vector<KeyedRecord> newer = Merge(records);
  m_changed_to = changed_to;
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
  std::vector<const KeyedRecord*> wanted;
  for (const auto& [key, known] : m_known) {
    if (known.m_record.m_offset >= from) {
      wanted.push_back(&known.m_record);
    }
  }
  std::sort(wanted.begin(), wanted.end(), IsEarlier);
  return FirstOf(wanted, max_bytes);
}

std::vector<KeyedRecord> SharedRecords::Deletions(std::size_t max_bytes) const {
  std::vector<const KeyedRecord*> wanted;
  for (const auto& [key, known] : m_known) {
    if (!known.m_record.m_value.has_value() || m_leaving.contains(key)) {
      wanted.push_back(&known.m_record);
    }
  }
  std::sort(wanted.rbegin(), wanted.rend(), IsEarlier);
  return FirstOf(wanted, max_bytes);
}

}  // namespace guavacross::feed
