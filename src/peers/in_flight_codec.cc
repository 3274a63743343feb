#include "peers/in_flight_codec.h"

#include <algorithm>
#include <utility>

#include "util/hash.h"

namespace guavacross::peers {

namespace {

constexpr std::size_t kMaxReportedTargets = 256;
constexpr int kMaxInFlightCount = 100'000;

std::uint32_t HashOf(const std::string& service, const std::string& target) {
  return static_cast<std::uint32_t>(util::Hash(target, util::Hash(service)));
}

}  // namespace

void WriteInFlight(const InFlightCounts& counts, proto::Heartbeat* out) {
  std::vector<std::pair<int, std::uint32_t>> by_count;
  for (const auto& [service, targets] : counts) {
    for (const auto& [target, count] : targets) {
      if (count > 0) {
        by_count.emplace_back(count, HashOf(service, target));
      }
    }
  }
  if (by_count.size() > kMaxReportedTargets) {
    std::nth_element(by_count.begin(), by_count.begin() + kMaxReportedTargets,
                     by_count.end(), std::greater<>());
    by_count.resize(kMaxReportedTargets);
  }
  out->set_has_in_flight(true);
  for (const auto& [count, hash] : by_count) {
    out->add_target_hashes(hash);
    out->add_in_flight(static_cast<std::uint32_t>(count));
  }
}

void TargetNames::Set(const std::string& service,
                      const std::vector<std::string>& targets) {
  for (const std::uint32_t hash : m_hashes[service]) {
    m_names.erase(hash);
  }
  m_hashes.erase(service);
  for (const std::string& target : targets) {
    const std::uint32_t hash = HashOf(service, target);
    m_names[hash] = {.m_service = service, .m_target = target};
    m_hashes[service].push_back(hash);
  }
}

CountsByService TargetNames::Read(const proto::Heartbeat& heartbeat) const {
  CountsByService counts;
  const int size =
      std::min(heartbeat.target_hashes_size(), heartbeat.in_flight_size());
  for (int i = 0; i < size; ++i) {
    const auto found = m_names.find(heartbeat.target_hashes(i));
    if (found == m_names.end()) {
      continue;
    }
    const auto count =
        std::min<std::uint32_t>(heartbeat.in_flight(i), kMaxInFlightCount);
    counts[found->second.m_service].emplace_back(found->second.m_target,
                                                 static_cast<int>(count));
  }
  return counts;
}

}  // namespace guavacross::peers
