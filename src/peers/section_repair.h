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

/// Returns one digest of section names and versions per bucket, or nothing if
/// there are no sections.
std::vector<std::uint64_t> BucketDigests(
    const std::vector<SectionState>& sections);

/// Answers a request for sections. `max_bytes` limits the reply, but the first
/// section is sent even if it is larger.
void AnswerSections(const proto::SectionsRequest& request,
                    const std::vector<SectionState>& sections,
                    std::size_t max_bytes,
                    proto::SectionsReply* reply);

/// A token bucket that limits the bytes fetched by anti-entropy. Replies are
/// charged after they were received.
class RepairBudget {
 public:
  RepairBudget(double bytes_per_second, std::size_t burst_bytes);

  /// Bytes that may be fetched now.
  std::size_t Available(TimePoint now);
  /// Charges received bytes; the budget may go below zero.
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
