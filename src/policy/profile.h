#ifndef GUAVACROSS_POLICY_PROFILE_H_
#define GUAVACROSS_POLICY_PROFILE_H_

#include "guavacross/document.h"
#include "guavacross/time.h"
#include "policy/target_load.h"

namespace guavacross::policy {

/// The numbers in which the two profiles of the document differ.
struct ProfileParameters {
  /// Targets looked at for each choice.
  int m_samples = 2;
  /// A target is probed only if its last reading is older than this.
  Duration m_probe_after{};
  /// Hedges wait for at least this percentile, 0 to 100.
  double m_least_hedge_percentile = 0;
  LoadAging m_aging;

  bool operator==(const ProfileParameters&) const = default;
};

/// The parameters of a profile. Pure.
///
/// Measuring first: readings are kept for longer, a probe is paid for only
/// after a second without an answer, and hedges, which cost backend time too,
/// wait for the 99th percentile. Tail first: the whole probe budget may be
/// spent on keeping readings younger than 100 ms.
ProfileParameters ParametersOf(Profile profile);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_PROFILE_H_
