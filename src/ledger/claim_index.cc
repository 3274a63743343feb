#include "ledger/claim_index.h"

#include <utility>

namespace guavacross::ledger {

namespace {

constexpr std::uint32_t kEmptySlot = 0xFFFFFFFF;
constexpr std::size_t kInitialSlots = 64;
// The table grows when more than three quarters of the slots are taken.
constexpr std::size_t kLoadNumerator = 3;
constexpr std::size_t kLoadDenominator = 4;

}  // namespace

ClaimIndex::ClaimIndex() : m_slots(kInitialSlots, kEmptySlot) {}

ClaimEntry* ClaimIndex::Find(const KeyHash& key) {
  return const_cast<ClaimEntry*>(std::as_const(*this).Find(key));
}

const ClaimEntry* ClaimIndex::Find(const KeyHash& key) const {
  const std::uint32_t position = m_slots[SlotOf(key)];
  return position == kEmptySlot ? nullptr : &EntryAt(position);
}

ClaimEntry& ClaimIndex::Add(const ClaimEntry& entry) {
  if ((m_entries.size() + 1) * kLoadDenominator >
      m_slots.size() * kLoadNumerator) {
    Grow();
  }
  m_slots[SlotOf(entry.m_key)] = PositionOf(m_entries.size());
  m_entries.push_back(entry);
  return m_entries.back();
}

void ClaimIndex::RemoveFront() {
  EraseSlot(SlotOf(m_entries.front().m_key));
  m_entries.pop_front();
  m_front = PositionOf(1);
}

// The slot that holds `key`, or the empty one where it belongs.
std::size_t ClaimIndex::SlotOf(const KeyHash& key) const {
  const std::size_t mask = m_slots.size() - 1;
  std::size_t slot = key.m_low & mask;
  while (m_slots[slot] != kEmptySlot && EntryAt(m_slots[slot]).m_key != key) {
    slot = (slot + 1) & mask;
  }
  return slot;
}

// Positions use 31 bits, so that none equals `kEmptySlot`.
std::uint32_t ClaimIndex::PositionOf(std::size_t entry) const {
  return (m_front + static_cast<std::uint32_t>(entry)) & 0x7FFFFFFF;
}

const ClaimEntry& ClaimIndex::EntryAt(std::uint32_t position) const {
  return m_entries[(position - m_front) & 0x7FFFFFFF];
}

void ClaimIndex::Grow() {
  m_slots.assign(m_slots.size() * 2, kEmptySlot);
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    m_slots[SlotOf(m_entries[i].m_key)] = PositionOf(i);
  }
}

// Deletion by backward shift (Knuth, TAOCP 6.4, algorithm R), which needs no
// tombstones.
void ClaimIndex::EraseSlot(std::size_t slot) {
  const std::size_t mask = m_slots.size() - 1;
  std::size_t hole = slot;
  std::size_t next = (slot + 1) & mask;
  while (m_slots[next] != kEmptySlot) {
    const std::size_t home = EntryAt(m_slots[next]).m_key.m_low & mask;
    if (((next - home) & mask) >= ((next - hole) & mask)) {
      m_slots[hole] = m_slots[next];
      hole = next;
    }
    next = (next + 1) & mask;
  }
  m_slots[hole] = kEmptySlot;
}

}  // namespace guavacross::ledger
