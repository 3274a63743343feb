#ifndef GUAVACROSS_PEERS_SECTION_REPAIR_H_
#define GUAVACROSS_PEERS_SECTION_REPAIR_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "guavacross/config_state.h"
#include "guavacross/time.h"
#include "peers.pb.h"

/// Anti-entropy for configuration sections.
///
/// Sections are spread over buckets by a hash of their name. An instance whose
/// digest differs from a peer's sends one digest per bucket and gets the
/// sections of the buckets that differ, page by page.
namespace guavacross::peers {

inline constexpr std::size_t kSectionBuckets = 256;

/// A digest of names and versions per bucket; empty for no sections.
std::vector<std::uint64_t> BucketDigests(
    const std::vector<SectionState>& sections);

/// Answers a request for sections; `max_bytes` bounds the answer, but one
/// section is always sent.
void AnswerSections(const proto::SectionsRequest& request,
                    const std::vector<SectionState>& sections,
                    std::size_t max_bytes,
                    proto::SectionsReply* reply);

/// Bytes that may be fetched: a token bucket over what was received.
class RepairBudget {
 public:
  RepairBudget(double bytes_per_second, std::size_t burst_bytes);

  /// Bytes that may be fetched now.
  std::size_t Available(TimePoint now);
  /// Charges what was received; the budget may go below zero.
  void Charge(std::size_t bytes);

 private:
  double m_bytes_per_second;
  double m_burst;
  double m_tokens;
  bool m_has_started = false;
  TimePoint m_refilled_at;
};

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_SECTION_REPAIR_H_
