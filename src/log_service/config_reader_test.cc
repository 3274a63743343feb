#include "log_service/config_reader.h"

#include <memory>

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
using util::Section;

// A log service and a clock, for instances that read the log.
struct Fixture {
  struct Instance {
    util::Metrics m_metrics;
    int m_changes = 0;
    int m_reported_versions = 0;
    std::unique_ptr<ConfigReader> m_reader;
  };

  util::ManualClock m_clock;
  FakeLog m_log{m_clock.clock()};
  std::uint64_t m_next_edit = 0;

  std::unique_ptr<Instance> Start(const std::string& name,
                                  Duration retention = minutes(60)) {
    auto instance = std::make_unique<Instance>();
    ConfigReaderOptions options;
    options.m_follower.m_seed = static_cast<unsigned char>(name.back());
    options.m_snapshots.m_seed = static_cast<unsigned char>(name.back());
    options.m_snapshots.m_retention = retention;
    instance->m_reader = std::make_unique<ConfigReader>(
        options, m_log.access(name), m_clock.clock(), instance->m_metrics,
        ConfigReaderHooks{
            .m_on_change = [raw = instance.get()](
                               const SectionState&) { ++raw->m_changes; },
            .m_on_new_versions =
                [raw = instance.get()](const auto& sections) {
                  raw->m_reported_versions += static_cast<int>(sections.size());
                }});
    instance->m_reader->Start();
    return instance;
  }

  // Appends an edit, which is accepted if `based_on` is the current version.
  // Returns the version that the section then has.
  std::uint64_t Append(const std::string& section, std::uint64_t based_on) {
    const std::string id = "e" + std::to_string(m_next_edit++);
    return m_log.Append(kConfigStream, EncodeEdit(MakeEdit(section, "imaging",
                                                           based_on, id))) +
           1;
  }
};

std::uint64_t VersionAt(const Fixture::Instance& instance,
                        const std::string& section) {
  const auto& sections = instance.m_reader->in_force().sections();
  const auto found = sections.find(section);
  return found == sections.end() ? 0 : found->second.m_version;
}

}  // namespace

GUAVACROSS_TEST_CASE(ConfigReaderFollows) {
  Fixture fixture;
  const auto a = fixture.Start("a");
  Section("an instance is ready once it has read an empty log", [&] {
    CPPUNIT_ASSERT(!a->m_reader->ready());
    fixture.m_clock.Advance(milliseconds(10));
    CPPUNIT_ASSERT(a->m_reader->ready());
  });
  const std::uint64_t version = fixture.Append("catalog", 0);
  fixture.m_clock.Advance(milliseconds(10));
  Section("an accepted edit is in force at once",
          [&] { CPPUNIT_ASSERT_EQUAL(version, VersionAt(*a, "catalog")); });
  Section("new versions are reported for peers, loaded ones are not", [&] {
    CPPUNIT_ASSERT_EQUAL(1, a->m_reported_versions);
    const auto late = fixture.Start("b");
    fixture.m_clock.Advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(1, late->m_changes);
    CPPUNIT_ASSERT_EQUAL(0, late->m_reported_versions);
  });
  Section("a refused edit is listed", [&] {
    fixture.Append("catalog", 0);
    fixture.m_clock.Advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(version, VersionAt(*a, "catalog"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, a->m_reader->RefusedEdits().size());
  });
  Section("the state is kept during an outage and catches up after it", [&] {
    fixture.m_log.SetOutage(true);
    fixture.m_clock.Advance(minutes(5));
    CPPUNIT_ASSERT_EQUAL(version, VersionAt(*a, "catalog"));
    CPPUNIT_ASSERT(!a->m_reader->log_status().m_log_reachable);
    fixture.m_log.SetOutage(false);
    const std::uint64_t next = fixture.Append("catalog", version);
    fixture.m_clock.Advance(seconds(3));
    CPPUNIT_ASSERT_EQUAL(next, VersionAt(*a, "catalog"));
  });
}

GUAVACROSS_TEST_CASE(ConfigReaderDuringOutage) {
  Fixture fixture;
  const auto a = fixture.Start("a");
  fixture.Append("catalog", 0);
  fixture.m_clock.Advance(milliseconds(10));
  fixture.m_log.SetOutage(true);
  const auto b = fixture.Start("b");
  fixture.m_clock.Advance(seconds(5));
  const std::vector<SectionState> sections = {
      a->m_reader->in_force().sections().at("catalog")};
  Section("an instance that starts during the outage is not ready",
          [&] { CPPUNIT_ASSERT(!b->m_reader->ready()); });
  Section("it is ready once it has all sections of a ready peer", [&] {
    b->m_reader->MergeFromPeers(sections, true);
    CPPUNIT_ASSERT(b->m_reader->ready());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, VersionAt(*b, "catalog"));
  });
  Section("or once its digest equals that of a peer", [&] {
    const auto c = fixture.Start("c");
    c->m_reader->HandlePeerInForceDigest(0);
    CPPUNIT_ASSERT(!c->m_reader->ready());
    c->m_reader->MergeFromPeers(sections, false);
    c->m_reader->HandlePeerInForceDigest(a->m_reader->in_force().Digest());
    CPPUNIT_ASSERT(c->m_reader->ready());
  });
  Section("an older section from a peer changes nothing", [&] {
    fixture.m_log.SetOutage(false);
    fixture.Append("catalog", 1);
    fixture.m_clock.Advance(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, VersionAt(*b, "catalog"));
    b->m_reader->MergeFromPeers(sections, true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, VersionAt(*b, "catalog"));
  });
}

GUAVACROSS_TEST_CASE(ConfigSnapshots) {
  Fixture fixture;
  fixture.m_log.SetRetention(minutes(60));
  std::vector<std::unique_ptr<Fixture::Instance>> instances;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    instances.push_back(fixture.Start(name));
  }
  const std::uint64_t version = fixture.Append("catalog", 0);
  fixture.m_clock.Advance(minutes(10));
  Section("six instances write one to three snapshots together", [&] {
    const auto written = fixture.m_log.Records(kSnapshotStream).size();
    CPPUNIT_ASSERT(written >= 1 && written <= 3);
  });
  fixture.m_clock.Advance(minutes(600));
  Section("a snapshot is renewed before it expires", [&] {
    CPPUNIT_ASSERT(fixture.m_log.FirstKept(kConfigStream) > 0);
    CPPUNIT_ASSERT(!fixture.m_log.Records(kSnapshotStream).empty());
    CPPUNIT_ASSERT(fixture.m_log.End(kSnapshotStream) < 100);
  });
  Section("a new instance starts from the snapshot", [&] {
    const auto late = fixture.Start("g");
    fixture.m_clock.Advance(seconds(1));
    CPPUNIT_ASSERT(late->m_reader->ready());
    CPPUNIT_ASSERT_EQUAL(version, VersionAt(*late, "catalog"));
    CPPUNIT_ASSERT(late->m_reader->fold_digest() ==
                   instances[0]->m_reader->fold_digest());
  });
  Section("an instance whose next offset expired loads the snapshot", [&] {
    fixture.m_log.SetPartitioned("a", true);
    std::uint64_t newest = fixture.Append("catalog", version);
    fixture.m_clock.Advance(minutes(100));
    newest = fixture.Append("catalog", newest);
    fixture.m_clock.Advance(minutes(100));
    CPPUNIT_ASSERT_EQUAL(version, VersionAt(*instances[0], "catalog"));
    fixture.m_log.SetPartitioned("a", false);
    fixture.m_clock.Advance(seconds(15));
    CPPUNIT_ASSERT_EQUAL(newest, VersionAt(*instances[0], "catalog"));
    CPPUNIT_ASSERT(instances[0]->m_reader->fold_digest() ==
                   instances[1]->m_reader->fold_digest());
  });
}

GUAVACROSS_TEST_CASE(ConfigSnapshotsStaleOrIncomplete) {
  Fixture fixture;
  ConfigFold fold;
  const auto apply = [&](const ConfigEdit& edit) {
    const std::string data = EncodeEdit(edit);
    fold.Apply(fixture.m_log.Append(kConfigStream, data), data);
  };
  apply(MakeEdit("catalog", "imaging", 0, "x0"));
  const ConfigSnapshot old = fold.state();
  for (int i = 1; i < 50; ++i) {
    apply(MakeEdit("catalog", "imaging", i, "x" + std::to_string(i)));
  }
  const auto append_parts = [&](const ConfigSnapshot& snapshot,
                                std::size_t count) {
    auto parts = EncodeParts(snapshot, 0, 100);
    parts.resize(std::min(parts.size(), count));
    for (const std::string& part : parts) {
      fixture.m_log.Append(kSnapshotStream, part);
    }
  };
  const std::size_t all = 1000000;
  append_parts(fold.state(), all);
  Section("an old snapshot that a paused instance wrote late is ignored", [&] {
    for (int i = 0; i < 100; ++i) {
      append_parts(old, all);
    }
    fixture.m_log.Expire(kConfigStream, 49);
    const auto a = fixture.Start("a");
    fixture.m_clock.Advance(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, VersionAt(*a, "catalog"));
  });
  Section("an incomplete snapshot, whose writer died, is ignored", [&] {
    append_parts(fold.state(), 3);
    fixture.m_log.Append(kSnapshotStream, "garbage");
    const auto b = fixture.Start("b");
    fixture.m_clock.Advance(seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, VersionAt(*b, "catalog"));
  });
  Section("an instance without state and snapshot doesn't become ready", [&] {
    fixture.m_log.Expire(kSnapshotStream, fixture.m_log.End(kSnapshotStream));
    const auto c = fixture.Start("c");
    fixture.m_clock.Advance(seconds(30));
    CPPUNIT_ASSERT(!c->m_reader->ready());
    CPPUNIT_ASSERT(c->m_reader->log_status().m_records_lost);
  });
}

GUAVACROSS_TEST_CASE(ConfigRecordsExpiredUnread) {
  Fixture fixture;
  const auto a = fixture.Start("a");
  const std::uint64_t version = fixture.Append("catalog", 0);
  fixture.m_clock.Advance(milliseconds(10));
  fixture.m_log.SetOutage(true);
  const auto b = fixture.Start("b");
  const auto c = fixture.Start("c");
  for (const auto* instance : {b.get(), c.get()}) {
    instance->m_reader->MergeFromPeers(
        {a->m_reader->in_force().sections().at("catalog")}, true);
  }
  Section("all instances are replaced during a long outage", [&] {
    a->m_reader.reset();
    fixture.m_clock.Advance(minutes(90));
    fixture.m_log.Append(kConfigStream, "lost");
    fixture.m_log.Expire(kConfigStream, 2);
    fixture.m_log.SetOutage(false);
    fixture.m_clock.Advance(seconds(60));
    Section("the instances first wait for a snapshot", [&] {
      CPPUNIT_ASSERT(b->m_reader->log_status().m_records_lost);
      CPPUNIT_ASSERT_EQUAL(version, VersionAt(*b, "catalog"));
    });
    Section("they then continue from the sections in force", [&] {
      fixture.m_clock.Advance(minutes(5));
      const std::uint64_t next = fixture.Append("catalog", version);
      fixture.m_clock.Advance(seconds(5));
      CPPUNIT_ASSERT_EQUAL(next, VersionAt(*b, "catalog"));
      CPPUNIT_ASSERT_EQUAL(next, VersionAt(*c, "catalog"));
      CPPUNIT_ASSERT(b->m_reader->fold_digest() == c->m_reader->fold_digest());
    });
  });
}

GUAVACROSS_TEST_CASE(ConfigPeerDigests) {
  Fixture fixture;
  const auto a = fixture.Start("a");
  fixture.Append("catalog", 0);
  fixture.m_clock.Advance(minutes(1));
  const FoldDigest own = a->m_reader->fold_digest();
  const int rebuilds = a->m_reader->log_status().m_rebuilds;
  Section("an equal digest matches",
          [&] { CPPUNIT_ASSERT(a->m_reader->ComparePeerDigest(own)); });
  Section("a digest of an unknown offset is not compared", [&] {
    CPPUNIT_ASSERT(a->m_reader->ComparePeerDigest({.m_as_of = 99}));
  });
  Section("a different digest rebuilds the state; no version goes back", [&] {
    const FoldDigest other{.m_as_of = own.m_as_of, .m_digest = 1};
    CPPUNIT_ASSERT(!a->m_reader->ComparePeerDigest(other));
    fixture.m_clock.Advance(seconds(1));
    CPPUNIT_ASSERT(a->m_reader->log_status().m_rebuilds > rebuilds);
    CPPUNIT_ASSERT(own == a->m_reader->fold_digest());
    CPPUNIT_ASSERT_EQUAL(1, a->m_changes);
  });
  Section("the state is kept if the log no longer allows a rebuild", [&] {
    fixture.m_clock.Advance(minutes(1));
    fixture.m_log.Expire(kConfigStream, 1);
    fixture.m_log.Expire(kSnapshotStream, fixture.m_log.End(kSnapshotStream));
    a->m_reader->ComparePeerDigest({.m_as_of = own.m_as_of, .m_digest = 1});
    fixture.m_clock.Advance(seconds(1));
    CPPUNIT_ASSERT(own == a->m_reader->fold_digest());
  });
}

}  // namespace guavacross::log_service
