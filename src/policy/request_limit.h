#ifndef GUAVACROSS_POLICY_REQUEST_LIMIT_H_
#define GUAVACROSS_POLICY_REQUEST_LIMIT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "guavacross/time.h"
#include "policy/target_subset.h"

/// Limits on requests per second that targets name for all instances together.
///
/// A limit may lie far below one request a second for each instance, so it
/// isn't divided among all of them: a few instances, chosen for each target by
/// rendezvous hashing, share it, and the others send the target nothing. What
/// the instances send together stays within the limit although they don't agree
/// on which of them are live:
///
/// - An instance that sees only a part of the instances that it saw in the last
///   minutes takes only that part of the limit. Two groups that have lost each
///   other thus don't take it twice.
/// - A share that is taken away ends at once, and one that is gained is used
///   only after `RequestShare::kGrowthDelay`, when its former holder knows.
///
/// All functions are pure, and the classes take the time as a parameter. Not
/// thread safe.
namespace guavacross::policy {

/// The share of `limit` that the instance `view.m_self` may send to a target,
/// in requests per second; 0 if other instances hold all of it.
double ShareOfLimit(double limit,
                    std::uint64_t target,
                    const InstanceView& view);

/// What is known of one target's limit.
class NamedLimit {
 public:
  /// Processes the limit in an answer to a request that was sent at `asked_at`;
  /// 0 if the answer names none. An answer without a limit ends a limit unless
  /// the request was sent before the limit was last named.
  ///
  /// @return whether the limit has begun or ended or has changed by more than a
  /// tenth, so that the other instances are to be told at once.
  bool UpdateFromTarget(double limit, TimePoint asked_at, TimePoint now);

  /// Processes a notice of a peer, which had it from the target at `named_at`.
  ///
  /// @return whether the limit has changed.
  bool UpdateFromPeer(double limit, TimePoint named_at);

  bool is_active() const { return m_limit > 0; }
  /// Requests per second from all instances; 0 if the target names no limit.
  double limit() const { return m_limit; }
  /// When the target last named the limit, or last left it out after it had
  /// named one; nothing if it has never named one.
  std::optional<TimePoint> named_at() const { return m_named_at; }

 private:
  double m_limit = 0;
  // The limit that peers were last told.
  double m_announced = 0;
  std::optional<TimePoint> m_named_at;
};

/// One instance's share of a target's limit, and the times at which it may send
/// requests.
///
/// Requests are spaced evenly. One that comes late may be followed by the next
/// half a space earlier, but no more can be saved up: instances that were idle
/// would otherwise all send at once.
class RequestShare {
 public:
  /// How long after a share was gained it may be used: until the instance that
  /// held it knows that it doesn't any more.
  static constexpr Duration kGrowthDelay = std::chrono::seconds(3);

  /// Starts with a share, in requests per second, that was gained at
  /// `gained_at`.
  void Start(double share, TimePoint gained_at);
  /// Changes the share.
  void Set(double share, TimePoint now);

  /// Whether a request may be sent.
  bool HasRoom(TimePoint now);
  /// Charges a request that is sent.
  void Take(TimePoint now);
  /// When the request after the next `ahead` ones may be sent; nothing without
  /// a share.
  std::optional<TimePoint> RoomAt(int ahead, TimePoint now);

  /// The share that may be used at `now`.
  double Share(TimePoint now);

 private:
  struct Gain {
    double m_share = 0;
    TimePoint m_usable_at;
  };

  Duration Space() const;

  double m_share = 0;
  // The share that was last set, and the part of it that comes into use next.
  double m_wanted = 0;
  std::optional<Gain> m_gain;
  // When the next request is due.
  TimePoint m_next_at;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_REQUEST_LIMIT_H_
