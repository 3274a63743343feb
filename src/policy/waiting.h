#ifndef GUAVACROSS_POLICY_WAITING_H_
#define GUAVACROSS_POLICY_WAITING_H_

#include <algorithm>

#include "guavacross/time.h"
#include "policy/random.h"

namespace guavacross::policy {

/// What limits how long one request may wait for a target.
struct WaitBounds {
  /// The latency objective, counted from the caller's first attempt: the time
  /// within which an answer is worth most. Zero if the class has none.
  Duration m_latency_objective{};
  /// Time that has passed since the caller's first attempt.
  Duration m_elapsed{};
  /// Time left until the caller stops waiting for the answer.
  Duration m_deadline_left{};
  /// Usual time to an answer in the request's class, once it is sent.
  Duration m_usual_time{};

  bool operator==(const WaitBounds&) const = default;
};

/// Whether a request can't meet its objective any more, even if sent at once.
///
/// Such requests keep a small part of their class's weight. They come from
/// callers that were refused in a burst and retry while it lasts: if they
/// shared a queue with new requests, every answer would be too late. Pure.
bool IsPastObjective(const WaitBounds& bounds);

/// The fraction of its class's weight that a request past its objective has.
inline constexpr double kPastObjectiveWeight = 0.125;

/// The longest wait after which a request is still worth its target's time.
///
/// Limits the queue when a burst exceeds the capacity of the targets, such as
/// when many callers arrive at once while a third of the targets is down. If
/// requests waited until their deadlines, the queue would grow until every one
/// of them got its target too late for its objective, and the targets would be
/// busy with answers of little value. With this limit the queue holds only what
/// can be answered in time, and the other requests are refused at once. Pure.
Duration LongestWait(const WaitBounds& bounds);

/// How long a refused caller should wait before it retries.
///
/// `excess` is how much longer than allowed the request would have had to wait:
/// after that time the queue will have shrunk by as much, if no new requests
/// arrive. The result lies at random between once and twice that time, which is
/// limited to a fixed range: without this jitter, callers that were refused
/// together would retry together. Pure but for `random`.
Duration RetryAfter(Duration excess, Random* random);

/// The `excess` for `RetryAfter` while the targets are crowded: a caller who
/// comes back sooner is past its objective, finds no room, and has one try
/// less.
inline constexpr Duration kCrowdedWait = std::chrono::milliseconds(600);

/// How long a caller should wait before it retries a request that targets
/// refused although the service has free slots, such as when targets fail or
/// shed a part of their requests regardless of load.
///
/// Waiting brings nothing then: any other target may take the request. The
/// short random time only keeps callers from returning in one moment. Pure but
/// for `random`.
Duration RetryAfterWithRoom(Random* random);

/// Whether a service has so much room that a refusal isn't due to its load.
/// `utilization` is the share of its slots in use.
bool HasRoom(double utilization, int waiting_requests);

/// Whether a caller that asks for `asked_wait`, where others of its class ask
/// for up to `longest_asked_wait`, has sent the request before. Callers ask for
/// what is left of their time.
bool HasReturned(Duration asked_wait, Duration longest_asked_wait);

/// The maximum of the recent values of a quantity, such as the deadlines that
/// the callers of a class set on their first attempts. Not thread safe.
class RecentMaximum {
 public:
  void Record(Duration value, TimePoint now);
  Duration value() const { return std::max(m_current, m_previous); }

 private:
  // A value is kept for one to two of these.
  static constexpr Duration kSpan = std::chrono::seconds(10);

  TimePoint m_span_start = TimePoint::min();
  Duration m_current{};
  Duration m_previous{};
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_WAITING_H_
