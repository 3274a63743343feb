#include "ledger/held_table.h"

#include <utility>

namespace guavacross::ledger {

namespace {

// Maximum number of queued keys to examine in order to make room for one key;
// some of them may not be evicted yet.
constexpr int kMaxKeysExamined = 16;

HeldState StateOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return HeldState::kNotRun;
    case Outcome::kDone:
      return HeldState::kDone;
    case Outcome::kUnknown:
      break;
  }
  return HeldState::kUnknown;
}

bool IsEnded(HeldState state) {
  return state != HeldState::kRunning && state != HeldState::kGrantedToPeer;
}

}  // namespace

std::size_t SizeOf(const RecordedAnswer& answer) {
  std::size_t bytes = sizeof(answer) + answer.m_body.size();
  for (const auto& [name, value] : answer.m_headers) {
    bytes += name.size() + value.size() + 2 * sizeof(std::string);
  }
  return bytes;
}

HeldTable::HeldTable(HeldLimits limits) : m_limits(limits) {}

HeldKey* HeldTable::Find(const KeyHash& key) {
  const auto it = m_held.find(key);
  return it == m_held.end() ? nullptr : &it->second;
}

bool HeldTable::MakeRoom(TimePoint now) {
  int examined = 0;
  while (m_held.size() >= m_limits.m_max_keys) {
    if (m_ended.empty() || examined++ == kMaxKeysExamined) {
      return false;
    }
    const KeyHash key = m_ended.front();
    m_ended.pop_front();
    const auto it = m_held.find(key);
    if (it == m_held.end() || !IsEnded(it->second.m_state)) {
      continue;
    }
    if (it->second.m_keep_until > now) {
      m_ended.push_back(key);
      continue;
    }
    DropAnswer(&it->second);
    m_held.erase(it);
  }
  return true;
}

HeldKey& HeldTable::Put(const KeyHash& key, HeldKey held) {
  HeldKey& slot = m_held[key];
  DropAnswer(&slot);
  slot = std::move(held);
  return slot;
}

void HeldTable::End(const KeyHash& key, const ClaimEnd& end) {
  HeldKey* held = Find(key);
  if (held == nullptr) {
    return;
  }
  DropAnswer(held);
  held->m_state = StateOf(end.m_outcome);
  held->m_given_to.reset();
  m_ended.push_back(key);
  if (end.m_outcome == Outcome::kDone) {
    KeepAnswer(key, held, end.m_answer);
  }
}

void HeldTable::ForEach(
    const std::function<void(const KeyHash&, const HeldKey&)>& visit) const {
  for (const auto& [key, held] : m_held) {
    visit(key, held);
  }
}

void HeldTable::KeepAnswer(const KeyHash& key,
                           HeldKey* held,
                           const RecordedAnswer& answer) {
  const std::size_t bytes = SizeOf(answer);
  // An answer without a status was too large for the data path to keep.
  if (answer.m_status == 0 || bytes > m_limits.m_max_bytes_per_answer) {
    return;
  }
  held->m_answer = std::make_unique<RecordedAnswer>(answer);
  m_answer_bytes += bytes;
  m_answered.push_back(key);
  DropAnswersOverLimit();
}

void HeldTable::DropAnswer(HeldKey* held) {
  if (held->m_answer != nullptr) {
    m_answer_bytes -= SizeOf(*held->m_answer);
    held->m_answer.reset();
  }
}

void HeldTable::DropAnswersOverLimit() {
  while (m_answer_bytes > m_limits.m_max_answer_bytes && !m_answered.empty()) {
    HeldKey* held = Find(m_answered.front());
    m_answered.pop_front();
    if (held != nullptr) {
      DropAnswer(held);
    }
  }
}

}  // namespace guavacross::ledger
