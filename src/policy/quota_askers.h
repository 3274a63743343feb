#ifndef GUAVACROSS_POLICY_QUOTA_ASKERS_H_
#define GUAVACROSS_POLICY_QUOTA_ASKERS_H_

#include <map>
#include <optional>
#include <string>

#include "guavacross/time.h"

namespace guavacross::policy {

/// What the owner of a tenant's limit says of the limit's use.
struct QuotaReserve {
  /// Requests per second that the owner holds back for the asking instance
  /// should it fall silent; another instance may give it as much.
  double m_rate = 0;
  /// Requests per second that neither the owner nor an instance that asks it
  /// all the time has lately used.
  double m_free_rate = 0;

  bool operator==(const QuotaReserve&) const = default;
};

/// The instances that ask an owner for one tenant's tokens.
///
/// Load pattern: a hot tenant while its owner is cut off, before any instance
/// has noticed. Those that were granted tokens all the time have fallen silent
/// and turn to another instance. The owner holds back what they had, and the
/// other instance gives each no more, so that the two don't give the limit
/// twice. Not thread safe.
class QuotaAskers {
 public:
  /// How long the part of a silent instance is held back: the members' views
  /// differ for no longer.
  static constexpr Duration kReserveTime = std::chrono::seconds(3);

  /// Records that `asker` has asked for so many tokens, and was granted some.
  /// `is_self` is true for the owner's own questions, which never fall silent.
  void Record(const std::string& asker,
              bool is_self,
              double wanted,
              double granted,
              TimePoint now);

  /// What to tell `asker`, whose question is answered under a limit of `rate`
  /// per second; so much is held back for it from now on.
  QuotaReserve Reserve(const std::string& asker, double rate, TimePoint now);

  /// The tokens that were held back for an instance that asks again and hasn't
  /// turned to another one meanwhile; to be called before `Record`.
  double HeldBackInVain(const std::string& asker, TimePoint now) const;

  /// The requests per second that are held back for silent instances.
  double HeldBack(TimePoint now) const;

 private:
  // Instances, or all other instances together.
  struct Asker {
    bool m_is_self = false;
    TimePoint m_asked_at = TimePoint::min();
    // Since when it has asked without long gaps, and how often.
    TimePoint m_regular_since;
    int m_questions = 0;
    // Moving averages of the time between questions, of its deviation and of
    // the tokens per second.
    Duration m_gap{};
    Duration m_deviation{};
    double m_rate = 0;
    // When it last was granted less than it wanted.
    TimePoint m_short_at = TimePoint::min();
    // What it has been told that is held back for it.
    double m_reserve = 0;
  };

  static void RecordQuestion(Asker* asker,
                             double wanted,
                             double granted,
                             TimePoint now);
  static bool IsRegular(const Asker& asker);
  static Duration SilentAfter(const Asker& asker);
  static bool IsSilent(const Asker& asker, TimePoint now);
  static double RateNow(const Asker& asker, TimePoint now);

  std::map<std::string, Asker> m_askers;
  Asker m_others;
};

/// What an instance knows of a tenant's reserve at an owner that stops
/// answering. Not thread safe.
class KnownReserve {
 public:
  /// The owner has answered.
  void RecordAnswer(const QuotaReserve& reserve, TimePoint now);
  /// The owner hasn't answered.
  void RecordNoAnswer(TimePoint now);

  /// What to tell another instance while the owner doesn't answer: nothing if
  /// it hadn't answered lately, or holds back nothing any more.
  std::optional<QuotaReserve> OfMissingOwner(TimePoint now) const;

 private:
  std::optional<QuotaReserve> m_reserve;
  TimePoint m_answered_at = TimePoint::min();
  // When the first question after the last answer has failed.
  TimePoint m_missing_since = TimePoint::min();
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_QUOTA_ASKERS_H_
