#include "log_service/publisher.h"

#include <optional>

#include "log_service/fake_log.h"
#include "log_service/testing.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::log_service {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

struct Fixture {
  util::ManualClock m_clock;
  FakeLog m_log{m_clock.clock()};
  Publisher m_publisher{{}, m_log.access(), m_clock.clock()};

  bool Load() {
    std::optional<bool> loaded;
    m_publisher.Load([&loaded](bool done) { loaded = done; });
    m_clock.Advance(seconds(31));
    return loaded.value();
  }

  util::Expected<EditVerdict> Publish(const ConfigEdit& edit) {
    std::optional<util::Expected<EditVerdict>> end;
    m_publisher.Publish(edit, [&end](const auto& result) { end = result; });
    m_clock.Advance(seconds(31));
    return end.value();
  }

  std::size_t Records() { return m_log.Records(kConfigStream).size(); }
};

}  // namespace

GUAVACROSS_TEST_CASE(Publishing) {
  Fixture fixture;
  CPPUNIT_ASSERT(fixture.Load());
  Section("an edit is accepted", [&] {
    const auto end = fixture.Publish(MakeEdit("catalog", "imaging", 0, "e1"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, end.m_value.value().m_version);
  });
  Section("an edit based on an outdated version is refused", [&] {
    const auto end = fixture.Publish(MakeEdit("catalog", "imaging", 0, "e2"));
    CPPUNIT_ASSERT(end.m_error.m_kind == ErrorKind::kPublishConflict);
    CPPUNIT_ASSERT_EQUAL(
        std::string("based on version 0, but version 1 is current"),
        end.m_error.m_text);
  });
  Section("an append whose response is lost", [&] {
    Section("is not repeated if the record is in the log", [&] {
      const std::size_t before = fixture.Records();
      fixture.m_log.LoseAnswers(1, LostAnswer::kApplied);
      const auto end = fixture.Publish(MakeEdit("catalog", "imaging", 1, "e3"));
      CPPUNIT_ASSERT(end.m_value.has_value());
      CPPUNIT_ASSERT_EQUAL(before + 1, fixture.Records());
    });
    Section("is repeated if the record is not in the log", [&] {
      fixture.m_log.LoseAnswers(3, LostAnswer::kNotApplied);
      const auto end = fixture.Publish(MakeEdit("catalog", "imaging", 3, "e4"));
      CPPUNIT_ASSERT(end.m_value.has_value());
    });
    Section("takes effect once if the record arrives late", [&] {
      const std::size_t before = fixture.Records();
      fixture.m_log.LoseAnswers(1, LostAnswer::kDelayed);
      const auto end = fixture.Publish(MakeEdit("catalog", "imaging", 4, "e5"));
      const std::uint64_t version = end.m_value.value().m_version;
      fixture.m_log.DeliverDelayed();
      fixture.m_clock.Advance(seconds(1));
      CPPUNIT_ASSERT_EQUAL(before + 2, fixture.Records());
      CPPUNIT_ASSERT_EQUAL(
          version,
          fixture.m_publisher.state().m_sections.at("catalog").m_version);
    });
    Section("is reported as unclear if no response arrives in time", [&] {
      fixture.m_log.LoseAnswers(1000, LostAnswer::kDelayed);
      const ConfigEdit edit = MakeEdit("archive", "imaging", 0, "e6");
      CPPUNIT_ASSERT(fixture.Publish(edit).m_error.m_kind ==
                     ErrorKind::kAppendUnclear);
      Section("and can be published again with the same edit id", [&] {
        fixture.m_log.LoseAnswers(0, LostAnswer::kApplied);
        fixture.m_log.DeliverDelayed();
        fixture.m_clock.Advance(seconds(1));
        const std::size_t before = fixture.Records();
        CPPUNIT_ASSERT(fixture.Publish(edit).m_value.has_value());
        CPPUNIT_ASSERT_EQUAL(before, fixture.Records());
      });
    });
  });
  Section("an append over the rate limit is retried", [&] {
    fixture.m_log.SetRateLimit(1);
    fixture.m_log.access().m_append("other", "", [](const AppendResult&) {});
    CPPUNIT_ASSERT(fixture.Publish(MakeEdit("third", "imaging", 0, "e7"))
                       .m_value.has_value());
  });
  Section("after an outage the record is reported as not in the log", [&] {
    fixture.m_log.SetOutage(true);
    CPPUNIT_ASSERT(fixture.Publish(MakeEdit("fourth", "imaging", 0, "e8"))
                       .m_error.m_kind == ErrorKind::kLogUnavailable);
    Fixture other;
    other.m_log.SetOutage(true);
    CPPUNIT_ASSERT(!other.Load());
  });
}

}  // namespace guavacross::log_service
