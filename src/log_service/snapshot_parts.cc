#include "log_service/snapshot_parts.h"

#include <config.pb.h>

#include <algorithm>
#include <utility>

#include "util/handle.h"
#include "util/hash.h"

namespace guavacross::log_service {

namespace {

constexpr std::uint32_t kPartMagic = 0x31505847;  // "GXP1"

}  // namespace

std::vector<std::string> EncodeParts(const ConfigSnapshot& snapshot,
                                     std::uint64_t written_at_ms,
                                     std::size_t part_bytes) {
  const std::string encoded = EncodeSnapshot(snapshot);
  const std::size_t count = (encoded.size() + part_bytes - 1) / part_bytes;
  std::vector<std::string> records;
  for (std::size_t i = 0; i < count; ++i) {
    config_proto::SnapshotPart part;
    part.set_magic(kPartMagic);
    part.set_as_of(snapshot.m_as_of);
    part.set_index(static_cast<std::uint32_t>(i));
    part.set_count(static_cast<std::uint32_t>(count));
    part.set_digest(util::Hash(encoded));
    part.set_written_at_ms(written_at_ms);
    part.set_data(encoded.substr(i * part_bytes, part_bytes));
    records.push_back(part.SerializeAsString());
  }
  return records;
}

Result<SnapshotPart> DecodePart(const std::string& data) {
  config_proto::SnapshotPart in;
  if (!in.ParseFromString(data) || in.magic() != kPartMagic ||
      in.index() >= in.count() || in.count() > kMaxSnapshotParts) {
    return Fail(ErrorKind::kBadMessage, "not a part of a snapshot");
  }
  return SnapshotPart{.m_as_of = in.as_of(),
                      .m_index = in.index(),
                      .m_count = in.count(),
                      .m_digest = in.digest(),
                      .m_written_at_ms = in.written_at_ms(),
                      .m_data = in.data()};
}

void SnapshotAssembler::Add(const std::string& data) {
  auto part = util::Catch([&data] { return DecodePart(data); });
  if (part) {
    SnapshotPart& value = *part.m_value;
    auto& set = m_part_sets[{value.m_as_of, value.m_digest, value.m_count}];
    set.insert_or_assign(value.m_index, std::move(value));
  }
}

std::optional<ConfigSnapshot> SnapshotAssembler::Newest() const {
  for (auto set = m_part_sets.rbegin(); set != m_part_sets.rend(); ++set) {
    const auto& [as_of, digest, count] = set->first;
    if (set->second.size() != count) {
      continue;
    }
    std::string encoded;
    for (const auto& [index, part] : set->second) {
      encoded += part.m_data;
    }
    if (util::Hash(encoded) != digest) {
      continue;
    }
    auto snapshot = util::Catch([&encoded] { return DecodeSnapshot(encoded); });
    if (snapshot && snapshot.m_value->m_as_of == as_of) {
      return std::move(snapshot.m_value);
    }
  }
  return std::nullopt;
}

std::uint64_t SnapshotAssembler::WrittenAtMs(std::uint64_t as_of) const {
  std::uint64_t latest = 0;
  for (const auto& [key, set] : m_part_sets) {
    for (const auto& [index, part] : set) {
      latest = part.m_as_of == as_of ? std::max(latest, part.m_written_at_ms)
                                     : latest;
    }
  }
  return latest;
}

}  // namespace guavacross::log_service
