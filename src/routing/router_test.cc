#include <optional>

#include "guavacross/routing.h"
#include "util/handle.h"
#include "util/manual_clock.h"
#include "util/story_test.h"

namespace guavacross::routing {

namespace {

ServiceConfig TwoTargets() {
  ServiceConfig config;
  config.m_name = "catalog";
  config.m_targets = {{.m_name = "a", .m_slots = 1},
                      {.m_name = "b", .m_slots = 1}};
  config.m_classes = {{.m_name = "preview", .m_queue_limit = 1}};
  return config;
}

// Keeps what a callback was given.
struct Answer {
  std::optional<Grant> m_grant;
  std::optional<ErrorKind> m_error;

  GrantCallback callback() {
    return [this](const util::Expected<Grant>& answer) {
      m_grant = answer.m_value;
      if (!answer) {
        m_error = answer.m_error.m_kind;
      }
    };
  }
};

}  // namespace

GUAVACROSS_STORY(RouterGrants) {
  using util::Section;
  util::ManualClock manual;
  Router router({.m_seed = 1, .m_clock = manual.clock()}, {});
  router.Configure(TwoTargets());
  const RequestTraits traits{.m_service = "catalog", .m_class_name = "preview"};

  Answer first;
  Answer second;
  Answer third;
  Answer fourth;
  router.Acquire(traits, {}, first.callback());
  router.Acquire(traits, {}, second.callback());
  Section("free slots are granted at once, one per target", [&] {
    CPPUNIT_ASSERT(first.m_grant && second.m_grant);
    CPPUNIT_ASSERT(first.m_grant->m_target != second.m_grant->m_target);
  });
  router.Acquire(traits, {}, third.callback());
  router.Acquire(traits, {}, fourth.callback());
  Section("a request beyond the queue limit is refused", [&] {
    CPPUNIT_ASSERT(!third.m_grant && !third.m_error);
    CPPUNIT_ASSERT(fourth.m_error == ErrorKind::kQueueFull);
  });
  Section("a freed slot goes to the waiter", [&] {
    router.Release(*first.m_grant, traits, {});
    CPPUNIT_ASSERT(third.m_grant);
  });
  Section("a waiter whose time is over is refused", [&] {
    Answer late;
    router.Acquire(traits, {}, late.callback());
    manual.Advance(std::chrono::seconds(2));
    router.ExpireWaiters();
    CPPUNIT_ASSERT(late.m_error == ErrorKind::kQueueTimeout);
  });
}

}  // namespace guavacross::routing
