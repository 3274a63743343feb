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

/// Snapshots as records of the snapshot stream.
///
/// An encoded snapshot is cut into parts, for a log service takes no records
/// of many megabytes. Parts of equal snapshots are equal whoever wrote them, so
/// the parts of several writers may be joined.
namespace guavacross::log_service {

struct SnapshotPart {
  std::uint64_t m_as_of = 0;
  std::uint32_t m_index = 0;
  std::uint32_t m_count = 0;
  /// Hash of the whole encoded snapshot.
  std::uint64_t m_digest = 0;
  /// The writer's wall clock, in milliseconds since 1970.
  std::uint64_t m_written_at_ms = 0;
  std::string m_data;

  bool operator==(const SnapshotPart&) const = default;
};

inline constexpr std::size_t kSnapshotPartBytes = std::size_t{256} * 1024;
/// Bounds what a bad record can make a reader keep.
inline constexpr std::uint32_t kMaxSnapshotParts = 4096;

/// Cuts a snapshot into the records to append, in order; at least one.
std::vector<std::string> EncodeParts(
    const ConfigSnapshot& snapshot,
    std::uint64_t written_at_ms,
    std::size_t part_bytes = kSnapshotPartBytes);

/// Errors: `kBadMessage`.
Result<SnapshotPart> DecodePart(const std::string& data);

/// Joins parts, in any order and from any writers.
class SnapshotAssembler {
 public:
  /// Takes one record; one that is no part is ignored.
  void Add(const std::string& data);

  /// The complete snapshot with the largest `as_of`, if any.
  std::optional<ConfigSnapshot> Newest() const;

  /// When the parts of the snapshot as of `as_of` were written, at the latest.
  std::uint64_t WrittenAtMs(std::uint64_t as_of) const;

 private:
  /// As-of offset, digest and count: the same for all parts of a snapshot.
  using SetKey = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;
  std::map<SetKey, std::map<std::uint32_t, SnapshotPart>> m_sets;
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_SNAPSHOT_PARTS_H_
