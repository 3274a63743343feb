#include "peers/section_repair.h"

#include <algorithm>

#include "peers/peer_codec.h"
#include "util/hash.h"

namespace guavacross::peers {

namespace {

std::size_t BucketOf(const std::string& name) {
  return util::Hash(name) % kSectionBuckets;
}

}  // namespace

std::vector<std::uint64_t> BucketDigests(
    const std::vector<SectionState>& sections) {
  if (sections.empty()) {
    return {};
  }
  // A sum of hashes doesn't depend on the sections' order.
  std::vector<std::uint64_t> digests(kSectionBuckets, 0);
  for (const SectionState& section : sections) {
    digests[BucketOf(section.m_section)] +=
        util::Hash(section.m_section, section.m_version);
  }
  return digests;
}

void AnswerSections(const proto::SectionsRequest& request,
                    const std::vector<SectionState>& sections,
                    std::size_t max_bytes,
                    proto::SectionsReply* reply) {
  const std::vector<std::uint64_t> own = BucketDigests(sections);
  const bool has_no_digests =
      request.bucket_digests_size() != static_cast<int>(kSectionBuckets);
  std::vector<const SectionState*> wanted;
  for (const SectionState& section : sections) {
    const std::size_t bucket = BucketOf(section.m_section);
    const bool differs =
        has_no_digests ||
        own[bucket] != request.bucket_digests(static_cast<int>(bucket));
    if (differs && section.m_section > request.after()) {
      wanted.push_back(&section);
    }
  }
  std::sort(wanted.begin(), wanted.end(),
            [](const SectionState* left, const SectionState* right) {
              return left->m_section < right->m_section;
            });
  std::size_t bytes = 0;
  for (const SectionState* section : wanted) {
    bytes += section->m_section.size() + section->m_team.size() +
             section->m_toml.size();
    if (bytes > max_bytes && reply->sections_size() > 0) {
      reply->set_more(true);
      return;
    }
    FromSection(*section, reply->add_sections());
    reply->set_last_name(section->m_section);
  }
}

RepairBudget::RepairBudget(double bytes_per_second, std::size_t burst_bytes)
    : m_bytes_per_second(bytes_per_second),
      m_burst(static_cast<double>(burst_bytes)),
      m_tokens(m_burst) {}

std::size_t RepairBudget::Available(TimePoint now) {
  if (m_has_started) {
    m_tokens = std::min(
        m_burst, m_tokens + Seconds(now - m_refilled_at) * m_bytes_per_second);
  }
  m_has_started = true;
  m_refilled_at = now;
  return m_tokens < 1 ? 0 : static_cast<std::size_t>(m_tokens);
}

void RepairBudget::Charge(std::size_t bytes) {
  m_tokens -= static_cast<double>(bytes);
}

}  // namespace guavacross::peers
