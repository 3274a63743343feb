#ifndef GUAVACROSS_POLICY_WAITING_H_
#define GUAVACROSS_POLICY_WAITING_H_

#include <algorithm>

#include "guavacross/time.h"
#include "policy/random.h"

namespace guavacross::policy {

/// What bounds how long one request may wait for a target.
struct WaitBounds {
  /// The time, from the caller's first attempt, in which its answer is worth
  /// most; zero if its class has no objective.
  Duration m_objective{};
  /// Time that has passed since the caller's first attempt.
  Duration m_elapsed{};
  /// What is left until nobody waits for the answer any more.
  Duration m_deadline_left{};
  /// How long its class usually takes once it is sent.
  Duration m_usual_time{};

  bool operator==(const WaitBounds&) const = default;
};

/// Whether a request can't meet its objective any more, even if sent at once.
///
/// Such requests keep a small part of their class's weight. Answers callers
/// that were refused in a burst and come back while it lasts: if they wait in
/// one line with the new ones, every answer comes too late. Pure.
bool IsPastObjective(const WaitBounds& bounds);

/// The part of its class's weight that a request past its objective has.
inline constexpr double kPastObjectiveWeight = 0.125;

/// The longest wait after which a request is still worth its target's time.
///
/// Answers a burst above what the targets can do, as when many callers come at
/// once while a third of the targets is gone. If requests wait until their
/// deadlines, the queue grows until every one of them gets its target too late
/// for its objective, and the targets are busy with what is worth little. With
/// this bound the queue is as long as what can be answered in time, and the
/// others are told at once. Pure.
Duration LongestWait(const WaitBounds& bounds);

/// When a refused caller should come back.
///
/// `excess` is how much longer than it may the request would have had to wait:
/// by then the queue will have gone down by as much, if nobody else comes.
/// Answers callers that were refused together and would return together: the
/// times are spread over as much again. Pure but for `random`.
Duration RetryAfter(Duration excess, Random* random);

/// The greatest of the recent values of a quantity, such as the deadlines that
/// the callers of a class set on their first attempts. Not thread safe.
class RecentMaximum {
 public:
  void Record(Duration value, TimePoint now);
  Duration value() const { return std::max(m_current, m_before); }

 private:
  // A value counts for one to two of these.
  static constexpr Duration kSpan = std::chrono::seconds(10);

  TimePoint m_span_began = TimePoint::min();
  Duration m_current{};
  Duration m_before{};
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_WAITING_H_
