#ifndef GUAVACROSS_LOG_SERVICE_SNAPSHOT_PARTS_H_
#define GUAVACROSS_LOG_SERVICE_SNAPSHOT_PARTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "guavacross/config_state.h"
#include "guavacross/error.h"

/// Encoding of snapshots as records of the snapshot stream.
///
/// An encoded snapshot is split into parts, because the log service doesn't
/// accept records of many megabytes. Apart from the time of writing, the parts
/// of equal snapshots are equal for all writers, so parts from several writers
/// can be joined.
namespace guavacross::log_service {

struct SnapshotPart {
  std::uint64_t m_as_of = 0;
  std::uint32_t m_index = 0;
  std::uint32_t m_count = 0;
  /// Hash of the complete encoded snapshot.
  std::uint64_t m_digest = 0;
  /// The writer's wall clock, in milliseconds since 1970.
  std::uint64_t m_written_at_ms = 0;
  std::string m_data;

  bool operator==(const SnapshotPart&) const = default;
};

inline constexpr std::size_t kSnapshotPartBytes = std::size_t{256} * 1024;
/// Limits the memory that a malformed record can make a reader use.
inline constexpr std::uint32_t kMaxSnapshotParts = 4096;

/// Splits a snapshot into the records to append, in order; at least one.
std::vector<std::string> EncodeParts(
    const ConfigSnapshot& snapshot,
    std::uint64_t written_at_ms,
    std::size_t part_bytes = kSnapshotPartBytes);

/// Decodes one record of the snapshot stream. Errors: `kBadMessage`.
Result<SnapshotPart> DecodePart(const std::string& data);

/// Joins parts, in any order and from any writers. Not thread safe.
class SnapshotAssembler {
 public:
  /// Adds one record of the snapshot stream. Ignores records that are not a
  /// valid part.
  void Add(const std::string& data);

  /// Returns the complete snapshot with the largest as-of offset, if any.
  std::optional<ConfigSnapshot> Newest() const;

  /// Returns the latest time of writing among the parts as of `as_of`, in
  /// milliseconds since 1970; 0 if there are none.
  std::uint64_t WrittenAtMs(std::uint64_t as_of) const;

 private:
  /// As-of offset, digest and part count, which all parts of a snapshot share.
  using PartSetKey = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;
  std::map<PartSetKey, std::map<std::uint32_t, SnapshotPart>> m_part_sets;
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_SNAPSHOT_PARTS_H_
