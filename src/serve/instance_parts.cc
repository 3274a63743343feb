#include "serve/instance_parts.h"

#include "util/hash.h"

namespace guavacross::serve {

std::uint64_t NewIncarnation(const Clock& clock) {
  return static_cast<std::uint64_t>(
      clock.m_wall_now().time_since_epoch().count());
}

std::vector<std::string> TargetNames(const ServiceConfig& service) {
  std::vector<std::string> names;
  for (const TargetConfig& target : service.m_targets) {
    names.push_back(target.m_name);
  }
  return names;
}

peers::PeerOptions MakePeerOptions(const Member& self,
                                   const Clock& clock,
                                   util::Metrics* metrics) {
  peers::PeerOptions options;
  options.m_self = self.m_id;
  options.m_region = self.m_region;
  options.m_zone = self.m_zone;
  options.m_callers = self.m_callers;
  options.m_listen = self.m_peers;
  options.m_clock = clock;
  options.m_metrics = metrics;
  options.m_seed = util::Hash(self.m_id.m_name, self.m_id.m_incarnation + 1);
  return options;
}

}  // namespace guavacross::serve
