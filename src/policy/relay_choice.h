#ifndef GUAVACROSS_POLICY_RELAY_CHOICE_H_
#define GUAVACROSS_POLICY_RELAY_CHOICE_H_

#include <cstddef>
#include <optional>
#include <span>

#include "guavacross/time.h"
#include "policy/random.h"

namespace guavacross::policy {

/// A peer that may send a request on behalf of this instance.
struct RelayCandidate {
  bool m_same_zone = false;
  /// Share of its connections that requests occupy, 0 to 1.
  double m_load = 0;
  /// Requests of this instance that it is handling.
  int m_in_flight = 0;
  /// Whether it has said that it has lost the path to the targets in question.
  bool m_lost = false;
  /// When it last said whether it has.
  std::optional<TimePoint> m_told_at;
  /// When a target last answered it, by its own word.
  std::optional<TimePoint> m_answered_at;
  /// Not to be asked now, since it couldn't be connected to or has refused this
  /// request.
  bool m_excluded = false;
};

/// Chooses the peer through which a request is sent while this instance has no
/// path to the targets, or only to a few of them.
///
/// Load pattern: one instance, half of them, a zone or all but one are cut off
/// from the targets while callers keep to their addresses. If the targets are
/// down for all, no peer has been answered since this instance got its last
/// answer, and none is chosen. A peer that has been answered since then comes
/// before one that has only said that it hasn't lost the path, as one does that
/// gets no requests. Among these, peers of the same availability zone take
/// twice as many requests as others, and each takes fewer the more it has at
/// work.
///
/// `since`: when this instance began to miss answers. Pure but for `random`.
///
/// @return the index of the peer, or nothing if there is no other path.
std::optional<std::size_t> ChooseRelay(
    std::span<const RelayCandidate> candidates,
    TimePoint since,
    Random* random);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_RELAY_CHOICE_H_
