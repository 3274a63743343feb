#include "ledger/request_ledger.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "ledger/key_identity.h"
#include "log_service/fake_log.h"
#include "util/manual_clock.h"
#include "util/story_test.h"

namespace guavacross::ledger {

namespace {

using log_service::FakeLog;
using log_service::LostAnswer;
using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr Duration kAskTimeout = seconds(1);
constexpr Duration kDeathNoticed = seconds(4);
constexpr Duration kRememberAtLeast = seconds(60);
constexpr int kSlots = 4;

// Entry instances that share a log, in one thread and with manual time. An
// instance can be paused (its events wait), crash, and start again.
class Cluster {
 public:
  struct Node {
    InstanceId m_id;
    bool m_paused = false;
    bool m_crashed = false;
    TimePoint m_crashed_at;
    std::deque<std::function<void()>> m_backlog;
    std::unique_ptr<RequestLedger> m_ledger;
  };

  // One copy of a request that was sent to an instance.
  struct Copy {
    std::optional<ClaimDecision> m_decision;
  };

  explicit Cluster(Duration retention = Duration::zero())
      : m_clock(m_manual.clock()), m_log(m_manual.clock()) {
    m_log.SetLatency(milliseconds(3));
    m_log.SetRetention(retention);
    m_nodes.resize(kSlots);
    for (int slot = 0; slot < kSlots; ++slot) {
      Start(slot);
    }
    Advance(milliseconds(50));
  }

  void Start(int slot) {
    auto node = std::make_shared<Node>();
    node->m_id = {.m_name = "i" + std::to_string(slot),
                  .m_incarnation = ++m_incarnations};
    m_nodes[slot] = node;
    node->m_ledger =
        std::make_unique<RequestLedger>(OptionsOf(node), HooksOf(node, slot));
    node->m_ledger->Start();
  }

  void Crash(int slot) {
    Node& node = *m_nodes[slot];
    if (!node.m_crashed) {
      node.m_crashed = true;
      node.m_crashed_at = m_clock.m_now();
      node.m_backlog.clear();
      node.m_ledger.reset();
    }
  }

  void Pause(int slot) { m_nodes[slot]->m_paused = true; }

  void Continue(int slot) {
    const auto node = m_nodes[slot];
    node->m_paused = false;
    while (!node->m_backlog.empty() && !node->m_paused) {
      const auto event = std::move(node->m_backlog.front());
      node->m_backlog.pop_front();
      event();
    }
  }

  std::shared_ptr<Copy> Send(int slot,
                             const std::string& key,
                             std::uint64_t fingerprint = 1) {
    auto copy = std::make_shared<Copy>();
    const auto node = m_nodes[slot];
    if (node->m_crashed) {
      return copy;
    }
    OnNode(node, [this, node, key, fingerprint, copy] {
      node->m_ledger->access().m_claim(
          KeyOf(key), fingerprint,
          [this, node, key, copy](const ClaimDecision& decision) {
            copy->m_decision = decision;
            OnDecision(node, key, decision);
          });
    });
    return copy;
  }

  void Advance(Duration duration) { m_manual.Advance(duration); }

  static RequestKey KeyOf(const std::string& key) {
    return {.m_service = "billing", .m_tenant = "t", .m_key = key};
  }

  static RecordedAnswer AnswerOf(const std::string& key) {
    return {.m_status = 201, .m_body = "answer to " + key};
  }

  FakeLog& log() { return m_log; }
  Node& node(int slot) { return *m_nodes[slot]; }
  int RunsOf(const std::string& key) { return m_runs[key]; }
  // How the next runs end: the outcome, and the time that they take.
  void SetRun(Outcome outcome, Duration time) {
    m_outcome = outcome;
    m_run_time = time;
  }
  void SetAskLost(bool lost) { m_ask_lost = lost; }
  const std::string& violation() const { return m_violation; }

 private:
  using NodePtr = std::shared_ptr<Node>;

  // Runs an event on a node now, when it continues, or never.
  static void OnNode(const NodePtr& node, std::function<void()> event) {
    if (node->m_crashed) {
      return;
    }
    if (node->m_paused) {
      node->m_backlog.push_back(std::move(event));
    } else {
      event();
    }
  }

  LedgerOptions OptionsOf(const NodePtr& node) {
    LedgerOptions options{.m_self = node->m_id, .m_clock = m_clock};
    options.m_remember_at_least = kRememberAtLeast;
    options.m_remember = seconds(300);
    options.m_clock_skew = seconds(1);
    options.m_identity_lifetime = seconds(60);
    options.m_log_retention = seconds(40);
    options.m_clock.m_call_after = [this, weak = std::weak_ptr<Node>(node)](
                                       Duration delay,
                                       std::function<void()> call) {
      return CallAfter(weak, delay, std::move(call));
    };
    return options;
  }

  // A cancelled timer must not fire from the backlog of a paused node.
  struct NodeTimer : Timer {
    std::unique_ptr<Timer> m_inner;
    std::shared_ptr<bool> m_cancelled = std::make_shared<bool>(false);
    ~NodeTimer() override { *m_cancelled = true; }
  };

  std::unique_ptr<Timer> CallAfter(const std::weak_ptr<Node>& weak,
                                   Duration delay,
                                   std::function<void()> call) {
    auto timer = std::make_unique<NodeTimer>();
    auto cancelled = timer->m_cancelled;
    timer->m_inner = m_clock.m_call_after(delay, [weak, cancelled, call] {
      if (const auto node = weak.lock()) {
        OnNode(node, [cancelled, call] {
          if (!*cancelled) {
            call();
          }
        });
      }
    });
    return timer;
  }

  LedgerHooks HooksOf(const NodePtr& node, int slot) {
    const std::weak_ptr<Node> weak = node;
    LedgerHooks hooks;
    hooks.m_post = [](const std::function<void()>& call) { call(); };
    hooks.m_members = [this, slot] { return MembersSeenBy(slot); };
    hooks.m_ask = [this](const InstanceId& peer, const LedgerQuestion& question,
                         std::function<void(LedgerReply)> reply) {
      Ask(peer, question, std::move(reply));
    };
    hooks.m_hand_over = [this](const InstanceId& peer,
                               const LedgerHandover& part,
                               const std::function<void(bool)>& done) {
      const NodePtr target = FindNode(peer);
      done(target != nullptr && target->m_ledger->TakeHandover(part));
    };
    const LogAccess access = m_log.access(node->m_id.m_name);
    hooks.m_log.m_append =
        [weak, access](const std::string& stream, const std::string& data,
                       std::function<void(AppendResult)> done) {
          access.m_append(stream, data, [weak, done](AppendResult result) {
            if (const auto node = weak.lock()) {
              OnNode(node, [done, result] { done(result); });
            }
          });
        };
    hooks.m_log.m_read = [weak, access](
                             const std::string& stream, std::uint64_t from,
                             Duration wait,
                             std::function<void(Result<LogBatch>)> done) {
      access.m_read(stream, from, wait, [weak, done](Result<LogBatch> batch) {
        const auto node = weak.lock();
        if (node == nullptr) {
          return;
        }
        if (batch) {
          OnNode(node, [done, kept = batch.value()] { done(kept); });
        } else {
          OnNode(node,
                 [done] { done(Fail(ErrorKind::kLogUnavailable, "out")); });
        }
      });
    };
    return hooks;
  }

  NodePtr FindNode(const InstanceId& id) {
    for (const NodePtr& node : m_nodes) {
      if (node != nullptr && node->m_id == id && !node->m_crashed) {
        return node;
      }
    }
    return nullptr;
  }

  std::vector<Member> MembersSeenBy(int slot) {
    std::vector<Member> members;
    for (int other = 0; other < kSlots; ++other) {
      const NodePtr& node = m_nodes[other];
      if (other == slot || node == nullptr) {
        continue;
      }
      Member member{.m_id = node->m_id};
      if (node->m_crashed &&
          m_clock.m_now() - node->m_crashed_at > kDeathNoticed) {
        member.m_state = MemberState::kDead;
      }
      members.push_back(member);
    }
    return members;
  }

  void Ask(const InstanceId& peer,
           const LedgerQuestion& question,
           std::function<void(LedgerReply)> reply) {
    auto answered = std::make_shared<bool>(false);
    auto once = [answered, reply = std::move(reply)](LedgerReply answer) {
      if (!*answered) {
        *answered = true;
        reply(std::move(answer));
      }
    };
    m_timers.push_back(m_clock.m_call_after(kAskTimeout, [once] { once({}); }));
    const NodePtr target = FindNode(peer);
    if (target == nullptr) {
      return;
    }
    const bool lost = m_ask_lost;
    OnNode(target, [target, question, once, lost] {
      target->m_ledger->AnswerPeer(question, [once, lost](LedgerReply answer) {
        if (!lost) {
          once(std::move(answer));
        }
      });
    });
  }

  void OnDecision(const NodePtr& node,
                  const std::string& key,
                  const ClaimDecision& decision) {
    const bool told_not_run =
        decision.m_kind == ClaimDecision::Kind::kRefuse &&
        AnswerFor(decision.m_error.m_kind).m_outcome == Outcome::kNotRun;
    if (m_ran_at.contains(key) &&
        m_clock.m_now() - m_ran_at[key] > kRememberAtLeast) {
      // Past the time for which the ledger promises anything.
      return;
    }
    if (told_not_run && (m_runs[key] > 0 || m_running[key] > 0)) {
      m_violation = key + " was told as not run, but ran";
    }
    if (decision.m_kind == ClaimDecision::Kind::kReplay &&
        decision.m_answer != AnswerOf(key)) {
      m_violation = key + " got another request's answer";
    }
    if (decision.m_kind != ClaimDecision::Kind::kRun) {
      return;
    }
    const Outcome outcome = m_outcome;
    if (outcome != Outcome::kNotRun && ++m_runs[key] > 1) {
      m_violation = key + " ran twice";
    }
    m_ran_at.try_emplace(key, m_clock.m_now());
    if (++m_running[key] > 1) {
      m_violation = key + " was granted twice at once";
    }
    m_timers.push_back(m_clock.m_call_after(m_run_time, [=, this] {
      if (!node->m_crashed) {
        --m_running[key];
      }
      OnNode(node, [=] {
        node->m_ledger->access().m_finish(
            KeyOf(key), {.m_outcome = outcome, .m_answer = AnswerOf(key)});
      });
    }));
  }

  util::ManualClock m_manual;
  Clock m_clock;
  FakeLog m_log;
  std::vector<NodePtr> m_nodes;
  std::uint64_t m_incarnations = 0;
  std::deque<std::unique_ptr<Timer>> m_timers;
  std::map<std::string, int> m_runs;
  std::map<std::string, int> m_running;
  std::map<std::string, TimePoint> m_ran_at;
  Outcome m_outcome = Outcome::kDone;
  Duration m_run_time = milliseconds(10);
  bool m_ask_lost = false;
  std::string m_violation;
};

using Kind = ClaimDecision::Kind;

void AssertRefused(const Cluster::Copy& copy, ErrorKind kind) {
  CPPUNIT_ASSERT(copy.m_decision.has_value());
  CPPUNIT_ASSERT(copy.m_decision->m_kind == Kind::kRefuse);
  CPPUNIT_ASSERT_EQUAL(
      std::string(AnswerFor(kind).m_name),
      std::string(AnswerFor(copy.m_decision->m_error.m_kind).m_name));
}

void AssertKind(const Cluster::Copy& copy, Kind kind) {
  CPPUNIT_ASSERT(copy.m_decision.has_value());
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(kind),
                       static_cast<int>(copy.m_decision->m_kind));
}

// Whatever may go wrong with instances, with the log, and between instances.
void InjectFault(Cluster* cluster, std::uint32_t step) {
  const int slot = static_cast<int>((step >> 8) % kSlots);
  const std::uint32_t choice = step >> 16;
  switch (step % 12) {
    case 0:
      cluster->Pause(slot);
      break;
    case 1:
    case 2:
      cluster->Continue(slot);
      break;
    case 3:
      cluster->Crash(slot);
      break;
    case 4:
      if (cluster->node(slot).m_crashed) {
        cluster->Start(slot);
      }
      break;
    case 5:
      cluster->log().SetOutage(choice % 3 == 0);
      break;
    case 6:
      cluster->log().LoseAnswers(2, static_cast<LostAnswer>(choice % 3));
      break;
    case 7:
      cluster->log().DeliverDelayed();
      break;
    case 8:
      cluster->SetAskLost(choice % 3 == 0);
      break;
    case 9:
      cluster->SetRun(static_cast<Outcome>(choice % 3),
                      milliseconds(choice % 2048));
      break;
    case 10:
      cluster->log().SetLatency(milliseconds(choice % 1024));
      cluster->log().SetCutOff("i" + std::to_string(slot), choice % 2 == 0);
      break;
    case 11:
      if (!cluster->node(slot).m_crashed && !cluster->node(slot).m_paused) {
        cluster->node(slot).m_ledger->HandOver([] {});
        cluster->Crash(slot);
      }
      break;
  }
}

// Sends copies of a few requests to any instances while faults are injected.
//
// @return the promise that was broken, or nothing.
std::string ViolationAfter(const std::vector<std::uint32_t>& steps,
                           Duration retention) {
  Cluster cluster(retention);
  std::vector<std::string> keys;
  for (int key = 0; key < 3; ++key) {
    keys.push_back("k" + std::to_string(key));
    keys.push_back(cluster.node(key).m_ledger->MintIdentity() + ".1");
  }
  for (const std::uint32_t step : steps) {
    if (step % 2 == 0) {
      InjectFault(&cluster, step >> 1);
    } else {
      cluster.Send(static_cast<int>((step >> 1) % kSlots),
                   keys[(step >> 4) % keys.size()]);
    }
    const bool is_long = step % 37 == 0;
    cluster.Advance(is_long ? seconds(step % 50)
                            : milliseconds((step >> 20) % 1024));
    if (!cluster.violation().empty()) {
      return cluster.violation();
    }
  }
  for (int slot = 0; slot < kSlots; ++slot) {
    cluster.Continue(slot);
  }
  cluster.log().DeliverDelayed();
  cluster.Advance(seconds(5));
  return cluster.violation();
}

void RunAnyFaults(Duration retention) {
  const auto any_number =
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  const auto steps =
      *rc::gen::container<std::vector<std::uint32_t>>(any_number);
  const std::string violation = ViolationAfter(steps, retention);
  if (!violation.empty()) {
    RC_FAIL(violation);
  }
}

}  // namespace

GUAVACROSS_STORY(LedgerPlainKeys) {
  Cluster cluster;
  const auto first = cluster.Send(0, "k1");
  Section("nothing runs before the claim is read back",
          [&] { CPPUNIT_ASSERT(!first->m_decision.has_value()); });
  cluster.Advance(milliseconds(200));
  Section("the first copy runs", [&] { AssertKind(*first, Kind::kRun); });
  Section("a re-send to any instance gets the recorded answer", [&] {
    for (int slot = 0; slot < kSlots; ++slot) {
      const auto copy = cluster.Send(slot, "k1");
      cluster.Advance(milliseconds(100));
      AssertKind(*copy, Kind::kReplay);
    }
  });
  Section("the same key for another request is refused", [&] {
    const auto copy = cluster.Send(2, "k1", 77);
    cluster.Advance(milliseconds(100));
    AssertRefused(*copy, ErrorKind::kKeyConflict);
  });
  Section("while it runs, a re-send hears that it is in progress", [&] {
    cluster.SetRun(Outcome::kDone, seconds(2));
    cluster.Send(0, "k2");
    cluster.Advance(milliseconds(200));
    const auto copy = cluster.Send(1, "k2");
    cluster.Advance(milliseconds(100));
    AssertRefused(*copy, ErrorKind::kKeyInProgress);
  });
  Section("after an end as not run, a re-send elsewhere runs", [&] {
    cluster.SetRun(Outcome::kNotRun, milliseconds(1));
    cluster.Send(0, "k3");
    cluster.Advance(milliseconds(300));
    cluster.SetRun(Outcome::kDone, milliseconds(1));
    const auto copy = cluster.Send(1, "k3");
    cluster.Advance(milliseconds(300));
    AssertKind(*copy, Kind::kRun);
  });
  CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
}

GUAVACROSS_STORY(LedgerHolderFails) {
  Section("a dead holder's request is lost for good", [] {
    Cluster cluster;
    cluster.SetRun(Outcome::kDone, seconds(9));
    cluster.Send(0, "k");
    cluster.Advance(milliseconds(300));
    cluster.Crash(0);
    const auto soon = cluster.Send(1, "k");
    cluster.Advance(seconds(5));
    AssertRefused(*soon, ErrorKind::kKeyInProgress);
    const auto later = cluster.Send(1, "k");
    cluster.Advance(seconds(2));
    AssertRefused(*later, ErrorKind::kOutcomeLost);
    cluster.Start(0);
    cluster.Advance(seconds(1));
    const auto again = cluster.Send(0, "k");
    cluster.Advance(seconds(2));
    AssertRefused(*again, ErrorKind::kOutcomeLost);
    CPPUNIT_ASSERT_EQUAL(1, cluster.RunsOf("k"));
  });
  Section("a paused holder stays the only one that may run it", [] {
    Cluster cluster;
    cluster.Send(0, "k");
    cluster.Advance(milliseconds(1));
    cluster.Pause(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cluster.log().End(kClaimStream));
    cluster.Advance(seconds(30));
    const auto other = cluster.Send(1, "k");
    cluster.Advance(seconds(30));
    CPPUNIT_ASSERT(other->m_decision->m_kind == Kind::kRefuse);
    CPPUNIT_ASSERT_EQUAL(0, cluster.RunsOf("k"));
    cluster.Continue(0);
    cluster.Advance(seconds(5));
    // Its own caller's copy was given up while it was paused, or runs now.
    CPPUNIT_ASSERT(cluster.RunsOf("k") <= 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
  });
  Section("a holder that leaves hands its answers to a peer", [] {
    Cluster cluster;
    cluster.Send(0, "k");
    cluster.Advance(milliseconds(300));
    bool done = false;
    cluster.node(0).m_ledger->HandOver([&done] { done = true; });
    CPPUNIT_ASSERT(done);
    cluster.Crash(0);
    cluster.Advance(seconds(5));
    for (int slot = 1; slot < kSlots; ++slot) {
      const auto copy = cluster.Send(slot, "k");
      cluster.Advance(seconds(2));
      AssertKind(*copy, Kind::kReplay);
    }
  });
}

GUAVACROSS_STORY(LedgerStoreFails) {
  Section("with the store out, nothing runs and a first copy hears not-run",
          [] {
            Cluster cluster;
            // Each has read the log to its end since it knows the others.
            cluster.Advance(seconds(2));
            cluster.log().SetOutage(true);
            const auto copy = cluster.Send(0, "k");
            cluster.Advance(seconds(4));
            AssertRefused(*copy, ErrorKind::kStoreUnavailable);
            CPPUNIT_ASSERT_EQUAL(0, cluster.RunsOf("k"));
            cluster.log().SetOutage(false);
            cluster.Advance(seconds(6));
            const auto again = cluster.Send(1, "k");
            cluster.Advance(seconds(1));
            AssertKind(*again, Kind::kRun);
          });
  Section("it hears unknown if an instance came since the log was read", [] {
    Cluster cluster;
    cluster.Advance(seconds(2));
    cluster.log().SetOutage(true);
    cluster.Crash(2);
    cluster.Start(2);
    const auto copy = cluster.Send(0, "k");
    cluster.Advance(seconds(4));
    AssertRefused(*copy, ErrorKind::kAppendUnclear);
    CPPUNIT_ASSERT_EQUAL(0, cluster.RunsOf("k"));
  });
  Section("a re-send that missed the first copy's claim isn't told not-run",
          [] {
            Cluster cluster;
            cluster.log().SetCutOff("i1", true);
            cluster.Send(0, "k");
            cluster.Advance(milliseconds(300));
            const auto copy = cluster.Send(1, "k");
            cluster.Advance(seconds(4));
            AssertRefused(*copy, ErrorKind::kAppendUnclear);
            cluster.Crash(0);
            cluster.Advance(seconds(1));
            const auto late = cluster.Send(1, "k");
            cluster.Advance(seconds(4));
            AssertRefused(*late, ErrorKind::kAppendUnclear);
          });
  Section("an append whose answer is lost is settled by reading", [] {
    for (const LostAnswer how : {LostAnswer::kApplied, LostAnswer::kNotApplied,
                                 LostAnswer::kDelayed}) {
      Cluster cluster;
      cluster.log().LoseAnswers(1, how);
      const auto copy = cluster.Send(0, "k");
      cluster.Advance(seconds(3));
      AssertKind(*copy, Kind::kRun);
      cluster.log().DeliverDelayed();
      const auto again = cluster.Send(1, "k");
      cluster.Advance(seconds(3));
      AssertKind(*again, Kind::kReplay);
      CPPUNIT_ASSERT_EQUAL(1, cluster.RunsOf("k"));
    }
  });
}

GUAVACROSS_STORY(LedgerMintedKeys) {
  Cluster cluster;
  const std::string key = cluster.node(0).m_ledger->MintIdentity() + ".1";
  cluster.log().SetOutage(true);
  Section("the minter grants without the store", [&] {
    const auto copy = cluster.Send(0, key);
    AssertKind(*copy, Kind::kRun);
    cluster.Advance(milliseconds(100));
    const auto again = cluster.Send(2, key);
    AssertKind(*again, Kind::kReplay);
  });
  Section("another instance asks the minter for the right to run", [&] {
    const std::string other = cluster.node(0).m_ledger->MintIdentity() + ".2";
    const auto copy = cluster.Send(1, other);
    AssertKind(*copy, Kind::kRun);
    const auto third = cluster.Send(2, other);
    AssertRefused(*third, ErrorKind::kKeyInProgress);
    cluster.Advance(milliseconds(100));
    const auto late = cluster.Send(3, other);
    AssertKind(*late, Kind::kReplay);
  });
  Section("a grant that was lost on the way runs nothing, and is taken back",
          [&] {
            const std::string lost =
                cluster.node(0).m_ledger->MintIdentity() + ".3";
            cluster.SetAskLost(true);
            const auto copy = cluster.Send(1, lost);
            cluster.Advance(seconds(2));
            AssertRefused(*copy, ErrorKind::kPeerUnavailable);
            cluster.SetAskLost(false);
            const auto again = cluster.Send(2, lost);
            AssertKind(*again, Kind::kRun);
          });
  Section("a new incarnation of the minter knows nothing", [&] {
    const std::string old = cluster.node(0).m_ledger->MintIdentity() + ".4";
    cluster.Crash(0);
    cluster.Start(0);
    const auto copy = cluster.Send(0, old);
    cluster.Advance(seconds(2));
    AssertRefused(*copy, ErrorKind::kOutcomeLost);
  });
  Section("an identity past its lifetime is refused", [&] {
    const std::string stale = cluster.node(1).m_ledger->MintIdentity() + ".5";
    cluster.Advance(seconds(61));
    AssertRefused(*cluster.Send(1, stale), ErrorKind::kKeyExpired);
  });
  Section("a peer inherits the right to decide", [&] {
    const std::string before = cluster.node(2).m_ledger->MintIdentity() + ".6";
    const std::string after = cluster.node(2).m_ledger->MintIdentity() + ".7";
    cluster.Send(2, before);
    cluster.Advance(milliseconds(100));
    cluster.node(2).m_ledger->HandOver([] {});
    cluster.Crash(2);
    const auto replay = cluster.Send(3, before);
    cluster.Advance(seconds(5));
    const auto run = cluster.Send(3, after);
    cluster.Advance(seconds(5));
    const auto again = cluster.Send(1, after);
    cluster.Advance(seconds(5));
    AssertKind(*run, Kind::kRun);
    AssertKind(*again, Kind::kReplay);
  });
  CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
}

GUAVACROSS_STORY(LedgerKeysThatTellTheirTime) {
  // Version 7 UUIDs of the manual clock's time, which starts at one hour.
  const std::string now = "00000036-ee80-7000-8000-00000000000a";
  const std::string old = "00000000-0001-7000-8000-00000000000b";
  const std::string future = "00010036-ee80-7000-8000-00000000000c";
  Section("an instance that knows the whole stream takes any age", [&] {
    Cluster cluster;
    const auto copy = cluster.Send(0, old);
    cluster.Advance(seconds(1));
    AssertKind(*copy, Kind::kRun);
  });
  Section("a key from the future is refused", [&] {
    Cluster cluster;
    const auto copy = cluster.Send(0, future);
    cluster.Advance(seconds(1));
    AssertRefused(*copy, ErrorKind::kKeyExpired);
  });
  Section("a new instance refuses what is older than the kept records", [&] {
    Cluster cluster;
    cluster.Send(0, now);
    cluster.Advance(seconds(1));
    for (int slot = 0; slot < kSlots; ++slot) {
      cluster.Crash(slot);
    }
    cluster.log().Expire(kClaimStream, cluster.log().End(kClaimStream));
    cluster.Start(1);
    cluster.Advance(seconds(1));
    const auto copy = cluster.Send(1, now);
    const auto plain = cluster.Send(1, "k");
    cluster.Advance(seconds(5));
    AssertRefused(*copy, ErrorKind::kKeyExpired);
    AssertRefused(*plain, ErrorKind::kAppendUnclear);
    cluster.Advance(seconds(61));
    const auto later = cluster.Send(1, "k");
    cluster.Advance(seconds(5));
    AssertKind(*later, Kind::kRun);
  });
}

GUAVACROSS_STORY(LedgerOutlivesTheLogsRetention) {
  Cluster cluster(seconds(40));
  cluster.Send(0, "k");
  cluster.Advance(seconds(1));
  for (int round = 0; round < 10; ++round) {
    cluster.Advance(seconds(5));
    cluster.Send(1, "other" + std::to_string(round));
  }
  cluster.Advance(seconds(1));
  CPPUNIT_ASSERT(cluster.log().FirstKept(kClaimStream) > 0);
  Section("a new instance finds the key although its record has expired", [&] {
    cluster.Crash(3);
    cluster.Start(3);
    const int appends_before = cluster.log().appends();
    cluster.Advance(seconds(15));
    // Reading old records all at once must not look like a short retention.
    CPPUNIT_ASSERT(cluster.log().appends() - appends_before < 30);
    const auto copy = cluster.Send(3, "k");
    cluster.Advance(seconds(3));
    AssertKind(*copy, Kind::kReplay);
    const auto fresh = cluster.Send(3, "fresh");
    cluster.Advance(seconds(3));
    AssertKind(*fresh, Kind::kRun);
  });
  CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
}

GUAVACROSS_STORY(LedgerUnderAnyFaults) {
  Section("no request runs twice and none that ran is told as not run", [] {
    CPPUNIT_ASSERT(rc::check([] { RunAnyFaults(Duration::zero()); }));
  });
  Section("not even if a new instance's first record is a key's end", [] {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        ViolationAfter({2527223370, 1564122795, 448789687, 4200235800,
                        3201832299, 3844613310, 2270360888, 1421547725},
                       seconds(40)));
  });
  Section("not even if an heir had given up an earlier attempt itself", [] {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        ViolationAfter({3110750514, 798767470, 3521976821, 963612978,
                        3085495647, 1540146118, 1401466525},
                       Duration::zero()));
  });
  Section("not even if the holder starts again before its claim is read", [] {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        ViolationAfter({1051541276, 0, 1053072432, 3140865987, 258883213,
                        630119238, 3384804082, 513499880},
                       Duration::zero()));
  });
  Section("not even if an instance that has read nothing tells a coverage", [] {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        ViolationAfter({349175828, 3871907280, 1415802639, 825496078, 298013748,
                        3160432589, 1787131346, 2144095109},
                       seconds(40)));
  });
  Section("not even if a copy arrives just after its instance was asked", [] {
    CPPUNIT_ASSERT_EQUAL(std::string(), ViolationAfter({1692706748, 2583516263,
                                                        2368733184, 2805582019},
                                                       Duration::zero()));
  });
  Section("not even if the first record that is kept was appended late", [] {
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        ViolationAfter({2835783540, 681643933, 126936097, 781611458, 912976406,
                        2539000754, 1223308354, 870666188, 1800438990,
                        1414020104, 1314109723, 894531586, 2805514093},
                       seconds(40)));
  });
  Section("nor while the log's records expire",
          [] { CPPUNIT_ASSERT(rc::check([] { RunAnyFaults(seconds(40)); })); });
}

}  // namespace guavacross::ledger
