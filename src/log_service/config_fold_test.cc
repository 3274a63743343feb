#include <rapidcheck.h>

#include "guavacross/config_state.h"
#include "log_service/testing.h"
#include "util/handle.h"
#include "util/test_case.h"

namespace guavacross {

namespace {

using log_service::MakeEdit;
using log_service::SmallSection;
using util::Section;

void AssertEqual(const std::string& expected, const std::string& found) {
  CPPUNIT_ASSERT_EQUAL(expected, found);
}

// Applies edits at consecutive offsets.
struct EditApplier {
  ConfigFold m_fold;
  std::uint64_t m_next_offset = 0;

  EditVerdict operator()(const ConfigEdit& edit) {
    return m_fold.Apply(m_next_offset++, EncodeEdit(edit));
  }
};

}  // namespace

GUAVACROSS_TEST_CASE(ConfigFoldVerdicts) {
  EditApplier apply;
  Section("a new section can't be created for another team", [&] {
    ConfigEdit edit = MakeEdit("catalog", "billing", 0, "e0");
    edit.m_team = "imaging";
    edit.m_owner = "billing";
    AssertEqual(
        "a new section belongs to the team that publishes it, not to team "
        "billing",
        ConfigFold().Apply(0, EncodeEdit(edit)).m_reason);
  });
  Section("the team of the first edit owns the section", [&] {
    const EditVerdict verdict = apply(MakeEdit("catalog", "imaging", 0, "e1"));
    AssertEqual("", verdict.m_reason);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, verdict.m_version);
  });
  Section("an edit of another team is refused", [&] {
    AssertEqual("team imaging owns the section",
                apply(MakeEdit("catalog", "billing", 1, "e2")).m_reason);
  });
  Section("an edit based on an older version is refused", [&] {
    AssertEqual("based on version 0, but version 1 is current",
                apply(MakeEdit("catalog", "imaging", 0, "e3")).m_reason);
  });
  Section("a text that doesn't parse is refused", [&] {
    ConfigEdit edit = MakeEdit("catalog", "imaging", 1, "e4");
    edit.m_toml += "colour = 1\n";
    CPPUNIT_ASSERT(apply(edit).m_reason.find("not a valid section") !=
                   std::string::npos);
  });
  Section("a repeated edit has no effect and gets the same verdict", [&] {
    const std::uint64_t version =
        apply.m_fold.state().m_sections.at("catalog").m_version;
    const EditVerdict verdict = apply(MakeEdit("catalog", "imaging", 0, "e1"));
    CPPUNIT_ASSERT(verdict.m_accepted);
    CPPUNIT_ASSERT_EQUAL(version, verdict.m_version);
  });
  Section("an undecodable record changes only the as-of offset", [&] {
    const auto sections = apply.m_fold.state().m_sections;
    CPPUNIT_ASSERT(
        !apply.m_fold.Apply(apply.m_next_offset++, "garbage").m_accepted);
    CPPUNIT_ASSERT(sections == apply.m_fold.state().m_sections);
    CPPUNIT_ASSERT_EQUAL(apply.m_next_offset, apply.m_fold.state().m_as_of);
  });
  Section("the owner transfers the section to another team", [&] {
    ConfigEdit edit = MakeEdit("catalog", "imaging", 1, "e5");
    edit.m_toml = SmallSection("billing");
    CPPUNIT_ASSERT(!apply(edit).m_accepted);
    edit.m_edit_id = "e6";
    edit.m_owner = "billing";
    const EditVerdict verdict = apply(edit);
    AssertEqual("", verdict.m_reason);
    CPPUNIT_ASSERT(
        !apply(MakeEdit("catalog", "imaging", verdict.m_version, "e7"))
             .m_accepted);
    Section("the new owner removes it", [&] {
      ConfigEdit removal =
          MakeEdit("catalog", "billing", verdict.m_version, "e8");
      removal.m_toml.clear();
      const EditVerdict removed = apply(removal);
      AssertEqual("", removed.m_reason);
      const SectionState& state = apply.m_fold.state().m_sections.at("catalog");
      CPPUNIT_ASSERT(!ServiceInForce(state));
      Section("any team may reuse the name of a removed section", [&] {
        CPPUNIT_ASSERT(
            apply(MakeEdit("catalog", "orders", removed.m_version, "e9"))
                .m_accepted);
      });
    });
  });
}

GUAVACROSS_TEST_CASE(ConfigFoldNewerSchema) {
  EditApplier apply;
  apply(MakeEdit("catalog", "imaging", 0, "e1"));
  ConfigEdit newer = MakeEdit("catalog", "imaging", 1, "e2");
  newer.m_schema = kDocumentSchema + 1;
  newer.m_toml = "something new";
  CPPUNIT_ASSERT(apply(newer).m_accepted);
  const SectionState state = apply.m_fold.state().m_sections.at("catalog");
  Section("a text of a newer schema raises the version",
          [&] { CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.m_version); });
  Section("the last text of a known schema stays in force", [&] {
    CPPUNIT_ASSERT(ServiceInForce(state).has_value());
    AssertEqual(SmallSection("imaging"), state.m_fallbacks.at(1));
  });
  Section("snapshots and messages to peers keep the fallback text", [&] {
    const auto snapshot = util::Catch(
        [&] { return DecodeSnapshot(EncodeSnapshot(apply.m_fold.state())); });
    CPPUNIT_ASSERT(*snapshot.m_value == apply.m_fold.state());
    const auto sections =
        util::Catch([&] { return DecodeSections(EncodeSections({state})); });
    CPPUNIT_ASSERT(sections.m_value->at(0) == state);
  });
  Section("an edit of the known schema replaces the newer text", [&] {
    CPPUNIT_ASSERT(apply(MakeEdit("catalog", "imaging", 2, "e3")).m_accepted);
    CPPUNIT_ASSERT(
        apply.m_fold.state().m_sections.at("catalog").m_fallbacks.empty());
  });
}

GUAVACROSS_TEST_CASE(ConfigFoldVerdictRetention) {
  EditApplier apply;
  apply(MakeEdit("catalog", "imaging", 0, "e1"));
  const ConfigFold early(apply.m_fold.state());
  apply.m_next_offset = kVerdictRetentionOffsets - 1;
  apply(MakeEdit("catalog", "billing", 0, "e2"));
  Section("a verdict is kept for kVerdictRetentionOffsets offsets", [&] {
    CPPUNIT_ASSERT(apply.m_fold.state().m_recent_edits.contains("e1"));
    apply(MakeEdit("catalog", "billing", 0, "e3"));
    CPPUNIT_ASSERT(!apply.m_fold.state().m_recent_edits.contains("e1"));
  });
  Section("a later repeat of the edit is refused by its version", [&] {
    CPPUNIT_ASSERT(!apply(MakeEdit("catalog", "imaging", 0, "e1")).m_accepted);
  });
}

GUAVACROSS_TEST_CASE(ConfigInForceMerges) {
  int changes = 0;
  ConfigInForce in_force([&changes](const SectionState&) { ++changes; });
  SectionState section{
      .m_section = "catalog", .m_team = "imaging", .m_version = 5};
  CPPUNIT_ASSERT_EQUAL(1, in_force.Merge({section}));
  Section("an equal or older version changes nothing", [&] {
    section.m_version = 4;
    CPPUNIT_ASSERT_EQUAL(0, in_force.Merge({section}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                         in_force.sections().at("catalog").m_version);
    CPPUNIT_ASSERT_EQUAL(1, changes);
  });
  Section("a newer version is taken and changes the digest", [&] {
    const std::uint64_t digest = in_force.Digest();
    section.m_version = 6;
    CPPUNIT_ASSERT_EQUAL(1, in_force.Merge({section}));
    CPPUNIT_ASSERT(digest != in_force.Digest());
  });
}

}  // namespace guavacross
