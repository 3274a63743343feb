#ifndef GUAVACROSS_POLICY_TENANT_QUOTA_H_
#define GUAVACROSS_POLICY_TENANT_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "guavacross/time.h"
#include "policy/quota_askers.h"

/// Limits on the requests per second of each tenant, kept by all instances
/// together.
///
/// Load pattern: a few large tenants and many small ones. A large one sends
/// several times its limit through all instances at once; a small one sends a
/// few requests in a row through one instance, and none of them may be refused.
///
/// One instance owns a tenant: the first by rendezvous hashing among the live
/// ones. It keeps the tenant's token bucket, and the other instances ask it for
/// tokens in small portions, which they use up within `QuotaLease::kLifetime`.
/// Equal shares would refuse the small tenants, whose requests arrive at one
/// instance, and shares by demand follow it too late. `docs/design/tenants.md`
/// compares them. No I/O; not thread safe.
namespace guavacross::policy {

/// A tenant's limit: requests per second, and those that may be saved up.
struct TenantLimit {
  double m_rate = 0;
  double m_burst = 0;

  bool operator==(const TenantLimit&) const = default;
};

/// What an instance asks the owner of a tenant.
struct QuotaQuestion {
  std::string m_tenant;
  /// As the asking instance knows it; the owner's own knowledge goes first.
  TenantLimit m_limit;
  std::uint32_t m_wanted = 0;
  /// Tokens of earlier answers that weren't used.
  std::uint32_t m_returned = 0;
  /// What an owner that doesn't answer has said last; nothing if it hasn't
  /// answered lately.
  std::optional<QuotaReserve> m_reserve;

  bool operator==(const QuotaQuestion&) const = default;
};

struct QuotaAnswer {
  std::uint32_t m_granted = 0;
  /// When a token will be there, if none is granted.
  Duration m_retry_after{};
  /// Nothing from an instance that answers in place of the owner.
  std::optional<QuotaReserve> m_reserve;

  bool operator==(const QuotaAnswer&) const = default;
};

/// What an instance may give of a limit that it is asked for.
struct QuotaStanding {
  /// The part of the limit for the instances that it sees, 0 to 1; see
  /// `OwnedShare`.
  double m_share = 1;
  /// If it answers in place of an owner: the part of the other instances that
  /// come to it, 0 to 1; see `PassedOverOwners`.
  std::optional<double> m_substitute_part;
  /// Whether it takes that owner for live.
  bool m_owner_is_live = false;

  bool operator==(const QuotaStanding&) const = default;
};

/// The token buckets of the tenants that this instance owns, or for whose owner
/// it answers.
class QuotaOwner {
 public:
  /// For how long a new owner fills its buckets more slowly: until then some
  /// instances may still ask the former one.
  static constexpr Duration kHandoverTime = std::chrono::seconds(1);

  /// `self` is the name with which this instance asks itself.
  explicit QuotaOwner(std::string self = {}) : m_self(std::move(self)) {}

  /// Sets the hash of the instances that are live. After a change a tenant may
  /// have had another owner meanwhile: what its bucket has saved since it was
  /// last asked is worth no more than that of a new owner.
  void SetMembers(std::uint64_t members) { m_members = members; }

  /// Answers a question of `asker` under `limit`.
  QuotaAnswer Ask(const std::string& asker,
                  const QuotaQuestion& question,
                  const TenantLimit& limit,
                  const QuotaStanding& standing,
                  TimePoint now);

  /// The requests per second that are held back of a tenant's limit, for
  /// instances that have asked for it and have fallen silent.
  double HeldBack(const std::string& tenant, TimePoint now) const;

  /// Forgets the tenants that haven't asked for `kForgetAfter`.
  void Forget(TimePoint now);

  std::size_t tenants() const { return m_buckets.size(); }

 private:
  static constexpr Duration kForgetAfter = std::chrono::seconds(60);

  // An instance that asks this one in place of the owner.
  struct Applicant {
    TimePoint m_first_asked_at;
    TimePoint m_asked_at;
    std::optional<QuotaReserve> m_reserve;
    int m_questions = 0;
  };

  // Whether an instance may have turned back to the owner.
  static bool HasLeft(const Applicant& applicant, TimePoint now);

  struct Bucket {
    double m_tokens = 0;
    TimePoint m_filled_at = TimePoint::min();
    TimePoint m_owned_since = TimePoint::min();
    std::uint64_t m_members = 0;
    QuotaAskers m_askers;
    // While this instance answers in place of the owner.
    bool m_is_substitute = false;
    std::map<std::string, Applicant> m_applicants;
    // What it has given of its first tokens, and the tokens that have been
    // filled in beyond what the owner holds back.
    double m_first_spent = 0;
    double m_extra_spent = 0;
  };

  // Whether this instance gives the limit, for all that it knows: the owner has
  // ended or has been cut off, if there is another.
  static bool IsInCharge(const QuotaStanding& standing);
  static bool HasAll(const Bucket& bucket, double part);
  static bool IsNew(const Bucket& bucket) {
    return bucket.m_filled_at == TimePoint::min();
  }
  void FillAsOwner(Bucket* bucket,
                   const TenantLimit& limit,
                   double share,
                   TimePoint now) const;
  static void FillAsSubstitute(Bucket* bucket,
                               const std::string& asker,
                               const QuotaQuestion& question,
                               const TenantLimit& limit,
                               const QuotaStanding& standing,
                               TimePoint now);
  static void RecordApplicant(Bucket* bucket,
                              const std::string& asker,
                              const QuotaQuestion& question,
                              TimePoint now);
  static double RateBesideOwner(const Bucket& bucket,
                                const TenantLimit& limit,
                                double part,
                                TimePoint now);
  // Takes tokens from a bucket that has just been filled.
  static std::uint32_t TakeTokens(Bucket* bucket,
                                  std::uint32_t wanted,
                                  const QuotaStanding& standing);
  // The tokens that a bucket gets until `now`.
  static double Refill(const Bucket& bucket, double rate, TimePoint now);

  std::string m_self;
  std::uint64_t m_members = 0;
  std::unordered_map<std::string, Bucket> m_buckets;
};

/// The part of each limit that an instance gives that sees `live` of the
/// instances of which it has recently seen `largest`.
///
/// The missing ones may have been cut off together with another owner, which
/// gives the part of those that it sees: the parts of all groups of instances
/// add up to a little more than the whole, which the limit's tolerance allows.
/// Pure.
double OwnedShare(std::size_t live, std::size_t largest);

/// Instances that ask this one because a tenant's owner, which this one takes
/// for live, doesn't answer them. Not thread safe.
///
/// If the owner has ended, all instances come soon; if only a few don't reach
/// it, it goes on giving to the others. So this instance gives each limit in
/// proportion to the instances that have come lately.
class PassedOverOwners {
 public:
  /// Records that `asker` has passed over `owner`.
  ///
  /// @return the part of the other instances that have come lately, 0 to 1,
  ///     among `instances` live ones, the owner included.
  double Record(const std::string& owner,
                const std::string& asker,
                std::size_t instances,
                TimePoint now);

 private:
  static constexpr Duration kRetention = std::chrono::seconds(1);

  // When each asker has last come, by owner.
  std::map<std::string, std::map<std::string, TimePoint>> m_askers;
};

/// The index of the owner among the names of instances; nothing if there are
/// none. Pure.
std::optional<std::size_t> OwnerOf(std::string_view tenant,
                                   std::span<const std::string> instances);

/// One instance's tokens of one tenant.
class QuotaLease {
 public:
  /// Unused tokens are given back after this time: a tenant's later burst must
  /// not add tokens saved on all instances to those of its bucket.
  static constexpr Duration kLifetime = std::chrono::milliseconds(500);

  /// How long a tenant counts as short of tokens after it has been denied one.
  static constexpr Duration kShortTime = std::chrono::milliseconds(500);

  /// Counts a new request, and takes a token if there is one.
  bool TryTake(TimePoint now);
  /// Takes a token for a request that has been counted and waits.
  bool TryTakeForWaiting(TimePoint now);
  /// Returns the token of a request that no target has run.
  void GiveBack() { ++m_tokens; }

  /// How many tokens to ask for while `waiting` requests have none: for them,
  /// and for as many as are expected within a part of the lifetime.
  std::uint32_t Wanted(std::size_t waiting, TimePoint now);
  /// The tokens that have expired since the last call.
  std::uint32_t TakeReturned(TimePoint now);
  void Add(const QuotaAnswer& answer, TimePoint now);

  /// Whether the tenant has had no tokens lately.
  ///
  /// Load pattern: a tenant sends several times its limit, and what is refused
  /// comes back. If requests that can't be answered in time any more took
  /// tokens, as many others would be refused and be too late in their turn.
  bool IsShort(TimePoint now) const {
    return m_denied_at != TimePoint::min() && now - m_denied_at < kShortTime;
  }

  /// Until when the tenant is known to have no tokens.
  TimePoint denied_until() const { return m_denied_until; }
  TimePoint last_used_at() const { return m_counted_at; }

 private:
  void Expire(TimePoint now);

  std::uint32_t m_tokens = 0;
  std::uint32_t m_expired = 0;
  TimePoint m_expires_at = TimePoint::min();
  TimePoint m_denied_until = TimePoint::min();
  TimePoint m_denied_at = TimePoint::min();
  // Moving average of the requests per second.
  double m_demand = 0;
  TimePoint m_counted_at = TimePoint::min();
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_TENANT_QUOTA_H_
