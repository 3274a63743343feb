#include "peers/peer_network.h"

#include <string>
#include <vector>

#include "peers/section_repair.h"
#include "peers/testing/test_instance.h"
#include "util/test_case.h"

namespace guavacross::peers {

namespace {

using std::chrono::seconds;
using testing::ControlLoop;
using testing::TestInstance;
using util::Section;

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

}  // namespace guavacross::peers
