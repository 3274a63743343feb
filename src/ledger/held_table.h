#ifndef GUAVACROSS_LEDGER_HELD_TABLE_H_
#define GUAVACROSS_LEDGER_HELD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "guavacross/time.h"
#include "ledger/key_identity.h"
#include "ledger/ledger_messages.h"

namespace guavacross::ledger {

enum class HeldState {
  /// This instance runs the request.
  kRunning,
  /// Another instance was granted the right to run it.
  kGrantedToPeer,
  /// The request ran. Its answer is kept unless it was dropped to free space.
  kDone,
  /// The request may have run.
  kUnknown,
  /// The attempt ended without running the request.
  kNotRun,
};

/// A request that this instance runs, has ended, or decides about.
struct HeldKey {
  std::uint64_t m_fingerprint = 0;
  std::uint32_t m_attempt = 0;
  HeldState m_state = HeldState::kRunning;
  /// Whether the key belongs to a minted identity.
  bool m_minted = false;
  /// The instance that was granted the right to run it, for `kGrantedToPeer`.
  std::unique_ptr<InstanceId> m_given_to;
  std::unique_ptr<RecordedAnswer> m_answer;
  /// The entry must not be removed before this time.
  TimePoint m_keep_until = TimePoint::min();
};

struct HeldLimits {
  std::size_t m_max_keys = 65'536;
  std::size_t m_max_answer_bytes = 4 << 20;
  std::size_t m_max_bytes_per_answer = 64 << 10;
};

/// The requests that this instance knows from a source other than the log:
/// those it runs, those that ended here, and those handed over by a peer that
/// shut down.
///
/// Limited by the number of keys and by the bytes of recorded answers. Ended
/// keys are evicted in the order in which they ended, answers before keys.
/// Running and granted keys, and keys before their `m_keep_until`, are never
/// evicted. Not thread safe; no I/O.
class HeldTable {
 public:
  explicit HeldTable(HeldLimits limits = {});

  HeldKey* Find(const KeyHash& key);

  /// Makes room for one more key by evicting ended ones.
  ///
  /// @return false if none of the keys examined may be evicted.
  bool MakeRoom(TimePoint now);

  /// Adds or replaces an entry that isn't ended.
  HeldKey& Put(const KeyHash& key, HeldKey held);

  /// Marks a key as ended, if it is in the table, and keeps the answer of
  /// `kDone` if it is small enough.
  void End(const KeyHash& key, const ClaimEnd& end);

  void ForEach(
      const std::function<void(const KeyHash&, const HeldKey&)>& visit) const;

  std::size_t size() const { return m_held.size(); }
  std::size_t answer_bytes() const { return m_answer_bytes; }

 private:
  void KeepAnswer(const KeyHash& key,
                  HeldKey* held,
                  const RecordedAnswer& answer);
  void DropAnswer(HeldKey* held);
  void DropAnswersOverLimit();

  HeldLimits m_limits;
  std::unordered_map<KeyHash, HeldKey, KeyHashHasher> m_held;
  // Ended keys and keys with an answer, oldest first. Both may still contain
  // keys that were evicted or whose answer was dropped.
  std::deque<KeyHash> m_ended;
  std::deque<KeyHash> m_answered;
  std::size_t m_answer_bytes = 0;
};

/// Approximate memory that a recorded answer takes, in bytes.
std::size_t SizeOf(const RecordedAnswer& answer);

}  // namespace guavacross::ledger

#endif  // GUAVACROSS_LEDGER_HELD_TABLE_H_
