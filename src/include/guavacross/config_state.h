#ifndef GUAVACROSS_CONFIG_STATE_H_
#define GUAVACROSS_CONFIG_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "guavacross/document.h"
#include "guavacross/error.h"
#include "guavacross/time.h"

/// Configuration as a deterministic fold over the log.
///
/// `ConfigFold` applies the records of the config stream in order; every
/// instance that has applied the same prefix holds the same state.
/// `ConfigInForce` holds, per section, the highest version known from the
/// instance's own fold and from its peers; versions never decrease.
namespace guavacross {

/// An edit of one section, as an operator publishes it.
struct ConfigEdit {
  int m_schema = 0;
  std::string m_section;
  std::string m_team;
  /// The version that the edit replaces; 0 for a new section.
  std::uint64_t m_based_on = 0;
  /// Unique per edit; the same when the edit is appended again.
  std::string m_edit_id;
  /// The section's text; empty removes the section.
  std::string m_toml;
  /// The team that owns the section after the edit; empty means `m_team`. The
  /// owning team transfers a section by naming another team here.
  std::string m_owner;

  bool operator==(const ConfigEdit&) const = default;
};

/// A section's state after an accepted edit.
struct SectionState {
  std::string m_section;
  std::string m_team;
  /// Offset of the accepted edit in the config stream, plus one.
  std::uint64_t m_version = 0;
  /// Empty for a section that has been removed.
  std::string m_toml;
  /// The schema version of `m_toml`.
  int m_schema = 0;
  /// The newest text of each lower schema version, for instances of older
  /// releases. The state is the same on every release; `ServiceInForce` selects
  /// the text.
  std::map<int, std::string> m_fallbacks;

  bool operator==(const SectionState&) const = default;
};

/// The verdict on one edit: whether it was accepted, and if not, why.
struct EditVerdict {
  std::string m_edit_id;
  std::string m_section;
  bool m_accepted = false;
  /// The section's version after the verdict.
  std::uint64_t m_version = 0;
  /// Why the edit was refused.
  std::string m_reason;
  /// The offset of the edit's first record.
  std::uint64_t m_offset = 0;

  bool operator==(const EditVerdict&) const = default;
};

/// The complete state of the fold at an offset.
struct ConfigSnapshot {
  /// The first offset that has not been applied.
  std::uint64_t m_as_of = 0;
  std::map<std::string, SectionState> m_sections;
  /// Verdicts on recent edits by edit id, so that an edit that is appended
  /// again after the snapshot still has no effect.
  std::map<std::string, EditVerdict> m_recent_edits;

  bool operator==(const ConfigSnapshot&) const = default;
};

/// Verdicts are kept for this many offsets of the config stream after their
/// edit. An accepted edit that is appended again later is refused, because its
/// base version is outdated.
inline constexpr std::uint64_t kVerdictRetentionOffsets = 4096;

/// Largest size of a section's text, in bytes.
inline constexpr std::size_t kMaxSectionBytes = std::size_t{1} << 20;

/// Serialization of edits and snapshots for the log streams. Errors of the
/// decoders: `kBadMessage`.
std::string EncodeEdit(const ConfigEdit& edit);
Result<ConfigEdit> DecodeEdit(const std::string& data);
std::string EncodeSnapshot(const ConfigSnapshot& snapshot);
Result<ConfigSnapshot> DecodeSnapshot(const std::string& data);
/// Serialization of sections for other instances. Errors: as for `DecodeEdit`.
std::string EncodeSections(const std::vector<SectionState>& sections);
Result<std::vector<SectionState>> DecodeSections(const std::string& data);

/// The service configuration that a section puts in force on this release, from
/// its newest text in a schema version that this release supports. Nothing for
/// a section that has been removed or has no such text. Thread safe.
std::optional<ServiceConfig> ServiceInForce(const SectionState& section);

/// Applies the records of the config stream in order. Not thread safe.
class ConfigFold {
 public:
  ConfigFold() = default;
  explicit ConfigFold(ConfigSnapshot snapshot);

  /// Applies the record at `offset`, which must be greater than the last
  /// applied one. A record that can't be decoded, or has another release's
  /// schema version, is handled the same way on every instance.
  EditVerdict Apply(std::uint64_t offset, const std::string& data);

  const ConfigSnapshot& state() const { return m_state; }

  /// A hash of the state, equal for equal states.
  std::uint64_t Digest() const;

 private:
  std::string Judge(const ConfigEdit& edit) const;
  void Accept(std::uint64_t offset, const ConfigEdit& edit);
  void Remember(const EditVerdict& verdict);
  void ForgetOldVerdicts();

  ConfigSnapshot m_state;
  /// Sum of the hashes of all sections and verdicts, updated incrementally
  /// because the digest is read after every record.
  std::uint64_t m_content_hash = 0;
  /// Offsets and ids of the remembered edits, oldest first.
  std::deque<std::pair<std::uint64_t, std::string>> m_edit_order;
};

/// Sections in force on this instance. Not thread safe: control thread only.
class ConfigInForce {
 public:
  /// Called for each section whose version has increased.
  using ChangeHook = std::function<void(const SectionState&)>;

  explicit ConfigInForce(ChangeHook on_change);

  /// Puts in force the sections that are newer than the current ones and
  /// ignores the rest.
  ///
  /// @return the number of sections put in force.
  int Merge(const std::vector<SectionState>& sections);

  const std::map<std::string, SectionState>& sections() const {
    return m_sections;
  }

  /// A hash of section names and versions.
  std::uint64_t Digest() const { return m_digest; }

  /// The highest version of any section; 0 if there is none.
  std::uint64_t highest_version() const { return m_highest_version; }

 private:
  ChangeHook m_on_change;
  std::map<std::string, SectionState> m_sections;
  /// Updated incrementally, because each heartbeat carries them.
  std::uint64_t m_digest = 0;
  std::uint64_t m_highest_version = 0;
};

}  // namespace guavacross

#endif  // GUAVACROSS_CONFIG_STATE_H_
