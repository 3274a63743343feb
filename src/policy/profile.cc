#include "policy/profile.h"

namespace guavacross::policy {

ProfileParameters ParametersOf(Profile profile) {
  using std::chrono::milliseconds;
  if (profile == Profile::kMeasuringFirst) {
    return {.m_samples = 2,
            .m_probe_after = milliseconds(1000),
            .m_min_hedge_percentile = 99,
            .m_aging = {.m_report_lifetime = milliseconds(1000)}};
  }
  return {.m_samples = 3, .m_probe_after = milliseconds(100)};
}

}  // namespace guavacross::policy
