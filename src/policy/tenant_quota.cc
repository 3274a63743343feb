#include "policy/tenant_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "util/hash.h"

namespace guavacross::policy {

namespace {

// What a new owner has in its bucket, beyond the rate of a short time: the
// former owner's is lost, and may just have been emptied.
constexpr double kTokensOfNewOwner = 10;
constexpr double kSecondsOfNewOwner = 0.05;

// The rate at which a new owner fills its buckets at first: this part of the
// limit's, and some requests per second on top, since small limits have enough
// tolerance for two owners.
constexpr double kHandoverRateShare = 0.8;
constexpr double kHandoverBaseRate = 20;

// What the parts that groups of instances give may add up to.
constexpr double kSumOfShares = 1.05;

// An owner that isn't asked for longer than this may not have been the owner.
constexpr Duration kMaxGap = std::chrono::milliseconds(500);

// What a substitute may give beyond what the owner holds back, so that callers
// lose little if the owner has ended. The limit's tolerance of a tenth over
// five seconds and 20 requests allows it once in that time. A substitute has
// its first tokens at once, so that small tenants are served; the extra ones
// fill its bucket up to the rate of the limit. All but `kFirstTokens` are
// divided by the instances that come to it.
constexpr double kFirstTokens = 3;
constexpr double kDividedFirstTokens = 5;
constexpr double kExtraTokens = 3;
constexpr double kExtraSeconds = 0.35;

// A substitute has its first and its extra tokens again once it wasn't asked
// for this long.
constexpr Duration kExtraInterval = std::chrono::seconds(6);

// All instances but few come to a substitute.
constexpr double kPartOfAll = 0.9;
constexpr int kMeanIterations = 10;

// An instance that has asked often enough counts as having left a substitute
// after so many of its usual gaps.
constexpr int kQuestionsForGap = 3;
constexpr int kStayGaps = 3;
constexpr Duration kMinStay = std::chrono::milliseconds(100);

// A substitute saves up no more than the tokens of this time: those who ask it
// may return to the owner, which saves up its own.
constexpr double kSubstituteSeconds = 0.2;

// How long an instance that comes to a substitute counts after its question.
constexpr Duration kApplicantRetention = std::chrono::seconds(1);

// The longest time for which an instance refuses on the owner's word.
constexpr Duration kMaxDenial = std::chrono::milliseconds(100);

// The part of the lifetime for which tokens are asked ahead: the rest is spare,
// so that few have to be given back.
constexpr double kAheadSeconds = 0.2;

// Time constant of the demand.
constexpr double kDemandSeconds = 0.5;

constexpr std::uint32_t kMaxPortion = 10000;

}  // namespace

bool QuotaOwner::IsInCharge(const QuotaStanding& standing) {
  return !standing.m_substitute_part.has_value() || !standing.m_owner_is_live;
}

QuotaAnswer QuotaOwner::Ask(const std::string& asker,
                            const QuotaQuestion& question,
                            const TenantLimit& limit,
                            const QuotaStanding& standing,
                            TimePoint now) {
  Bucket& bucket = m_buckets[question.m_tenant];
  if (standing.m_substitute_part.has_value()) {
    FillAsSubstitute(&bucket, asker, question, limit, standing, now);
  } else {
    FillAsOwner(&bucket, limit, standing.m_share, now);
  }
  if (IsInCharge(standing) && !question.m_reserve.has_value()) {
    bucket.m_tokens += bucket.m_askers.HeldBackInVain(asker, now);
  }
  bucket.m_is_substitute = standing.m_substitute_part.has_value();
  bucket.m_members = m_members;
  bucket.m_filled_at = now;
  const double rate = limit.m_rate * standing.m_share;
  bucket.m_tokens =
      std::min(std::max(1.0, limit.m_burst * standing.m_share),
               bucket.m_tokens + std::min(question.m_returned, kMaxPortion));
  QuotaAnswer answer{.m_granted =
                         TakeTokens(&bucket, question.m_wanted, standing)};
  if (IsInCharge(standing)) {
    bucket.m_askers.Record(
        asker, asker == m_self, question.m_wanted,
        static_cast<double>(answer.m_granted) - question.m_returned, now);
    answer.m_reserve = bucket.m_askers.Reserve(asker, rate, now);
  }
  if (answer.m_granted == 0 && question.m_wanted > 0) {
    answer.m_retry_after =
        rate > 0 ? FromSeconds((1 - bucket.m_tokens) / rate) : kMaxDenial;
  }
  return answer;
}

std::uint32_t QuotaOwner::TakeTokens(Bucket* bucket,
                                     std::uint32_t wanted,
                                     const QuotaStanding& standing) {
  double first_tokens = 0;
  if (standing.m_substitute_part.has_value()) {
    first_tokens = std::max(
        0.0, kFirstTokens + kDividedFirstTokens * *standing.m_substitute_part -
                 bucket->m_first_spent);
  }
  const std::uint32_t granted =
      std::min({static_cast<std::uint32_t>(bucket->m_tokens + first_tokens),
                wanted, kMaxPortion});
  const double of_first = std::max(0.0, granted - bucket->m_tokens);
  bucket->m_first_spent += of_first;
  bucket->m_tokens -= granted - of_first;
  return granted;
}

void QuotaOwner::FillAsOwner(Bucket* bucket,
                             const TenantLimit& limit,
                             double share,
                             TimePoint now) const {
  const double rate =
      std::min(limit.m_rate * share,
               std::max(0.0, limit.m_rate - bucket->m_askers.HeldBack(now)));
  const double of_new_owner =
      kTokensOfNewOwner + limit.m_rate * share * kSecondsOfNewOwner;
  if (IsNew(*bucket)) {
    bucket->m_tokens = of_new_owner;
    bucket->m_owned_since = now;
    return;
  }
  bucket->m_tokens += Refill(*bucket, rate, now);
  if (bucket->m_members != m_members && now - bucket->m_filled_at > kMaxGap) {
    bucket->m_tokens = std::min(bucket->m_tokens, of_new_owner);
    bucket->m_owned_since = now;
  }
}

void QuotaOwner::FillAsSubstitute(Bucket* bucket,
                                  const std::string& asker,
                                  const QuotaQuestion& question,
                                  const TenantLimit& limit,
                                  const QuotaStanding& standing,
                                  TimePoint now) {
  RecordApplicant(bucket, asker, question, now);
  const double part = *standing.m_substitute_part;
  const double full_rate = limit.m_rate * standing.m_share * part;
  const double rate = std::clamp(
      standing.m_owner_is_live ? RateBesideOwner(*bucket, limit, part, now)
                               : limit.m_rate - bucket->m_askers.HeldBack(now),
      0.0, full_rate);
  const bool is_new = IsNew(*bucket);
  if (is_new || now - bucket->m_filled_at > kExtraInterval) {
    bucket->m_first_spent = 0;
    bucket->m_extra_spent = 0;
  }
  if (is_new || !bucket->m_is_substitute ||
      now - bucket->m_filled_at > kMaxGap) {
    bucket->m_tokens = 0;
    return;
  }
  const double seconds = Seconds(now - bucket->m_filled_at);
  bucket->m_tokens += rate * seconds;
  if (standing.m_owner_is_live) {
    const double extra =
        std::clamp(part * (kExtraTokens + kExtraSeconds * limit.m_rate) -
                       bucket->m_extra_spent,
                   0.0, (full_rate - rate) * seconds);
    bucket->m_extra_spent += extra;
    bucket->m_tokens = std::min(bucket->m_tokens + extra,
                                std::max(1.0, kSubstituteSeconds * full_rate));
  }
}

void QuotaOwner::RecordApplicant(Bucket* bucket,
                                 const std::string& asker,
                                 const QuotaQuestion& question,
                                 TimePoint now) {
  std::erase_if(bucket->m_applicants, [now](const auto& entry) {
    return now - entry.second.m_asked_at > kApplicantRetention;
  });
  Applicant& applicant = bucket->m_applicants[asker];
  if (applicant.m_questions == 0) {
    applicant.m_first_asked_at = now;
  }
  applicant.m_asked_at = now;
  applicant.m_reserve = question.m_reserve;
  ++applicant.m_questions;
}

// What the owner, if it still runs, holds back for those that come to this
// instance, and the unused rest if all do.
double QuotaOwner::RateBesideOwner(const Bucket& bucket,
                                   const TenantLimit& limit,
                                   double part,
                                   TimePoint now) {
  double reserved = 0;
  double free = std::min(limit.m_rate,
                         kHandoverBaseRate + kHandoverRateShare * limit.m_rate);
  for (const auto& [name, each] : bucket.m_applicants) {
    if (each.m_reserve.has_value()) {
      reserved += HasLeft(each, now) ? 0 : each.m_reserve->m_rate;
      free = std::min(free, each.m_reserve->m_free_rate);
    }
  }
  return reserved + (HasAll(bucket, part) ? part * free : 0);
}

bool QuotaOwner::HasLeft(const Applicant& applicant, TimePoint now) {
  if (applicant.m_questions < kQuestionsForGap) {
    return false;
  }
  const Duration gap = (applicant.m_asked_at - applicant.m_first_asked_at) /
                       (applicant.m_questions - 1);
  return now - applicant.m_asked_at > std::max(kMinStay, kStayGaps * gap);
}

// Whether all instances come to this one, of which it has seen `part`: how
// often the others have asked tells how many have had no request to ask for
// yet.
bool QuotaOwner::HasAll(const Bucket& bucket, double part) {
  double questions = 0;
  for (const auto& [name, applicant] : bucket.m_applicants) {
    questions += applicant.m_questions;
  }
  const double mean =
      questions / static_cast<double>(bucket.m_applicants.size());
  // The mean of a Poisson distribution without its zeros is l / (1 - exp(-l)).
  double expected = mean;
  for (int i = 0; i < kMeanIterations; ++i) {
    expected = mean * (1 - std::exp(-expected));
  }
  return part >= kPartOfAll * (1 - std::exp(-expected));
}

double QuotaOwner::HeldBack(const std::string& tenant, TimePoint now) const {
  const auto found = m_buckets.find(tenant);
  return found == m_buckets.end() ? 0 : found->second.m_askers.HeldBack(now);
}

double QuotaOwner::Refill(const Bucket& bucket, double rate, TimePoint now) {
  const TimePoint slow_until =
      std::clamp(bucket.m_owned_since + kHandoverTime, bucket.m_filled_at, now);
  const double slow_rate =
      std::min(rate, kHandoverBaseRate + kHandoverRateShare * rate);
  return slow_rate * Seconds(slow_until - bucket.m_filled_at) +
         rate * Seconds(now - slow_until);
}

void QuotaOwner::Forget(TimePoint now) {
  std::erase_if(m_buckets, [now](const auto& entry) {
    return now - entry.second.m_filled_at > kForgetAfter;
  });
}

double OwnedShare(std::size_t live, std::size_t largest) {
  return std::min(1.0, kSumOfShares * static_cast<double>(live) /
                           static_cast<double>(std::max(live, largest)));
}

double PassedOverOwners::Record(const std::string& owner,
                                const std::string& asker,
                                std::size_t instances,
                                TimePoint now) {
  for (auto& [each, askers] : m_askers) {
    std::erase_if(askers, [now](const auto& entry) {
      return now - entry.second > kRetention;
    });
  }
  std::erase_if(m_askers,
                [](const auto& entry) { return entry.second.empty(); });
  m_askers[owner][asker] = now;
  const std::size_t others = std::max<std::size_t>(2, instances) - 1;
  return std::min(1.0, static_cast<double>(m_askers[owner].size()) /
                           static_cast<double>(others));
}

std::optional<std::size_t> OwnerOf(std::string_view tenant,
                                   std::span<const std::string> instances) {
  std::optional<std::size_t> owner;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < instances.size(); ++i) {
    const std::uint64_t score = util::Hash(tenant, util::Hash(instances[i]));
    if (!owner.has_value() || score > highest) {
      owner = i;
      highest = score;
    }
  }
  return owner;
}

bool QuotaLease::TryTake(TimePoint now) {
  const double seconds =
      m_counted_at == TimePoint::min() ? 0 : Seconds(now - m_counted_at);
  m_demand =
      m_demand * std::exp(-seconds / kDemandSeconds) + 1 / kDemandSeconds;
  m_counted_at = now;
  return TryTakeForWaiting(now);
}

bool QuotaLease::TryTakeForWaiting(TimePoint now) {
  Expire(now);
  if (m_tokens == 0) {
    return false;
  }
  --m_tokens;
  return true;
}

std::uint32_t QuotaLease::Wanted(std::size_t waiting, TimePoint now) {
  const double demand =
      m_demand * std::exp(-Seconds(now - m_counted_at) / kDemandSeconds);
  const double ahead = std::floor(demand * kAheadSeconds);
  return static_cast<std::uint32_t>(
      std::min<double>(static_cast<double>(waiting) + ahead, kMaxPortion));
}

std::uint32_t QuotaLease::TakeReturned(TimePoint now) {
  Expire(now);
  return std::exchange(m_expired, 0);
}

void QuotaLease::Add(const QuotaAnswer& answer, TimePoint now) {
  Expire(now);
  m_tokens += answer.m_granted;
  m_expires_at = now + kLifetime;
  m_denied_at = answer.m_granted > 0 ? m_denied_at : now;
  m_denied_until = answer.m_granted > 0
                       ? TimePoint::min()
                       : now + std::min(answer.m_retry_after, kMaxDenial);
}

void QuotaLease::Expire(TimePoint now) {
  if (now >= m_expires_at) {
    m_expired += std::exchange(m_tokens, 0);
  }
}

}  // namespace guavacross::policy
