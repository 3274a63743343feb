#include "log_service/config_reader.h"

#include <algorithm>
#include <utility>

#include "util/log.h"

namespace guavacross::log_service {

namespace {

constexpr std::size_t kMaxRecentDigests = 256;
constexpr std::size_t kMaxListedRefusals = 20;

}  // namespace

ConfigReader::ConfigReader(ConfigReaderOptions options,
                           LogAccess access,
                           Clock clock,
                           util::Metrics& metrics,
                           ConfigReaderHooks hooks)
    : m_options(options),
      m_clock(clock),
      m_hooks(std::move(hooks)),
      m_version(metrics.Gauge("guavacross_config_version",
                              "Highest version of a section in force")),
      m_sections(metrics.Gauge("guavacross_config_sections",
                               "Sections in force, removed ones included")),
      m_lag(metrics.Gauge("guavacross_config_lag_records",
                          "Records of the config stream not yet applied")),
      m_log_reachable(metrics.Gauge("guavacross_config_log_reachable",
                                    "1 if the last read of the log service "
                                    "was answered")),
      m_rebuilds(metrics.Gauge(
          "guavacross_config_rebuilds",
          "Times the state was replaced by a snapshot or in a rebuild")),
      m_accepted(metrics.Counter("guavacross_config_edits_total",
                                 "Edits read from the log",
                                 {{"verdict", "accepted"}})),
      m_refused(metrics.Counter("guavacross_config_edits_total",
                                "Edits read from the log",
                                {{"verdict", "refused"}})),
      m_mismatches(metrics.Counter("guavacross_config_digest_mismatches_total",
                                   "Digests of peers that differed from this "
                                   "instance's at the same offset")),
      m_in_force(
          [this](const SectionState& section) { HandleChange(section); }),
      m_follower(
          options.m_follower,
          access,
          clock,
          {.m_on_sections =
               [this](const std::vector<SectionState>& sections) {
                 MergeFromLog(sections);
               },
           .m_on_verdict =
               [this](const EditVerdict& verdict) { HandleVerdict(verdict); },
           .m_on_progress = [this] { HandleProgress(); }}),
      m_writer(options.m_snapshots,
               access,
               clock,
               metrics,
               [this] { return SnapshotToWrite(); }),
      m_last_rebuild(m_clock.m_now() - options.m_rebuild_interval) {}

ConfigReader::~ConfigReader() = default;

void ConfigReader::Start() {
  m_follower.Start();
}

void ConfigReader::MergeFromPeers(const std::vector<SectionState>& sections,
                                  bool complete) {
  m_in_force.Merge(sections);
  if (complete) {
    BecomeReady();
  }
}

void ConfigReader::HandlePeerInForceDigest(std::uint64_t digest) {
  if (!m_ready && !m_in_force.sections().empty() &&
      digest == m_in_force.Digest()) {
    BecomeReady();
  }
}

Duration ConfigReader::AgeOf(const std::string& section) const {
  const auto found = m_changed_at.find(section);
  return found == m_changed_at.end() ? Duration::zero()
                                     : m_clock.m_now() - found->second;
}

std::vector<EditVerdict> ConfigReader::RefusedEdits() const {
  std::vector<EditVerdict> refused;
  for (const auto& [id, verdict] : fold().state().m_recent_edits) {
    if (!verdict.m_accepted) {
      refused.push_back(verdict);
    }
  }
  std::sort(refused.begin(), refused.end(),
            [](const EditVerdict& a, const EditVerdict& b) {
              return a.m_offset > b.m_offset;
            });
  refused.resize(std::min(refused.size(), kMaxListedRefusals));
  return refused;
}

FoldDigest ConfigReader::fold_digest() const {
  return {.m_as_of = fold().state().m_as_of, .m_digest = fold().Digest()};
}

bool ConfigReader::ComparePeerDigest(const FoldDigest& peer) {
  const auto own =
      std::find_if(m_recent_digests.begin(), m_recent_digests.end(),
                   [&peer](const FoldDigest& digest) {
                     return digest.m_as_of == peer.m_as_of;
                   });
  if (own == m_recent_digests.end() || *own == peer) {
    return true;
  }
  m_mismatches.Increment();
  const TimePoint now = m_clock.m_now();
  if (now - m_last_rebuild >= m_options.m_rebuild_interval) {
    m_last_rebuild = now;
    util::LogWarning(
        "log_service",
        "configuration digest differs from a peer's at the same offset",
        {{"as_of", std::to_string(peer.m_as_of)}});
    m_recent_digests.clear();
    m_follower.Rebuild();
  }
  return false;
}

void ConfigReader::MergeFromLog(const std::vector<SectionState>& sections) {
  m_merging_from_log = true;
  m_in_force.Merge(sections);
  m_merging_from_log = false;
  const std::vector<SectionState> raised_sections =
      std::exchange(m_raised_sections, {});
  if (!raised_sections.empty() && m_follower.status().m_caught_up &&
      m_hooks.m_on_new_versions) {
    m_hooks.m_on_new_versions(raised_sections);
  }
}

void ConfigReader::HandleVerdict(const EditVerdict& verdict) {
  (verdict.m_accepted ? m_accepted : m_refused).Increment();
  RememberDigest();
}

void ConfigReader::RememberDigest() {
  const FoldDigest digest = fold_digest();
  if (!m_recent_digests.empty() && m_recent_digests.back() == digest) {
    return;
  }
  m_recent_digests.push_back(digest);
  if (m_recent_digests.size() > kMaxRecentDigests) {
    m_recent_digests.pop_front();
  }
}

void ConfigReader::HandleProgress() {
  const FollowerStatus& status = m_follower.status();
  m_log_reachable.Set(status.m_log_reachable ? 1 : 0);
  m_rebuilds.Set(status.m_rebuilds);
  m_lag.Set(static_cast<double>(status.m_log_end -
                                std::min(status.m_as_of, status.m_log_end)));
  m_writer.SetFirstKept(status.m_first_kept);
  m_writer.UpdateNewestSnapshot(m_follower.snapshot_as_of(),
                                m_follower.snapshot_written_at_ms());
  if (!status.m_records_lost) {
    m_records_lost_at.reset();
  } else if (!m_records_lost_at) {
    m_records_lost_at = m_clock.m_now();
  }
  if (status.m_caught_up) {
    RememberDigest();
    BecomeReady();
  }
}

const ConfigSnapshot* ConfigReader::SnapshotToWrite() {
  const FollowerStatus& status = m_follower.status();
  if (m_records_lost_at) {
    const Duration lost = m_clock.m_now() - *m_records_lost_at;
    if (!m_ready || lost < m_options.m_recovery_delay) {
      return nullptr;
    }
    m_recovery_snapshot = {.m_as_of = status.m_first_kept,
                           .m_sections = m_in_force.sections()};
    return &m_recovery_snapshot;
  }
  const bool complete = status.m_caught_up && !status.m_log_shrank;
  return complete ? &fold().state() : nullptr;
}

void ConfigReader::BecomeReady() {
  if (m_ready) {
    return;
  }
  m_ready = true;
  util::LogChange("log_service", "configuration is ready",
                  {{"sections", std::to_string(m_in_force.sections().size())},
                   {"as_of", std::to_string(m_follower.status().m_as_of)}});
  if (m_hooks.m_on_ready) {
    m_hooks.m_on_ready();
  }
}

void ConfigReader::HandleChange(const SectionState& section) {
  m_changed_at[section.m_section] = m_clock.m_now();
  m_sections.Set(static_cast<double>(m_in_force.sections().size()));
  m_version.Set(
      std::max(m_version.Value(), static_cast<double>(section.m_version)));
  if (m_merging_from_log) {
    m_raised_sections.push_back(section);
  }
  if (m_hooks.m_on_change) {
    m_hooks.m_on_change(section);
  }
}

}  // namespace guavacross::log_service
