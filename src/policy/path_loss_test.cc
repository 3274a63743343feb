// When an instance counts as cut off from the targets.

#include "policy/path_loss.h"

#include <string>

#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::string Target(int number) {
  return "t" + std::to_string(number);
}

std::string ZoneOf(int number) {
  return number % 2 == 0 ? "a" : "b";
}

// Asks whether the path is lost every 5 ms, as while requests wait.
bool IsLostDuring(PathLoss* path, TimePoint from, Duration time) {
  bool lost = false;
  for (TimePoint now = from; now <= from + time; now += milliseconds(5)) {
    lost = path->IsLost(now) || lost;
  }
  return lost;
}

}  // namespace

GUAVACROSS_TEST_CASE(PathLossOfACutOffInstance) {
  PathLoss path;
  path.SetTargets(29, 2);
  path.RecordAnswer(kStart);
  for (int i = 0; i < 4; ++i) {
    path.RecordAsked(Target(i), ZoneOf(i), kStart + milliseconds(i));
  }
  Section("isn't noticed before targets had time to answer", [&] {
    CPPUNIT_ASSERT(!IsLostDuring(&path, kStart, milliseconds(45)));
  });
  Section("is noticed after that", [&] {
    CPPUNIT_ASSERT(
        IsLostDuring(&path, kStart + milliseconds(45), milliseconds(15)));
    CPPUNIT_ASSERT(path.silent_since() == kStart);
  });
  Section("ends with an answer", [&] {
    path.RecordAnswer(kStart + seconds(1));
    CPPUNIT_ASSERT(!path.IsLost(kStart + seconds(1)));
  });
  Section("is noticed also if connections are refused", [&] {
    for (int i = 0; i < 4; ++i) {
      path.RecordFailure(Target(i), ZoneOf(i), kStart + seconds(2),
                         kStart + seconds(2));
    }
    CPPUNIT_ASSERT(!path.IsLost(kStart + seconds(2)));
    CPPUNIT_ASSERT(IsLostDuring(&path, kStart + seconds(2), milliseconds(60)));
  });
}

GUAVACROSS_TEST_CASE(PathLossIsNotTakenFor) {
  Section("a zone of targets in the dark", [] {
    PathLoss path;
    path.SetTargets(29, 3);
    for (int i = 0; i < 10; ++i) {
      path.RecordAsked(Target(i), "a", kStart);
    }
    CPPUNIT_ASSERT(!IsLostDuring(&path, kStart, seconds(1)));
  });
  Section("targets that don't answer while they are full, as others do", [] {
    PathLoss path;
    path.SetTargets(29, 3);
    bool lost = false;
    for (int i = 0; i < 400; ++i) {
      const TimePoint now = kStart + i * milliseconds(5);
      path.RecordAsked(Target(i % 29), ZoneOf(i), now);
      if (i % 8 == 0) {
        path.RecordAnswer(now);
      }
      lost = path.IsLost(now) || lost;
    }
    CPPUNIT_ASSERT(!lost);
  });
  Section("probes of some targets that time out after others answered", [] {
    PathLoss path;
    path.SetTargets(29, 3);
    for (int i = 0; i < 8; ++i) {
      path.RecordAsked(Target(i), ZoneOf(i), kStart);
    }
    path.RecordAnswer(kStart + milliseconds(299));
    for (int i = 0; i < 8; ++i) {
      path.RecordFailure(Target(i), ZoneOf(i), kStart,
                         kStart + milliseconds(300));
    }
    CPPUNIT_ASSERT(
        !IsLostDuring(&path, kStart + milliseconds(300), seconds(1)));
  });
  Section("connections that some targets refuse before others answer", [] {
    PathLoss path;
    path.SetTargets(29, 3);
    for (int i = 0; i < 8; ++i) {
      path.RecordFailure(Target(i), ZoneOf(i), kStart, kStart);
    }
    CPPUNIT_ASSERT(!IsLostDuring(&path, kStart, milliseconds(30)));
    path.RecordAnswer(kStart + milliseconds(30));
    CPPUNIT_ASSERT(!IsLostDuring(&path, kStart + milliseconds(30), seconds(1)));
  });
  Section("answers that a process hasn't read while it stood still", [] {
    PathLoss path;
    path.SetTargets(29, 3);
    for (int i = 0; i < 8; ++i) {
      path.RecordAsked(Target(i), ZoneOf(i), kStart);
    }
    CPPUNIT_ASSERT(!path.IsLost(kStart + seconds(3)));
  });
  Section("a service without targets", [] {
    PathLoss path;
    CPPUNIT_ASSERT(!path.IsLost(kStart));
  });
}

GUAVACROSS_TEST_CASE(PathLossWithoutFurtherRequests) {
  PathLoss path;
  path.SetTargets(29, 2);
  for (int i = 0; i < 4; ++i) {
    path.RecordFailure(Target(i), ZoneOf(i), kStart, kStart);
  }
  Section("is forgotten after a time, so that peers ask again", [&] {
    CPPUNIT_ASSERT(IsLostDuring(&path, kStart, milliseconds(60)));
    CPPUNIT_ASSERT(path.IsLost(kStart + seconds(9)));
    CPPUNIT_ASSERT(!path.IsLost(kStart + seconds(11)));
  });
}

GUAVACROSS_TEST_CASE(PathLossOfFewTargets) {
  PathLoss path;
  path.SetTargets(2, 1);
  path.RecordFailure(Target(0), "a", kStart, kStart);
  Section("needs all of them", [&] {
    CPPUNIT_ASSERT(!IsLostDuring(&path, kStart, seconds(1)));
    path.RecordFailure(Target(1), "a", kStart, kStart + seconds(1));
    CPPUNIT_ASSERT(path.IsLost(kStart + seconds(1)));
  });
}

GUAVACROSS_TEST_CASE(RequestsReturnInSteps) {
  double before = 0;
  for (int ms = 0; ms <= 2000; ms += 50) {
    const double share = DirectShare(milliseconds(ms));
    CPPUNIT_ASSERT(share >= before);
    CPPUNIT_ASSERT(share - before <= 0.25);
    before = share;
  }
  CPPUNIT_ASSERT_EQUAL(1.0, before);
  CPPUNIT_ASSERT(DirectShare(milliseconds(100)) < 0.5);
}

}  // namespace guavacross::policy
