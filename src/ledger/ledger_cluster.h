#ifndef GUAVACROSS_LEDGER_LEDGER_CLUSTER_H_
#define GUAVACROSS_LEDGER_LEDGER_CLUSTER_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "ledger/key_identity.h"
#include "ledger/request_ledger.h"
#include "log_service/fake_log.h"
#include "util/manual_clock.h"
#include "util/story_test.h"

/// Test support: several ledgers that share one log.
namespace guavacross::ledger::testing {

using log_service::FakeLog;
using log_service::LostAnswer;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration kAskTimeout = seconds(1);
inline constexpr Duration kDeathNoticed = seconds(4);
inline constexpr Duration kRememberAtLeast = seconds(60);
inline constexpr int kSlots = 4;

/// Entry instances that share a log, on one thread and a manual clock. An
/// instance can be paused, which queues its events, crashed and restarted.
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
  // Sets the outcome and the duration of the next runs.
  void SetRun(Outcome outcome, Duration time) {
    m_outcome = outcome;
    m_run_time = time;
  }
  void SetAskLost(bool lost) { m_ask_lost = lost; }
  const std::string& violation() const { return m_violation; }

 private:
  using NodePtr = std::shared_ptr<Node>;

  // Runs an event on an instance: at once, when it continues if it is paused,
  // or never if it has crashed.
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

  // A cancelled timer must not fire from the backlog of a paused instance.
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
      // Past the time for which the ledger guarantees anything.
      return;
    }
    if (told_not_run && (m_runs[key] > 0 || m_running[key] > 0)) {
      m_violation = key + " was reported as not run, but ran";
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

}  // namespace guavacross::ledger::testing

#endif  // GUAVACROSS_LEDGER_LEDGER_CLUSTER_H_
