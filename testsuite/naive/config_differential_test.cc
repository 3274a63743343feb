// Compares the configuration fold with the naive version: for generated edits,
// accepted versions and texts must agree, also when the fold starts from an
// intermediate snapshot and when sections are merged in any order.

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "guavacross/config_state.h"
#include "naive_config.h"
#include "util/handle.h"
#include "util/test_case.h"

namespace guavacross::naive {

namespace {

const std::vector<std::string> kSections = {"catalog", "archive"};
const std::vector<std::string> kTeams = {"imaging", "storage"};

// The number makes the texts of different versions distinct.
std::string SectionText(const std::string& team, int number) {
  return "team = \"" + team +
         "\"\n[[target]]\nname = \"t\"\naddress = \"10.0.0.1:" +
         std::to_string(1000 + number) +
         "\"\nzone = \"a\"\n[[class]]\nname = \"reads\"\nmethods = "
         "[\"GET\"]\n";
}

// Generates an edit as concurrent teams might append it: mostly based on the
// current version, sometimes on another one, or with a used id, an invalid text
// or the section of another team.
ConfigEdit MakeEdit(const NaiveConfig& config, int number) {
  ConfigEdit edit;
  edit.m_schema = kDocumentSchema;
  edit.m_section = *rc::gen::elementOf(kSections);
  edit.m_team = *rc::gen::elementOf(kTeams);
  const std::uint64_t current = config.Version(edit.m_section);
  edit.m_based_on = *rc::gen::weightedElement<std::uint64_t>(
      {{6, current}, {1, 0}, {1, current + 1}});
  // A used id represents a retried append.
  edit.m_edit_id = "edit-" + std::to_string(*rc::gen::inRange(
                                 number > 3 ? number - 3 : 0, number + 1));
  if (*rc::gen::inRange(0, 8) == 0) {
    edit.m_owner = *rc::gen::elementOf(kTeams);
  }
  const std::string owner = edit.m_owner.empty() ? edit.m_team : edit.m_owner;
  edit.m_toml = *rc::gen::weightedElement<std::string>(
      {{8, SectionText(owner, number)},
       {1, ""},
       {1, "team = 7"},
       {1, SectionText("nobody", number)}});
  return edit;
}

struct Run {
  NaiveConfig m_naive;
  ConfigFold m_fold;
  // Starts from an intermediate snapshot of the fold.
  ConfigFold m_late_fold;
  std::vector<SectionState> m_accepted;
};

Run MakeRun(int edits, int snapshot_at) {
  Run run;
  for (int number = 0; number < edits; ++number) {
    if (number == snapshot_at) {
      const std::string data = EncodeSnapshot(run.m_fold.state());
      const auto snapshot = util::Catch([&] { return DecodeSnapshot(data); });
      RC_ASSERT(static_cast<bool>(snapshot));
      run.m_late_fold = ConfigFold(*snapshot.m_value);
    }
    const ConfigEdit edit = MakeEdit(run.m_naive, number);
    const std::string data = EncodeEdit(edit);
    const auto offset = static_cast<std::uint64_t>(number);
    const EditVerdict verdict = run.m_fold.Apply(offset, data);
    run.m_late_fold.Apply(offset, data);
    run.m_naive.Append(edit);
    // A used id gets the verdict on its first record.
    if (verdict.m_accepted && verdict.m_offset == offset) {
      run.m_accepted.push_back(
          run.m_fold.state().m_sections.at(edit.m_section));
    }
  }
  return run;
}

void CheckSections(const NaiveConfig& naive,
                   const std::map<std::string, SectionState>& sections) {
  for (const auto& [name, section] : sections) {
    RC_ASSERT(section.m_version == naive.Version(name));
    RC_ASSERT(section.m_toml == naive.Text(name));
  }
  RC_ASSERT(sections.size() == naive.Sections().size());
}

}  // namespace

GUAVACROSS_TEST_CASE(ConfigAgreesWithNaiveVersion) {
  CPPUNIT_ASSERT(
      rc::check("fold, fold from a snapshot and merged sections agree", [] {
        const int edits = *rc::gen::inRange(1, 40);
        const Run run = MakeRun(edits, *rc::gen::inRange(0, edits));
        CheckSections(run.m_naive, run.m_fold.state().m_sections);
        RC_ASSERT(run.m_late_fold.state() == run.m_fold.state());
        RC_ASSERT(run.m_late_fold.Digest() == run.m_fold.Digest());

        // Peers send accepted sections in any order, some of them twice.
        ConfigInForce in_force([](const SectionState&) {});
        const int merges = *rc::gen::inRange(0, 60);
        for (int i = 0; i < merges && !run.m_accepted.empty(); ++i) {
          const SectionState section = *rc::gen::elementOf(run.m_accepted);
          in_force.Merge({section});
          const auto& now = in_force.sections().at(section.m_section);
          RC_ASSERT(now.m_version >= section.m_version);
        }
        in_force.Merge(run.m_accepted);
        CheckSections(run.m_naive, in_force.sections());
      }));
}

}  // namespace guavacross::naive
