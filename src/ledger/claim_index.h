#ifndef GUAVACROSS_LEDGER_CLAIM_INDEX_H_
#define GUAVACROSS_LEDGER_CLAIM_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "ledger/ledger_messages.h"

namespace guavacross::ledger {

/// What `ClaimFold` stores for one key.
struct ClaimEntry {
  KeyHash m_key;
  std::uint64_t m_fingerprint = 0;
  /// When the claim was made, in seconds since the owner's epoch.
  std::int32_t m_claimed_at_s = 0;
  /// The newest offset from which on the log contains everything about the key:
  /// that of its first claim, or of the last record that carried it forward.
  std::uint32_t m_record_offset = 0;
  /// Index into the owner's list of holders.
  std::uint32_t m_holder = 0;
  std::uint32_t m_attempt : 31 = 0;
  std::uint32_t m_ended_not_run : 1 = 0;

  bool operator==(const ClaimEntry&) const = default;
};

/// A hash table of claims that keeps the order of insertion.
///
/// Entries are stored in a queue and found through an open-addressing table of
/// 4-byte positions. This takes 45 to 55 bytes per key; a node-based map takes
/// about 100. Pointers stay valid until the entry is removed. Not thread safe.
class ClaimIndex {
 public:
  ClaimIndex();

  /// The entry for `key`, or null.
  ClaimEntry* Find(const KeyHash& key);
  const ClaimEntry* Find(const KeyHash& key) const;

  /// Adds an entry whose key isn't there yet.
  ClaimEntry& Add(const ClaimEntry& entry);

  /// The oldest entry. The index must not be empty.
  const ClaimEntry& front() const { return m_entries.front(); }
  void RemoveFront();

  std::size_t size() const { return m_entries.size(); }
  bool empty() const { return m_entries.empty(); }
  const std::deque<ClaimEntry>& entries() const { return m_entries; }

 private:
  std::size_t SlotOf(const KeyHash& key) const;
  std::uint32_t PositionOf(std::size_t entry) const;
  const ClaimEntry& EntryAt(std::uint32_t position) const;
  void Grow();
  void EraseSlot(std::size_t slot);

  std::deque<ClaimEntry> m_entries;
  // Entries get consecutive positions, which wrap around. A slot holds the
  // position of an entry; `m_front` is the position of the oldest entry.
  std::vector<std::uint32_t> m_slots;
  std::uint32_t m_front = 0;
};

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_CLAIM_INDEX_H_
