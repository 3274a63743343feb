#ifndef GUAVACROSS_POLICY_EJECTION_H_
#define GUAVACROSS_POLICY_EJECTION_H_

#include "guavacross/document.h"
#include "guavacross/time.h"

namespace guavacross::policy {

/// What the end of an attempt indicates about its target's health.
enum class Verdict {
  kGood,
  /// Refused as not run: the target sheds load, which leads to ejection only if
  /// it persists.
  kRefused,
  kBad,
};

/// Whether one target is ejected because it fails (outlier detection).
///
/// A target is ejected after consecutive errors, or when most of its recent
/// attempts failed. Each ejection lasts twice as long as the previous one, up
/// to a limit; afterwards a single error ejects it again, until enough good
/// answers in a row have been recorded. Whether ejections are applied is the
/// pool's decision (`IsPanic`). Not thread safe.
class Ejection {
 public:
  /// Records the end of an attempt.
  /// @return true if this ejects the target.
  bool Record(Verdict verdict, const EjectionConfig& config, TimePoint now);

  bool IsEjected(TimePoint now) const { return now < m_ejected_until; }

  /// When the current or last ejection ends.
  TimePoint until() const { return m_ejected_until; }

  /// Resets all state, because the target has been restarted.
  void Reset() { *this = Ejection(); }

 private:
  void Eject(const EjectionConfig& config, TimePoint now);

  double m_consecutive_error_weight = 0;
  double m_error_rate = 0;
  int m_error_rate_samples = 0;
  int m_ejections = 0;
  int m_consecutive_good = 0;
  TimePoint m_ejected_until = TimePoint::min();
};

/// Whether so many of a pool's targets are ejected that the remaining ones
/// would be overloaded: then attempts are spread over all targets.
bool IsPanic(int ejected, int targets, const EjectionConfig& config);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_EJECTION_H_
