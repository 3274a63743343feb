#include "peers/peer_network.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>

#include "peers/grpc_transport.h"
#include "peers/section_repair.h"
#include "util/manual_clock.h"
#include "util/metrics.h"
#include "util/test_case.h"

namespace guavacross::peers {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

// Limits a test that waits for an event that doesn't occur.
constexpr int kMaxRounds = 20'000;

// The control thread of several networks in one process: runs the functions
// that gRPC's threads post, and advances the manual clock while none is posted.
class ControlLoop {
 public:
  Clock clock() { return m_manual.clock(); }

  std::function<void(std::function<void()>)> poster() {
    return [this](std::function<void()> call) {
      const std::lock_guard lock(m_mutex);
      m_calls.push_back(std::move(call));
      m_posted.notify_one();
    };
  }

  // Runs until `is_done` returns true; fails the test after `kMaxRounds`.
  void RunUntil(const std::string& what, const std::function<bool()>& is_done) {
    for (int round = 0; round < kMaxRounds && !is_done(); ++round) {
      RunOne();
    }
    CPPUNIT_ASSERT_MESSAGE(what, is_done());
  }

 private:
  void RunOne() {
    std::function<void()> call;
    {
      std::unique_lock lock(m_mutex);
      m_posted.wait_for(lock, milliseconds(1),
                        [this] { return !m_calls.empty(); });
      if (!m_calls.empty()) {
        call = std::move(m_calls.front());
        m_calls.pop_front();
      }
    }
    if (call) {
      call();
    } else {
      m_manual.Advance(milliseconds(5));
    }
  }

  util::ManualClock m_manual;
  std::mutex m_mutex;
  std::condition_variable m_posted;
  std::deque<std::function<void()>> m_calls;
};

// One instance: a network with hooks that keep minimal state.
struct TestInstance {
  TestInstance(ControlLoop* loop,
               const std::string& name,
               std::uint64_t incarnation,
               const std::string& cluster = "test") {
    PeerOptions options{
        .m_self = {.m_name = name, .m_incarnation = incarnation},
        .m_cluster = cluster,
        .m_zone = "a",
        .m_listen = {.m_ip = "127.0.7.1"},
        .m_clock = loop->clock(),
        .m_metrics = &m_metrics};
    PeerHooks hooks;
    hooks.m_post = loop->poster();
    hooks.m_local_state = [this] { return m_local; };
    hooks.m_sections = [this] { return m_sections; };
    hooks.m_drains = [this] { return m_drains; };
    hooks.m_on_sections = [this](const std::vector<SectionState>& sections) {
      Merge(sections);
    };
    hooks.m_on_fold_digest = [this](std::uint64_t as_of, std::uint64_t digest) {
      m_peer_fold = {as_of, digest};
    };
    hooks.m_on_drain = [this](const DrainNotice& notice) {
      if (std::find(m_drains.begin(), m_drains.end(), notice) ==
          m_drains.end()) {
        m_drains.push_back(notice);
      }
    };
    hooks.m_limits = [this] { return m_limits; };
    hooks.m_on_limit = [this](const LimitNotice& notice) {
      m_limits.push_back(notice);
    };
    hooks.m_on_in_flight = [this](const auto& peer, const auto& service,
                                  const auto& counts) {
      m_in_flight = peer + "/" + service;
      for (const auto& [target, count] : counts) {
        m_in_flight += "/" + target + "=" + std::to_string(count);
      }
    };
    hooks.m_answer_ledger =
        [](const ledger::LedgerQuestion& question,
           const std::function<void(ledger::LedgerReply)>& reply) {
          reply({.m_status = ledger::LedgerReply::Status::kDone,
                 .m_attempt = question.m_attempt,
                 .m_answer = {.m_status = 201,
                              .m_headers = {{"A", "b"}},
                              .m_body = question.m_asker.m_name}});
        };
    hooks.m_take_handover = [this](const ledger::LedgerHandover& part) {
      m_received_handover = part;
      return true;
    };
    hooks.m_streams.m_records = [this](const std::string&, std::uint64_t from,
                                       std::size_t) {
      std::vector<feed::KeyedRecord> records;
      for (const feed::KeyedRecord& record : m_records) {
        if (record.m_offset >= from) {
          records.push_back(record);
        }
      }
      return records;
    };
    hooks.m_streams.m_on_records = [this](const std::string& stream,
                                          const feed::PeerRecords& fetched) {
      const std::vector<feed::KeyedRecord>& records = fetched.m_records;
      m_received_records.insert(m_received_records.end(), records.begin(),
                                records.end());
      const std::uint64_t read_to =
          records.empty() ? 0 : records.back().m_offset + 1;
      m_local.m_streams = {{.m_stream = stream, .m_changed_to = read_to}};
    };
    hooks.m_streams.m_on_stream = [this](const std::string&,
                                         const feed::StreamState& stream_state)
        -> std::optional<std::uint64_t> {
      if (stream_state.m_read_at.has_value()) {
        m_reported_reads.push_back(*stream_state.m_read_at);
      }
      const std::uint64_t own =
          m_local.m_streams.empty() ? 0 : m_local.m_streams[0].m_changed_to;
      return stream_state.m_changed_to > own ? std::optional(own)
                                             : std::nullopt;
    };
    m_network = std::make_unique<PeerNetwork>(options, hooks);
    CPPUNIT_ASSERT(m_network->Start());
  }

  void Merge(const std::vector<SectionState>& sections) {
    for (const SectionState& section : sections) {
      const auto found = std::find_if(
          m_sections.begin(), m_sections.end(), [&](const SectionState& known) {
            return known.m_section == section.m_section;
          });
      if (found == m_sections.end()) {
        m_sections.push_back(section);
      } else if (found->m_version < section.m_version) {
        *found = section;
      }
    }
    m_local.m_config_digest = 0;
    for (const SectionState& section : m_sections) {
      m_local.m_config_digest += section.m_version * 1'000'003;
      m_local.m_config_version =
          std::max(m_local.m_config_version, section.m_version);
    }
  }

  void SetListedPeer(const TestInstance& other, const std::string& name) const {
    ListedInstance listed;
    listed.m_name = name;
    listed.m_peers = other.m_network->listen_address();
    m_network->SetListed({listed});
  }

  std::optional<Member> FindMember(const std::string& name) const {
    for (const Member& member : m_network->Members()) {
      if (member.m_id.m_name == name) {
        return member;
      }
    }
    return std::nullopt;
  }

  bool HasLiveMember(const std::string& name) const {
    const auto member = FindMember(name);
    return member && member->m_state == MemberState::kLive;
  }

  util::Metrics m_metrics;
  LocalState m_local;
  std::vector<SectionState> m_sections;
  std::pair<std::uint64_t, std::uint64_t> m_peer_fold;
  std::vector<DrainNotice> m_drains;
  std::vector<LimitNotice> m_limits;
  std::string m_in_flight;
  ledger::LedgerHandover m_received_handover;
  // The store's records that this instance sends, those that it received, and
  // the times at which peers reported reading the store.
  std::vector<feed::KeyedRecord> m_records;
  std::vector<feed::KeyedRecord> m_received_records;
  std::vector<TimePoint> m_reported_reads;
  std::unique_ptr<PeerNetwork> m_network;
};

SectionState MakeSection(const std::string& name, std::uint64_t version) {
  return {.m_section = name,
          .m_team = "t",
          .m_version = version,
          .m_toml = "x = 1\n",
          .m_schema = 1};
}

}  // namespace

GUAVACROSS_TEST_CASE(PeerExchange) {
  ControlLoop loop;
  TestInstance a(&loop, "a", 1);
  TestInstance b(&loop, "b", 1);
  Section("one listed address is enough for both to see each other", [&] {
    a.SetListedPeer(b, "b");
    loop.RunUntil("a and b see each other",
                  [&] { return a.HasLiveMember("b") && b.HasLiveMember("a"); });
    CPPUNIT_ASSERT_EQUAL(2, a.m_network->LiveCount());
  });
  Section("a drain reaches the peer", [&] {
    const DrainNotice notice{.m_service = "catalog", .m_target = "t1"};
    a.m_drains.push_back(notice);
    a.m_network->PushDrain(notice);
    loop.RunUntil("b knows the drain", [&] { return b.m_drains.size() == 1; });
  });
  Section("a drain that was never pushed is sent after digests differ", [&] {
    b.m_drains.push_back({.m_service = "archive", .m_target = "t2"});
    loop.RunUntil("a knows b's drain", [&] { return a.m_drains.size() == 2; });
  });
  Section("a limit that a target names reaches the peer", [&] {
    a.m_limits = {{.m_service = "catalog",
                   .m_target = "t1",
                   .m_limit = 2.1,
                   .m_age = seconds(1)}};
    a.m_network->PushLimit(a.m_limits.front());
    loop.RunUntil("b knows the limit", [&] { return !b.m_limits.empty(); });
    CPPUNIT_ASSERT_EQUAL(2.1, b.m_limits.front().m_limit);
    Section("and doesn't get younger on the way",
            [&] { CPPUNIT_ASSERT(b.m_limits.front().m_age >= seconds(1)); });
    Section("also if it was never pushed", [&] {
      b.m_limits.front() = {.m_service = "catalog", .m_target = "t3"};
      loop.RunUntil("a hears of b's", [&] {
        return std::any_of(
            a.m_limits.begin(), a.m_limits.end(),
            [](const LimitNotice& each) { return each.m_target == "t3"; });
      });
    });
  });
  Section("a section in force on one comes into force on the other", [&] {
    a.Merge({MakeSection("catalog", 7)});
    a.m_network->PushSections({MakeSection("catalog", 7)});
    loop.RunUntil("b has the section",
                  [&] { return b.m_sections.size() == 1; });
  });
  Section("an older version doesn't replace a newer one", [&] {
    b.Merge({MakeSection("catalog", 9)});
    loop.RunUntil("a has the newer version",
                  [&] { return a.m_sections[0].m_version == 9; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, b.m_sections[0].m_version);
  });
  Section("in-flight counts arrive with target names", [&] {
    b.m_network->SetTargets("catalog", {"t1", "t2"});
    a.m_local.m_in_flight = {{"catalog", {{"t2", 3}}}};
    loop.RunUntil("b receives a's counts",
                  [&] { return b.m_in_flight == "a/catalog/t2=3"; });
    a.m_local.m_in_flight.clear();
    loop.RunUntil("b receives empty counts",
                  [&] { return b.m_in_flight == "a/catalog"; });
  });
  Section("a question to the ledger is answered", [&] {
    std::optional<ledger::LedgerReply> reply;
    a.m_network->AskLedger({.m_name = "b", .m_incarnation = 1},
                           {.m_attempt = 4},
                           [&](const ledger::LedgerReply& r) { reply = r; });
    loop.RunUntil("the answer comes", [&] { return reply.has_value(); });
    CPPUNIT_ASSERT(reply->m_status == ledger::LedgerReply::Status::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), reply->m_answer.m_body);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, reply->m_attempt);
  });
  Section("a question to another incarnation has no answer", [&] {
    std::optional<ledger::LedgerReply> reply;
    a.m_network->AskLedger({.m_name = "b", .m_incarnation = 2}, {},
                           [&](const ledger::LedgerReply& r) { reply = r; });
    loop.RunUntil("the answer comes", [&] { return reply.has_value(); });
    CPPUNIT_ASSERT(reply->m_status ==
                   ledger::LedgerReply::Status::kUnreachable);
  });
  Section("a handover arrives as it was sent", [&] {
    ledger::HandedClaim given;
    given.m_key = {.m_high = 1, .m_low = 2};
    given.m_attempt = 3;
    given.m_minted = true;
    given.m_given_to = InstanceId{.m_name = "c", .m_incarnation = 8};
    ledger::HandedClaim done;
    done.m_key = {.m_high = 4, .m_low = 5};
    done.m_end.m_outcome = Outcome::kDone;
    done.m_end.m_answer.m_status = 200;
    done.m_end.m_answer.m_headers = {{"X", "y"}};
    done.m_end.m_answer.m_body = "z";
    ledger::LedgerHandover part;
    part.m_from = {.m_name = "a", .m_incarnation = 1};
    part.m_claims = {given, done};
    part.m_last = true;
    part.m_minters = {part.m_from};
    part.m_ages_ms = {17};
    bool taken = false;
    a.m_network->HandOver({.m_name = "b", .m_incarnation = 1}, part,
                          [&](bool was_taken) { taken = was_taken; });
    loop.RunUntil("the handover is taken", [&] { return taken; });
    CPPUNIT_ASSERT(b.m_received_handover == part);
  });
  Section("leaving is announced at once", [&] {
    a.m_network->AnnounceLeaving();
    loop.RunUntil("b sees a leaving", [&] {
      return b.FindMember("a")->m_state == MemberState::kLeaving;
    });
  });
  Section("an instance that stopped becomes dead", [&] {
    a.m_network->Stop();
    loop.RunUntil("b sees a dead", [&] {
      return b.FindMember("a")->m_state == MemberState::kDead;
    });
    CPPUNIT_ASSERT_EQUAL(1, b.m_network->LiveCount());
  });
}

GUAVACROSS_TEST_CASE(PeersGossip) {
  ControlLoop loop;
  TestInstance a(&loop, "a", 1);
  TestInstance b(&loop, "b", 1);
  TestInstance c(&loop, "c", 1);
  Section("the first fetch returns all sections, in pages", [&] {
    std::vector<SectionState> sections;
    for (std::uint64_t i = 1; i <= 3000; ++i) {
      sections.push_back(MakeSection("s" + std::to_string(i), i));
      sections.back().m_toml = std::string(300, 'x');
    }
    sections.front().m_fallbacks[0] = "older";
    a.Merge(sections);
    a.m_local.m_fold_offset = 7;
    a.m_local.m_fold_digest = 8;
    b.SetListedPeer(a, "a");
    loop.RunUntil("b has all sections",
                  [&] { return b.m_sections.size() == 3000; });
    const auto first = std::find(b.m_sections.begin(), b.m_sections.end(),
                                 a.m_sections.front());
    CPPUNIT_ASSERT(first != b.m_sections.end());
  });
  Section("heartbeats carry the digest of the folded state", [&] {
    loop.RunUntil("b receives the digest", [&] {
      return b.m_peer_fold == std::pair<std::uint64_t, std::uint64_t>{7, 8};
    });
  });
  Section("an unlisted instance is found by its messages", [&] {
    c.SetListedPeer(a, "a");
    loop.RunUntil("a sees c", [&] { return a.HasLiveMember("c"); });
  });
}

// Guards against instances that only ever see the one that all of them started
// from: each then divides what is shared by too few instances.
GUAVACROSS_TEST_CASE(PeersOfACommonSeedMeet) {
  ControlLoop loop;
  std::vector<std::unique_ptr<TestInstance>> all;
  for (const char* const name : {"a", "b", "c", "d", "e", "f"}) {
    all.push_back(std::make_unique<TestInstance>(&loop, name, 1));
  }
  for (std::size_t i = 1; i < all.size(); ++i) {
    all[i]->SetListedPeer(*all.front(), "a");
  }
  loop.RunUntil("every instance sees all others", [&] {
    return std::all_of(all.begin(), all.end(), [&](const auto& instance) {
      return instance->m_network->LiveCount() == static_cast<int>(all.size());
    });
  });
}

GUAVACROSS_TEST_CASE(RefusedPeerMessages) {
  ControlLoop loop;
  TestInstance a(&loop, "a", 5);
  Section("an instance of another cluster", [&] {
    TestInstance stranger(&loop, "x", 1, "other");
    stranger.SetListedPeer(a, "a");
    loop.RunUntil("the refusal is counted", [&] {
      return a.m_metrics.Text().find("reason=\"incompatible\"") !=
             std::string::npos;
    });
    CPPUNIT_ASSERT(!a.FindMember("x"));
    CPPUNIT_ASSERT(!stranger.HasLiveMember("a"));
  });
  GrpcTransport raw({.m_listen = {.m_ip = "127.0.7.2"}},
                    {.m_post = loop.poster(), .m_on_request = {}});
  CPPUNIT_ASSERT(raw.Start());
  const auto ask = [&](const proto::PeerRequest& request) {
    std::optional<std::optional<proto::PeerReply>> reply;
    raw.Call(a.m_network->listen_address(), request, seconds(5),
             [&](std::optional<proto::PeerReply> r) { reply = std::move(r); });
    loop.RunUntil("an answer", [&] { return reply.has_value(); });
    return *reply;
  };
  proto::PeerRequest request;
  request.mutable_header()->set_version(1);
  request.mutable_header()->set_cluster("test");
  request.mutable_header()->set_from("raw");
  request.mutable_header()->set_from_incarnation(3);
  Section("a message without a body", [&] {
    CPPUNIT_ASSERT(ask(request)->refusal() == proto::PeerReply::BAD_MESSAGE);
  });
  Section("a newer protocol version", [&] {
    proto::PeerRequest newer = request;
    newer.mutable_header()->set_version(2);
    newer.mutable_news();
    CPPUNIT_ASSERT(ask(newer)->refusal() == proto::PeerReply::INCOMPATIBLE);
  });
  Section("counts that don't match their targets", [&] {
    proto::PeerRequest bad = request;
    bad.mutable_heartbeat()->add_in_flight(1);
    CPPUNIT_ASSERT(ask(bad)->refusal() == proto::PeerReply::BAD_MESSAGE);
  });
  Section("a question of an unknown kind", [&] {
    proto::PeerRequest bad = request;
    bad.mutable_question()->set_kind(99);
    CPPUNIT_ASSERT(ask(bad)->refusal() == proto::PeerReply::BAD_MESSAGE);
  });
  Section("a message that is too large", [&] {
    proto::PeerRequest large = request;
    large.mutable_news()->add_sections()->set_toml(std::string(1 << 20, 'x'));
    CPPUNIT_ASSERT(!ask(large).has_value());
  });
  Section("refused messages change no state", [&] {
    CPPUNIT_ASSERT(!a.FindMember("raw") && a.m_sections.empty());
  });
}

GUAVACROSS_TEST_CASE(SectionRepairPages) {
  std::vector<SectionState> sections;
  for (int i = 0; i < 50; ++i) {
    sections.push_back(MakeSection("s" + std::to_string(i), 1));
  }
  Section("no sections are sent if all are equal", [&] {
    proto::SectionsRequest request;
    for (const std::uint64_t digest : BucketDigests(sections)) {
      request.add_bucket_digests(digest);
    }
    proto::SectionsReply reply;
    AnswerSections(request, sections, 1 << 20, &reply);
    CPPUNIT_ASSERT_EQUAL(0, reply.sections_size());
  });
  Section("pages add up to all sections", [&] {
    proto::SectionsRequest request;
    int count = 0;
    bool more = true;
    while (more) {
      proto::SectionsReply reply;
      AnswerSections(request, sections, 100, &reply);
      CPPUNIT_ASSERT(reply.sections_size() > 0);
      count += reply.sections_size();
      request.set_after(reply.last_name());
      more = reply.more();
    }
    CPPUNIT_ASSERT_EQUAL(50, count);
  });
  Section("the budget refills at its rate up to its burst size", [] {
    RepairBudget budget(100, 1000);
    const TimePoint start{std::chrono::hours(1)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, budget.Available(start));
    budget.Charge(1500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.Available(start + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{100},
                         budget.Available(start + seconds(6)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000},
                         budget.Available(start + seconds(600)));
  });
}

GUAVACROSS_TEST_CASE(PeersShareStoreRecords) {
  ControlLoop loop;
  TestInstance a(&loop, "a", 1);
  TestInstance b(&loop, "b", 1);
  const Clock clock = loop.clock();
  const TimePoint read_at = clock.m_now();
  a.m_local.m_streams = {
      {.m_stream = "targets", .m_changed_to = 2, .m_read_at = read_at}};
  a.m_records = {{.m_key = "t1", .m_value = "ready", .m_offset = 0},
                 {.m_key = "t2", .m_offset = 1}};
  b.SetListedPeer(a, "a");

  Section("missing records are fetched from a peer", [&] {
    loop.RunUntil("the records arrive",
                  [&] { return b.m_received_records == a.m_records; });
  });

  Section("the age of a read grows from heartbeat to heartbeat", [&] {
    const TimePoint until = clock.m_now() + seconds(3);
    loop.RunUntil("time passed", [&] { return clock.m_now() >= until; });
    CPPUNIT_ASSERT(b.m_reported_reads.size() > 4);
    CPPUNIT_ASSERT(b.m_reported_reads.back() < until - seconds(2));
  });
}

}  // namespace guavacross::peers
