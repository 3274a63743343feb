// Property tests of the configuration fold and its readers over generated
// histories. RapidCheck prints the seed.

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "log_service/config_reader.h"
#include "log_service/fake_log.h"
#include "log_service/publisher.h"
#include "log_service/testing.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::log_service {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// One record in a generated history of the config stream.
enum class Step {
  kEdit,
  kStaleEdit,
  kOtherTeam,
  kBadText,
  kNewerSchema,
  kRemoval,
  kHandover,
  kReAppend,
  kGarbage,
};

// Generates records as operators publish them, without knowing the verdicts in
// advance.
class History {
 public:
  std::string Next(Step step) {
    const std::string section = "s" + std::to_string(*rc::gen::inRange(0, 3));
    const std::string team = "t" + std::to_string(*rc::gen::inRange(0, 2));
    const auto found = m_versions.find(section);
    const std::uint64_t version =
        found == m_versions.end() ? 0 : found->second.first;
    const std::string owner =
        found == m_versions.end() ? team : found->second.second;
    const std::string id = "e" + std::to_string(m_next_id++);
    const int slots = *rc::gen::inRange(1, 9);
    ConfigEdit edit = MakeEdit(section, owner, version, id, slots);
    switch (step) {
      case Step::kStaleEdit:
        edit.m_based_on = *rc::gen::inRange<std::uint64_t>(0, version + 2);
        break;
      case Step::kOtherTeam:
        edit.m_team = team;
        break;
      case Step::kBadText:
        edit.m_toml += "colour = 1\n";
        break;
      case Step::kNewerSchema:
        edit.m_schema = 2;
        break;
      case Step::kRemoval:
        edit.m_toml.clear();
        break;
      case Step::kHandover:
        edit.m_owner = team;
        edit.m_toml = SmallSection(team, slots);
        break;
      case Step::kReAppend:
        return m_records.empty() ? "" : *rc::gen::elementOf(m_records);
      case Step::kGarbage:
        return *rc::gen::arbitrary<std::string>();
      case Step::kEdit:
        break;
    }
    m_records.push_back(EncodeEdit(edit));
    return m_records.back();
  }

  void UpdateVersions(const ConfigFold& fold) {
    for (const auto& [name, section] : fold.state().m_sections) {
      m_versions[name] = {section.m_version, section.m_team};
    }
  }

 private:
  std::map<std::string, std::pair<std::uint64_t, std::string>> m_versions;
  std::vector<std::string> m_records;
  int m_next_id = 0;
};

rc::Gen<std::vector<Step>> Steps() {
  return rc::gen::container<std::vector<Step>>(
      rc::gen::map(rc::gen::inRange(0, static_cast<int>(Step::kGarbage) + 1),
                   [](int step) { return static_cast<Step>(step); }));
}

ConfigSnapshot SplitAndReassemble(const ConfigSnapshot& snapshot) {
  SnapshotAssembler assembler;
  auto parts = EncodeParts(snapshot, 7, 64);
  std::reverse(parts.begin(), parts.end());
  for (const std::string& part : parts) {
    assembler.Add(part);
  }
  return assembler.Newest().value();
}

}  // namespace

GUAVACROSS_TEST_CASE(ConfigFoldProperties) {
  CPPUNIT_ASSERT(rc::check(
      "a fold from any snapshot ends in the same state as a fold of all "
      "records, and versions only rise",
      [] {
        History history;
        ConfigFold full_fold;
        std::vector<ConfigFold> from_snapshots;
        std::uint64_t offset = 0;
        for (const Step step : *Steps()) {
          const auto before = full_fold.state().m_sections;
          const std::string record = history.Next(step);
          full_fold.Apply(offset, record);
          for (ConfigFold& fold : from_snapshots) {
            fold.Apply(offset, record);
          }
          for (const auto& [name, section] : before) {
            const auto& now = full_fold.state().m_sections.at(name);
            RC_ASSERT(now.m_version >= section.m_version);
            RC_ASSERT(now.m_version > section.m_version || now == section);
          }
          // Occasional jumps of the offset make verdicts expire.
          offset += *rc::gen::weightedElement<std::uint64_t>(
              {{20, 1}, {1, kVerdictRetentionOffsets / 2}});
          history.UpdateVersions(full_fold);
          from_snapshots.emplace_back(SplitAndReassemble(full_fold.state()));
        }
        for (const ConfigFold& fold : from_snapshots) {
          RC_ASSERT(fold.state() == full_fold.state());
          RC_ASSERT(fold.Digest() == full_fold.Digest());
          RC_ASSERT(EncodeSnapshot(fold.state()) ==
                    EncodeSnapshot(full_fold.state()));
        }
      }));
}

namespace {

// Two publishers and three instances that share one log, with injected faults.
class Cluster {
 public:
  Cluster() {
    m_log.SetRetention(minutes(20));
    for (int i = 0; i < 3; ++i) {
      m_instances.push_back(Start(i));
    }
    for (int i = 0; i < 2; ++i) {
      m_publishers.push_back(std::make_unique<Publisher>(
          PublisherOptions{.m_seed = static_cast<std::uint64_t>(i)},
          m_log.access(), m_clock.clock()));
      m_publishers.back()->Load([](bool) {});
    }
    m_clock.Advance(seconds(1));
  }

  // Publishes an edit from each publisher concurrently, based on the version
  // that the publisher knows.
  void Publish() {
    for (auto& publisher : m_publishers) {
      const std::string section = "s" + std::to_string(*rc::gen::inRange(0, 2));
      const auto& sections = publisher->state().m_sections;
      const auto found = sections.find(section);
      const std::uint64_t version =
          found == sections.end() ? 0 : found->second.m_version;
      publisher->Publish(MakeEdit(section, "imaging", version,
                                  "e" + std::to_string(m_next_edit_number++)),
                         [this](const util::Expected<EditVerdict>& end) {
                           if (end) {
                             m_accepted[end.m_value->m_section] =
                                 std::max(m_accepted[end.m_value->m_section],
                                          end.m_value->m_version);
                           }
                         });
    }
    m_clock.Advance(seconds(31));
  }

  void InjectFault(int fault) {
    const int instance = *rc::gen::inRange(0, 3);
    switch (fault) {
      case 0:
        m_log.LoseAnswers(*rc::gen::inRange(1, 4), LostAnswer::kApplied);
        break;
      case 1:
        m_log.LoseAnswers(*rc::gen::inRange(1, 4), LostAnswer::kNotApplied);
        break;
      case 2:
        m_log.LoseAnswers(*rc::gen::inRange(1, 4), LostAnswer::kDelayed);
        break;
      case 3:
        m_log.DeliverDelayed();
        break;
      case 4:
        // One instance always reaches the log, because records that expire
        // before any instance has read them are lost.
        m_log.SetPartitioned(std::to_string(instance % 2), true);
        break;
      case 5:
        m_log.SetPartitioned(std::to_string(instance % 2), false);
        break;
      case 6:
        m_log.SetOutage(true);
        m_clock.Advance(seconds(40));
        m_log.SetOutage(false);
        break;
      case 7:
        m_instances[instance] = Start(instance);
        break;
      case 8:
        m_clock.Advance(minutes(15));
        break;
      default:
        m_log.SetRateLimit(2);
        break;
    }
    m_clock.Advance(milliseconds(*rc::gen::inRange(0, 3000)));
    CheckNoReverts();
  }

  // Ends all faults and checks that the instances converge and that no accepted
  // edit is lost.
  void CheckConvergence() {
    m_log.LoseAnswers(0, LostAnswer::kApplied);
    m_log.SetRateLimit(0);
    m_log.DeliverDelayed();
    for (int i = 0; i < 3; ++i) {
      m_log.SetPartitioned(std::to_string(i), false);
    }
    m_clock.Advance(minutes(2));
    CheckNoReverts();
    for (const auto& instance : m_instances) {
      RC_ASSERT(instance->m_reader->ready());
      RC_ASSERT(instance->m_reader->fold_digest() ==
                m_instances[0]->m_reader->fold_digest());
      RC_ASSERT(instance->m_reader->in_force().sections() ==
                m_instances[0]->m_reader->in_force().sections());
    }
    for (const auto& [section, version] : m_accepted) {
      const auto& sections = m_instances[0]->m_reader->in_force().sections();
      RC_ASSERT(sections.at(section).m_version >= version);
    }
  }

 private:
  struct Instance {
    util::Metrics m_metrics;
    std::map<std::string, std::uint64_t> m_seen;
    std::unique_ptr<ConfigReader> m_reader;
  };

  std::unique_ptr<Instance> Start(int index) {
    auto instance = std::make_unique<Instance>();
    ConfigReaderOptions options;
    options.m_follower.m_seed = index;
    options.m_snapshots.m_seed = index;
    options.m_snapshots.m_retention = minutes(20);
    instance->m_reader = std::make_unique<ConfigReader>(
        options, m_log.access(std::to_string(index)), m_clock.clock(),
        instance->m_metrics, ConfigReaderHooks{});
    instance->m_reader->Start();
    return instance;
  }

  void CheckNoReverts() {
    for (const auto& instance : m_instances) {
      for (const auto& [name, section] :
           instance->m_reader->in_force().sections()) {
        RC_ASSERT(section.m_version >= instance->m_seen[name]);
        instance->m_seen[name] = section.m_version;
      }
    }
  }

  util::ManualClock m_clock;
  FakeLog m_log{m_clock.clock()};
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<std::unique_ptr<Publisher>> m_publishers;
  std::map<std::string, std::uint64_t> m_accepted;
  int m_next_edit_number = 0;
};

}  // namespace

GUAVACROSS_TEST_CASE(ConfigReaderProperties) {
  CPPUNIT_ASSERT(rc::check(
      "under lost responses, outages, expiry, partitions and restarts no "
      "section's version goes back, and all readers end in the same state",
      [] {
        Cluster cluster;
        const auto faults =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
        for (const int fault : faults) {
          cluster.InjectFault(fault);
          cluster.Publish();
        }
        cluster.CheckConvergence();
      }));
}

}  // namespace guavacross::log_service
