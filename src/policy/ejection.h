#ifndef GUAVACROSS_POLICY_EJECTION_H_
#define GUAVACROSS_POLICY_EJECTION_H_

#include "guavacross/document.h"
#include "guavacross/time.h"

namespace guavacross::policy {

/// What an attempt's end says of its target's health.
enum class Verdict {
  kGood,
  /// Refused as not run: the target sheds load, which isn't an error unless it
  /// goes on and on.
  kRefused,
  kBad,
};

/// Whether one target is left out because it fails.
///
/// A target is ejected after consecutive errors, or when most of its recent
/// attempts failed. Each ejection lasts twice as long as the one before, up to
/// a limit; afterwards a single error ejects it again until it has proved good.
/// Whether the ejection is heeded is the pool's decision (`IsPanic`). Not
/// thread safe.
class Ejection {
 public:
  /// Records an attempt's end.
  /// @return true if this ejects the target.
  bool Record(Verdict verdict, const EjectionConfig& config, TimePoint now);

  bool IsEjected(TimePoint now) const { return now < m_until; }

  /// When the ejection ends or ended.
  TimePoint until() const { return m_until; }

  /// Forgets everything: the target has been restarted.
  void Reset() { *this = Ejection(); }

 private:
  void Eject(const EjectionConfig& config, TimePoint now);

  double m_consecutive = 0;
  double m_error_rate = 0;
  int m_samples = 0;
  int m_times = 0;
  int m_good_since = 0;
  TimePoint m_until = TimePoint::min();
};

/// Whether so many of a pool's targets are ejected that leaving them out would
/// overload the rest: then attempts spread over all of them.
bool IsPanic(int ejected, int targets, const EjectionConfig& config);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_EJECTION_H_
