#ifndef GUAVACROSS_POLICY_PROFILE_H_
#define GUAVACROSS_POLICY_PROFILE_H_

#include "guavacross/document.h"
#include "guavacross/time.h"
#include "policy/target_load.h"

namespace guavacross::policy {

/// The parameters that depend on the profile set in the document.
struct ProfileParameters {
  /// Targets sampled for each selection.
  int m_samples = 2;
  /// A target is probed only if its last report is older than this.
  Duration m_probe_after{};
  /// Hedges are sent no earlier than this latency percentile, 0 to 100.
  double m_min_hedge_percentile = 0;
  LoadAging m_aging;

  bool operator==(const ProfileParameters&) const = default;
};

/// The parameters of a profile. Pure.
///
/// `kMeasuringFirst`: load reports are used for longer, a probe is sent only
/// after a second without an answer, and hedges, which cost backend time too,
/// wait for the 99th percentile. `kTailFirst`: the whole probe budget may be
/// spent on keeping load reports younger than 100 ms.
ProfileParameters ParametersOf(Profile profile);

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_PROFILE_H_
