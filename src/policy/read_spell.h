#ifndef GUAVACROSS_POLICY_READ_SPELL_H_
#define GUAVACROSS_POLICY_READ_SPELL_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "guavacross/time.h"

namespace guavacross::policy {

/// A time without an outage of the store, as shown by reads of any instances.
///
/// That an instance hears of no read says nothing about the store: the reader
/// may have gone, or the message be late. Instances therefore tell each other
/// of the reads themselves, and an outage is what the calls of some instance
/// met.
struct ReadSpell {
  /// Rises when the store has been restored from an older copy.
  std::uint64_t m_epoch = 0;
  /// The first and the last read.
  TimePoint m_since;
  TimePoint m_until;
  /// Whether an outage or a restoration came before it. Else it began with the
  /// first read of an instance that had started.
  bool m_after_outage = false;

  bool operator==(const ReadSpell&) const = default;
};

/// The spell that is known once a read, or a spell of another instance, has
/// been learned of. `calls_fail` says whether calls of any instance have failed
/// since the last known read, `max_pause` how long reads may pause while the
/// store is there. Pure.
inline ReadSpell JoinSpells(const std::optional<ReadSpell>& known,
                            const ReadSpell& other,
                            bool calls_fail,
                            Duration max_pause) {
  if (!known.has_value()) {
    return other;
  }
  if (other.m_epoch != known->m_epoch) {
    ReadSpell restored = other;
    restored.m_after_outage = true;
    return other.m_epoch > known->m_epoch ? restored : *known;
  }
  if (known->m_since - other.m_until > max_pause) {
    return *known;
  }
  ReadSpell joined = *known;
  if (other.m_since - known->m_until > max_pause) {
    if (other.m_after_outage || calls_fail) {
      joined = other;
      joined.m_after_outage = true;
    }
  } else if (known->m_since - other.m_since > max_pause) {
    // The other instance read while this one thought that there was an outage.
    joined = other;
  } else if (other.m_since - known->m_since <= max_pause) {
    joined.m_since = std::min(known->m_since, other.m_since);
    joined.m_after_outage = known->m_after_outage || other.m_after_outage;
  }
  joined.m_until = std::max(known->m_until, other.m_until);
  return joined;
}

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_READ_SPELL_H_
