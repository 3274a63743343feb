#include "policy/quota_askers.h"

#include <algorithm>
#include <cmath>

namespace guavacross::policy {

namespace {

// Time constant of the tokens per second.
constexpr double kRateSeconds = 1;

// Weight of a new gap in the moving average.
constexpr double kGapGain = 0.2;

// An instance asks regularly if it has done so for this long and so often, and
// if its silence would show within the last time. After a few questions the
// averages say little.
constexpr Duration kRegularTime = std::chrono::milliseconds(500);
constexpr int kRegularQuestions = 8;
constexpr Duration kMaxSilence = std::chrono::milliseconds(500);

// The longest silence after which the tokens that were held back are given.
constexpr Duration kMaxShortSilence = std::chrono::seconds(1);

// How long an instance counts as short of tokens.
constexpr Duration kShortTime = std::chrono::milliseconds(500);

// How long an instance waits for an answer before it turns to another owner.
constexpr Duration kAnswerTime = std::chrono::milliseconds(150);

// An instance is silent after its usual gap and this many times the deviation
// of its gaps, as in TCP's retransmission timer (RFC 6298).
constexpr int kDeviations = 4;

}  // namespace

void QuotaAskers::Record(const std::string& asker,
                         bool is_self,
                         double wanted,
                         double granted,
                         TimePoint now) {
  std::erase_if(m_askers, [now](const auto& entry) {
    return now - entry.second.m_asked_at > kReserveTime;
  });
  Asker& record = m_askers[asker];
  record.m_is_self = is_self;
  RecordQuestion(&record, wanted, granted, now);
  if (!is_self) {
    RecordQuestion(&m_others, wanted, granted, now);
  }
}

void QuotaAskers::RecordQuestion(Asker* asker,
                                 double wanted,
                                 double granted,
                                 TimePoint now) {
  const bool is_first = asker->m_asked_at == TimePoint::min();
  const Duration gap = is_first ? Duration::max() : now - asker->m_asked_at;
  if (gap > kMaxSilence) {
    if (gap > kReserveTime || !IsRegular(*asker)) {
      asker->m_regular_since = now;
      asker->m_questions = 0;
      asker->m_gap = Duration::zero();
      asker->m_deviation = Duration::zero();
    }
  } else {
    const Duration off = gap - asker->m_gap;
    asker->m_deviation += FromSeconds(
        kGapGain * Seconds(std::chrono::abs(off) - asker->m_deviation));
    asker->m_gap += FromSeconds(kGapGain * Seconds(off));
  }
  asker->m_rate = (is_first ? 0 : RateNow(*asker, now)) +
                  std::max(0.0, granted) / kRateSeconds;
  if (granted < wanted) {
    asker->m_short_at = now;
  }
  asker->m_asked_at = now;
  ++asker->m_questions;
}

double QuotaAskers::HeldBackInVain(const std::string& asker,
                                   TimePoint now) const {
  const auto found = m_askers.find(asker);
  if (found == m_askers.end() || found->second.m_is_self ||
      !IsSilent(found->second, now)) {
    return 0;
  }
  const Duration silence = now - found->second.m_asked_at;
  return silence > kMaxShortSilence
             ? 0
             : found->second.m_reserve *
                   Seconds(silence - SilentAfter(found->second));
}

double QuotaAskers::HeldBack(TimePoint now) const {
  double sum = 0;
  for (const auto& [name, asker] : m_askers) {
    sum += !asker.m_is_self && IsSilent(asker, now) ? asker.m_reserve : 0;
  }
  // Many instances that ask seldom are as regular together as one that asks
  // often.
  return IsSilent(m_others, now) ? std::max(sum, m_others.m_rate) : sum;
}

// An instance that is short of tokens may have had less than its part, since
// the owner's own questions arrive sooner than others.
QuotaReserve QuotaAskers::Reserve(const std::string& asker,
                                  double rate,
                                  TimePoint now) {
  double free = rate;
  for (const auto& [name, each] : m_askers) {
    free -= each.m_is_self || IsRegular(each) ? RateNow(each, now) : 0;
  }
  QuotaReserve reserve{.m_free_rate = std::max(0.0, free)};
  const auto found = m_askers.find(asker);
  if (found == m_askers.end() || found->second.m_is_self) {
    return reserve;
  }
  Asker& record = found->second;
  if (IsRegular(record)) {
    const bool is_short = record.m_short_at != TimePoint::min() &&
                          now - record.m_short_at < kShortTime;
    const double part =
        is_short ? rate / std::max(2.0, static_cast<double>(m_askers.size()))
                 : 0;
    reserve.m_rate = std::min(rate, std::max(record.m_rate, part));
  }
  record.m_reserve = reserve.m_rate;
  return reserve;
}

bool QuotaAskers::IsRegular(const Asker& asker) {
  return asker.m_questions >= kRegularQuestions &&
         asker.m_asked_at - asker.m_regular_since >= kRegularTime &&
         SilentAfter(asker) <= kMaxSilence;
}

bool QuotaAskers::IsSilent(const Asker& asker, TimePoint now) {
  return IsRegular(asker) && now - asker.m_asked_at > SilentAfter(asker) &&
         now - asker.m_asked_at <= kReserveTime;
}

Duration QuotaAskers::SilentAfter(const Asker& asker) {
  return asker.m_gap + std::max(kAnswerTime, kDeviations * asker.m_deviation);
}

double QuotaAskers::RateNow(const Asker& asker, TimePoint now) {
  return asker.m_rate *
         std::exp(-Seconds(now - asker.m_asked_at) / kRateSeconds);
}

void KnownReserve::RecordAnswer(const QuotaReserve& reserve, TimePoint now) {
  m_reserve = reserve;
  m_answered_at = now;
  m_missing_since = TimePoint::min();
}

void KnownReserve::RecordNoAnswer(TimePoint now) {
  if (m_missing_since == TimePoint::min()) {
    m_missing_since = now;
  }
}

std::optional<QuotaReserve> KnownReserve::OfMissingOwner(TimePoint now) const {
  const bool is_held_back =
      m_reserve.has_value() && m_missing_since != TimePoint::min() &&
      now - m_missing_since <= QuotaAskers::kReserveTime &&
      m_missing_since - m_answered_at <= QuotaAskers::kReserveTime;
  return is_held_back ? m_reserve : std::nullopt;
}

}  // namespace guavacross::policy
