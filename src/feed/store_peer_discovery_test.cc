#include "feed/store_peer_discovery.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/recorded_peers.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::feed {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;
using Endpoints = std::vector<Endpoint>;

Endpoint Instance(int number) {
  return {.m_ip = "10.0.0." + std::to_string(number), .m_port = 7660};
}

Endpoints Instances(int first, int count) {
  Endpoints instances;
  for (int i = 0; i < count; ++i) {
    instances.push_back(Instance(first + i));
  }
  return instances;
}

// The topic in the store. Calls are answered at once or fail.
struct Topic {
  std::optional<std::string> m_value;
  bool m_down = false;
  int m_reads = 0;
  int m_writes = 0;
};

struct Recorder {
  Recorder(util::ManualClock* clock, Topic* topic, Endpoints live)
      : m_live(std::move(live)), m_discovery(clock->clock(), Hooks(topic)) {
    m_discovery.Start();
  }

  StorePeerDiscoveryHooks Hooks(Topic* topic) {
    StorePeerDiscoveryHooks hooks;
    hooks.m_list = [topic](Duration, const PageDone& done) {
      ++topic->m_reads;
      FeedPage page{.m_status = topic->m_down ? FeedPage::Status::kUnreachable
                                              : FeedPage::Status::kOk};
      if (topic->m_value.has_value()) {
        page.m_records = {{.m_key = "instances", .m_value = topic->m_value}};
      }
      done(page);
    };
    hooks.m_write = [topic](const std::string&, const std::string& value,
                            Duration, const auto& done) {
      ++topic->m_writes;
      if (!topic->m_down) {
        topic->m_value = value;
      }
      done(topic->m_down ? "no answer" : "");
    };
    hooks.m_ranks_first = [this] { return m_first; };
    hooks.m_live = [this] { return m_live; };
    hooks.m_on_contacts = [this](const Endpoints& contacts) {
      m_contacted = contacts;
    };
    return hooks;
  }

  bool m_first = true;
  Endpoints m_live;
  Endpoints m_contacted;
  StorePeerDiscovery m_discovery;
};

void RunFor(util::ManualClock* clock,
            const std::vector<Recorder*>& recorders,
            Duration time) {
  for (Duration passed{}; passed < time; passed += milliseconds(200)) {
    clock->Advance(milliseconds(200));
    for (Recorder* const recorder : recorders) {
      recorder->m_discovery.Tick();
    }
  }
}

}  // namespace

GUAVACROSS_TEST_CASE(PeerAddressesInTheStore) {
  util::ManualClock clock;
  Topic topic;
  Recorder first(&clock, &topic, Instances(1, 6));
  Recorder other(&clock, &topic, Instances(1, 6));
  other.m_first = false;
  const std::vector<Recorder*> both{&first, &other};

  Section("are recorded by the first instance only", [&] {
    RunFor(&clock, both, seconds(5));
    CPPUNIT_ASSERT_EQUAL(1, topic.m_writes);
    CPPUNIT_ASSERT_EQUAL(1, topic.m_reads);
  });
  Section("cost one read in 30 s while nothing changes", [&] {
    RunFor(&clock, both, seconds(60));
    CPPUNIT_ASSERT_EQUAL(1, topic.m_writes);
    CPPUNIT_ASSERT_EQUAL(3, topic.m_reads);
  });
  Section("are contacted by an instance that knows no other", [&] {
    Recorder alone(&clock, &topic, {Instance(9)});
    RunFor(&clock, {&alone}, milliseconds(2200));
    CPPUNIT_ASSERT(alone.m_contacted == Instances(1, 6));
    alone.m_live = Instances(1, 9);
    RunFor(&clock, {&alone}, seconds(2));
    CPPUNIT_ASSERT_EQUAL(1, topic.m_writes);
  });
  Section("are replaced by an instance that gets no answer from them", [&] {
    Recorder alone(&clock, &topic, {Instance(9)});
    RunFor(&clock, {&alone}, seconds(5));
    CPPUNIT_ASSERT(topic.m_value == "10.0.0.9:7660");
  });
  Section("let two isolated instances find each other", [&] {
    Recorder another(&clock, &topic, {Instance(8)});
    RunFor(&clock, {&another}, milliseconds(2200));
    CPPUNIT_ASSERT(another.m_contacted == Endpoints{Instance(9)});
  });
  Section("are read once the store is reachable again", [&] {
    topic.m_down = true;
    Recorder alone(&clock, &topic, {Instance(7)});
    RunFor(&clock, {&alone}, seconds(3));
    CPPUNIT_ASSERT(alone.m_contacted.empty());
    topic.m_down = false;
    RunFor(&clock, {&alone}, seconds(5));
    CPPUNIT_ASSERT(alone.m_contacted == Endpoints{Instance(9)});
  });
  Section("skip words that aren't addresses", [&] {
    topic.m_value = "what? 10.0.0.4:7660 10.0.0:1";
    Recorder alone(&clock, &topic, {Instance(7)});
    RunFor(&clock, {&alone}, milliseconds(2200));
    CPPUNIT_ASSERT(alone.m_contacted == Endpoints{Instance(4)});
  });
}

GUAVACROSS_TEST_CASE(SelectionOfPeersToRecord) {
  Section("is spread over the live instances", [] {
    const Endpoints chosen =
        policy::PeersToRecord({}, Instances(1, 4 * policy::kMaxRecordedPeers));
    CPPUNIT_ASSERT_EQUAL(policy::kMaxRecordedPeers, chosen.size());
    CPPUNIT_ASSERT(chosen[1] == Instance(5));
  });
  Section("stays while enough of them are alive", [] {
    CPPUNIT_ASSERT(
        policy::PeersToRecord(Instances(1, 8), Instances(5, 20)).empty());
    CPPUNIT_ASSERT(
        !policy::PeersToRecord(Instances(1, 8), Instances(6, 20)).empty());
  });
  Section("needs no more contacts than a small deployment has instances", [] {
    CPPUNIT_ASSERT(
        policy::PeersToRecord(Instances(1, 2), Instances(1, 2)).empty());
    CPPUNIT_ASSERT(policy::PeersToRecord({}, Instances(1, 1)) ==
                   Instances(1, 1));
  });
}

}  // namespace guavacross::feed
