#include "ledger/claim_fold.h"

#include <rapidcheck.h>

#include <map>

#include "util/handle.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::ledger {

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;
using util::Section;

const InstanceId kA{.m_name = "a", .m_incarnation = 1};
const InstanceId kB{.m_name = "b", .m_incarnation = 1};

KeyHash Key(std::uint64_t n) {
  return {.m_high = n, .m_low = n * 0x9E3779B97F4A7C15};
}

// Applies records to a fold at increasing offsets.
struct FoldDriver {
  explicit FoldDriver(FoldLimits limits = {}) : m_fold(limits) {}

  ClaimFold::Changes operator()(ClaimRecord record) {
    const Clock clock = m_manual_clock.clock();
    record.m_wall_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            clock.m_wall_now().time_since_epoch())
            .count());
    return m_fold.Apply(m_next++, record, {clock.m_now(), clock.m_wall_now()});
  }

  ClaimFold::Changes Claims(const InstanceId& claimant,
                            std::uint64_t key,
                            std::uint32_t attempt) {
    return (*this)({.m_claimant = claimant,
                    .m_claims = {{.m_key = Key(key), .m_attempt = attempt}}});
  }

  ClaimFold::Changes Ends(const InstanceId& claimant,
                          std::uint64_t key,
                          std::uint32_t attempt) {
    return (*this)({.m_claimant = claimant,
                    .m_ends = {{.m_key = Key(key), .m_attempt = attempt}}});
  }

  util::ManualClock m_manual_clock;
  ClaimFold m_fold;
  std::uint64_t m_next = 0;
};

}  // namespace

GUAVACROSS_TEST_CASE(ClaimFoldRules) {
  FoldDriver driver;
  Section("the first claim of a key holds it", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         driver.Claims(kA, 1, 1).m_granted.size());
    CPPUNIT_ASSERT(driver.Claims(kB, 1, 1).m_granted.empty());
    CPPUNIT_ASSERT(driver.m_fold.Find(Key(1))->m_holder == kA);
  });
  Section("a second attempt is granted only after the first has ended", [&] {
    CPPUNIT_ASSERT(driver.Claims(kB, 1, 2).m_granted.empty());
    CPPUNIT_ASSERT(driver.Ends(kB, 1, 1).m_ended.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver.Ends(kA, 1, 1).m_ended.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         driver.Claims(kB, 1, 2).m_granted.size());
  });
  Section("a late duplicate of an older record has no effect", [&] {
    CPPUNIT_ASSERT(driver.Claims(kA, 1, 1).m_granted.empty());
    CPPUNIT_ASSERT(driver.Ends(kA, 1, 1).m_ended.empty());
    CPPUNIT_ASSERT(driver.m_fold.Find(Key(1))->m_holder == kB);
  });
  Section("the first claim of a key must be for attempt 1",
          [&] { CPPUNIT_ASSERT(driver.Claims(kA, 2, 2).m_granted.empty()); });
}

GUAVACROSS_TEST_CASE(ClaimFoldEviction) {
  FoldDriver driver({.m_max_key_retention = hours(2),
                     .m_min_key_retention = minutes(10),
                     .m_max_keys = 2});
  driver.Claims(kA, 1, 1);
  driver.Claims(kA, 2, 1);
  Section("a full fold keeps recent keys", [&] {
    driver.m_fold.Forget(driver.m_manual_clock.now());
    CPPUNIT_ASSERT(!driver.m_fold.HasRoom());
    CPPUNIT_ASSERT(driver.m_fold.known_since() == TimePoint::min());
  });
  Section("a full fold forgets old keys and updates known_since", [&] {
    driver.m_manual_clock.Advance(minutes(11));
    driver.m_fold.Forget(driver.m_manual_clock.now());
    CPPUNIT_ASSERT(driver.m_fold.HasRoom());
    CPPUNIT_ASSERT(driver.m_fold.known_since() >=
                   driver.m_manual_clock.now() - minutes(12));
    CPPUNIT_ASSERT(driver.m_fold.IsComplete(driver.m_manual_clock.now()));
  });
  Section("every key expires eventually", [&] {
    driver.m_manual_clock.Advance(hours(3));
    driver.m_fold.Forget(driver.m_manual_clock.now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.m_fold.size());
  });
}

GUAVACROSS_TEST_CASE(ClaimFoldOfNewInstance) {
  FoldDriver established;
  established.Claims(kA, 1, 1);
  established.Ends(kA, 1, 1);
  established.Claims(kB, 1, 2);
  established.m_manual_clock.Advance(minutes(5));

  FoldDriver joining({.m_min_key_retention = hours(1)});
  joining.m_next = 2;
  CPPUNIT_ASSERT(joining.m_fold.HandleExpired(2, joining.m_manual_clock.now()));
  Section("claims that expired before it started are unknown", [&] {
    joining.Claims(kB, 9, 1);
    CPPUNIT_ASSERT(!joining.m_fold.IsComplete(joining.m_manual_clock.now()));
  });
  Section("claims carried forward make it complete", [&] {
    ClaimRecord record{.m_claimant = kA};
    record.m_carried = established.m_fold.ClaimsBefore(
        3, 100, established.m_manual_clock.now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, record.m_carried.size());
    record.m_coverage = Coverage{.m_from_offset = 2, .m_known_s = 0};
    CPPUNIT_ASSERT(joining(record).m_granted.empty());
    const auto view = joining.m_fold.Find(Key(1));
    CPPUNIT_ASSERT(view->m_holder == kB);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, view->m_attempt);
    CPPUNIT_ASSERT(joining.m_fold.IsComplete(joining.m_manual_clock.now()));
  });
  Section("a coverage from before its first record is ignored", [&] {
    FoldDriver other;
    other.m_next = 50;
    other.m_fold.HandleExpired(50, other.m_manual_clock.now());
    ClaimRecord record{.m_claimant = kA};
    record.m_coverage = Coverage{.m_from_offset = 49, .m_known_s = 0};
    other(record);
    CPPUNIT_ASSERT(!other.m_fold.IsComplete(other.m_manual_clock.now()));
  });
  Section("a gap discards all claims", [&] {
    CPPUNIT_ASSERT(
        joining.m_fold.HandleExpired(1000, joining.m_manual_clock.now()));
    joining.m_next = 1000;
    joining.Claims(kA, 5, 1);
    CPPUNIT_ASSERT(!joining.m_fold.Find(Key(1)).has_value());
    CPPUNIT_ASSERT(!joining.m_fold.IsComplete(joining.m_manual_clock.now()));
  });
}

GUAVACROSS_TEST_CASE(ClaimRecordCodec) {
  Section("a record survives encoding and decoding", [] {
    const ClaimRecord record{
        .m_claimant = kA,
        .m_wall_ms = 17,
        .m_ends = {{.m_key = Key(3), .m_attempt = 2}},
        .m_claims = {{.m_key = Key(4), .m_fingerprint = 8, .m_attempt = 1}},
        .m_carried = {{.m_claim = {.m_key = Key(5), .m_attempt = 3},
                       .m_holder = kB,
                       .m_ended_not_run = true,
                       .m_age_s = 60}},
        .m_coverage = Coverage{.m_from_offset = 2, .m_known_s = 9}};
    const auto read = util::Catch(
        [&] { return DecodeClaimRecord(EncodeClaimRecord(record)); });
    CPPUNIT_ASSERT(read.m_value == record);
  });
  Section("a time that can't be represented is an error", [] {
    const ClaimRecord late{.m_claimant = kA,
                           .m_wall_ms = std::uint64_t{1} << 63};
    const auto read =
        util::Catch([&] { return DecodeClaimRecord(EncodeClaimRecord(late)); });
    CPPUNIT_ASSERT(read.m_error.m_kind == ErrorKind::kBadMessage);
  });
  Section("malformed data is rejected", [] {
    const auto read = util::Catch([] { return DecodeClaimRecord("\xff\x01"); });
    CPPUNIT_ASSERT(read.m_error.m_kind == ErrorKind::kBadMessage);
  });
}

GUAVACROSS_TEST_CASE(ClaimIndexMatchesMap) {
  Section("it matches std::map for any sequence of additions and removals", [] {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::uint8_t>& steps) {
      ClaimIndex index;
      std::map<KeyHash, std::uint64_t> model;
      std::uint64_t number = 0;
      for (const std::uint8_t step : steps) {
        // Only eight values of the low half, so that keys collide.
        const KeyHash key{.m_high = step, .m_low = step % 8U};
        if (step % 3 == 0 && !index.empty()) {
          model.erase(index.front().m_key);
          index.RemoveFront();
        } else if (!model.contains(key)) {
          model[key] = ++number;
          index.Add({.m_key = key, .m_fingerprint = number});
        }
        RC_ASSERT(index.size() == model.size());
        for (const auto& [known, value] : model) {
          RC_ASSERT(index.Find(known) != nullptr);
          RC_ASSERT(index.Find(known)->m_fingerprint == value);
        }
        RC_ASSERT(index.Find({.m_high = 999, .m_low = 1}) == nullptr);
      }
    }));
  });
}

}  // namespace guavacross::ledger
