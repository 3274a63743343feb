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
#include "util/test_case.h"

/// Test support: several ledgers that share one log.
namespace guavacross::ledger::testing {

using log_service::FakeLog;
using log_service::LostAnswer;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration kAskTimeout = seconds(1);
inline constexpr Duration kDeathDetectionDelay = seconds(4);
inline constexpr Duration kMinKeyRetention = seconds(60);
inline constexpr int kInstanceCount = 4;

/// Entry instances that share a log, on one thread and a manual clock. An
/// instance can be paused, which queues its events, crashed and restarted.
class Cluster {
 public:
  struct Instance {
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
      : m_clock(m_manual_clock.clock()), m_log(m_manual_clock.clock()) {
    m_log.SetLatency(milliseconds(3));
    m_log.SetRetention(retention);
    m_instances.resize(kInstanceCount);
    for (int index = 0; index < kInstanceCount; ++index) {
      Start(index);
    }
    Advance(milliseconds(50));
  }

  void Start(int index) {
    auto instance = std::make_shared<Instance>();
    instance->m_id = {.m_name = "i" + std::to_string(index),
                      .m_incarnation = ++m_incarnations};
    m_instances[index] = instance;
    instance->m_ledger = std::make_unique<RequestLedger>(
        OptionsOf(instance), HooksOf(instance, index));
    instance->m_ledger->Start();
  }

  void Crash(int index) {
    Instance& instance = *m_instances[index];
    if (!instance.m_crashed) {
      instance.m_crashed = true;
      instance.m_crashed_at = m_clock.m_now();
      instance.m_backlog.clear();
      instance.m_ledger.reset();
    }
  }

  void Pause(int index) { m_instances[index]->m_paused = true; }

  void Continue(int index) {
    const auto instance = m_instances[index];
    instance->m_paused = false;
    while (!instance->m_backlog.empty() && !instance->m_paused) {
      const auto event = std::move(instance->m_backlog.front());
      instance->m_backlog.pop_front();
      event();
    }
  }

  std::shared_ptr<Copy> Send(int index,
                             const std::string& key,
                             std::uint64_t fingerprint = 1) {
    auto copy = std::make_shared<Copy>();
    const auto instance = m_instances[index];
    if (instance->m_crashed) {
      return copy;
    }
    RunOnInstance(instance, [this, instance, key, fingerprint, copy] {
      instance->m_ledger->access().m_claim(
          KeyOf(key), fingerprint,
          [this, instance, key, copy](const ClaimDecision& decision) {
            copy->m_decision = decision;
            OnDecision(instance, key, decision);
          });
    });
    return copy;
  }

  void Advance(Duration duration) { m_manual_clock.Advance(duration); }

  static RequestKey KeyOf(const std::string& key) {
    return {.m_service = "billing", .m_tenant = "t", .m_key = key};
  }

  static RecordedAnswer AnswerOf(const std::string& key) {
    return {.m_status = 201, .m_body = "answer to " + key};
  }

  FakeLog& log() { return m_log; }
  Instance& instance(int index) { return *m_instances[index]; }
  int RunsOf(const std::string& key) { return m_runs[key]; }
  // Sets the outcome and the duration of the next runs.
  void SetRun(Outcome outcome, Duration time) {
    m_outcome = outcome;
    m_run_time = time;
  }
  void SetPeerRepliesLost(bool lost) { m_peer_replies_lost = lost; }
  const std::string& violation() const { return m_violation; }

 private:
  using InstancePtr = std::shared_ptr<Instance>;

  // Runs an event on an instance: at once, when it continues if it is paused,
  // or never if it has crashed.
  static void RunOnInstance(const InstancePtr& instance,
                            std::function<void()> event) {
    if (instance->m_crashed) {
      return;
    }
    if (instance->m_paused) {
      instance->m_backlog.push_back(std::move(event));
    } else {
      event();
    }
  }

  LedgerOptions OptionsOf(const InstancePtr& instance) {
    LedgerOptions options{.m_self = instance->m_id, .m_clock = m_clock};
    options.m_min_key_retention = kMinKeyRetention;
    options.m_max_key_retention = seconds(300);
    options.m_clock_skew = seconds(1);
    options.m_identity_lifetime = seconds(60);
    options.m_log_retention = seconds(40);
    options.m_clock.m_call_after =
        [this, weak = std::weak_ptr<Instance>(instance)](
            Duration delay, std::function<void()> call) {
          return CallAfter(weak, delay, std::move(call));
        };
    return options;
  }

  // A cancelled timer must not fire from the backlog of a paused instance.
  struct InstanceTimer : Timer {
    std::unique_ptr<Timer> m_inner;
    std::shared_ptr<bool> m_cancelled = std::make_shared<bool>(false);
    ~InstanceTimer() override { *m_cancelled = true; }
  };

  std::unique_ptr<Timer> CallAfter(const std::weak_ptr<Instance>& weak,
                                   Duration delay,
                                   std::function<void()> call) {
    auto timer = std::make_unique<InstanceTimer>();
    auto cancelled = timer->m_cancelled;
    timer->m_inner = m_clock.m_call_after(delay, [weak, cancelled, call] {
      if (const auto instance = weak.lock()) {
        RunOnInstance(instance, [cancelled, call] {
          if (!*cancelled) {
            call();
          }
        });
      }
    });
    return timer;
  }

  LedgerHooks HooksOf(const InstancePtr& instance, int index) {
    const std::weak_ptr<Instance> weak = instance;
    LedgerHooks hooks;
    hooks.m_post = [](const std::function<void()>& call) { call(); };
    hooks.m_members = [this, index] { return MembersSeenBy(index); };
    hooks.m_ask = [this](const InstanceId& peer, const LedgerQuestion& question,
                         std::function<void(LedgerReply)> reply) {
      Ask(peer, question, std::move(reply));
    };
    hooks.m_hand_over = [this](const InstanceId& peer,
                               const LedgerHandover& part,
                               const std::function<void(bool)>& done) {
      const InstancePtr target = FindInstance(peer);
      done(target != nullptr && target->m_ledger->TakeHandover(part));
    };
    const LogAccess access = m_log.access(instance->m_id.m_name);
    hooks.m_log.m_append =
        [weak, access](const std::string& stream, const std::string& data,
                       std::function<void(AppendResult)> done) {
          access.m_append(stream, data, [weak, done](AppendResult result) {
            if (const auto instance = weak.lock()) {
              RunOnInstance(instance, [done, result] { done(result); });
            }
          });
        };
    hooks.m_log.m_read = [weak, access](
                             const std::string& stream, std::uint64_t from,
                             Duration wait,
                             std::function<void(Result<LogBatch>)> done) {
      access.m_read(stream, from, wait, [weak, done](Result<LogBatch> batch) {
        const auto instance = weak.lock();
        if (instance == nullptr) {
          return;
        }
        if (batch) {
          RunOnInstance(instance, [done, kept = batch.value()] { done(kept); });
        } else {
          RunOnInstance(instance, [done] {
            done(Fail(ErrorKind::kLogUnavailable, "out"));
          });
        }
      });
    };
    return hooks;
  }

  InstancePtr FindInstance(const InstanceId& id) {
    for (const InstancePtr& instance : m_instances) {
      if (instance != nullptr && instance->m_id == id && !instance->m_crashed) {
        return instance;
      }
    }
    return nullptr;
  }

  std::vector<Member> MembersSeenBy(int index) {
    std::vector<Member> members;
    for (int other = 0; other < kInstanceCount; ++other) {
      const InstancePtr& instance = m_instances[other];
      if (other == index || instance == nullptr) {
        continue;
      }
      Member member{.m_id = instance->m_id};
      if (instance->m_crashed &&
          m_clock.m_now() - instance->m_crashed_at > kDeathDetectionDelay) {
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
    const InstancePtr target = FindInstance(peer);
    if (target == nullptr) {
      return;
    }
    const bool lost = m_peer_replies_lost;
    RunOnInstance(target, [target, question, once, lost] {
      target->m_ledger->AnswerPeer(question, [once, lost](LedgerReply answer) {
        if (!lost) {
          once(std::move(answer));
        }
      });
    });
  }

  void OnDecision(const InstancePtr& instance,
                  const std::string& key,
                  const ClaimDecision& decision) {
    const bool reported_not_run =
        decision.m_kind == ClaimDecision::Kind::kRefuse &&
        AnswerFor(decision.m_error.m_kind).m_outcome == Outcome::kNotRun;
    if (m_ran_at.contains(key) &&
        m_clock.m_now() - m_ran_at[key] > kMinKeyRetention) {
      // Past the time for which the ledger guarantees anything.
      return;
    }
    if (reported_not_run && (m_runs[key] > 0 || m_running[key] > 0)) {
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
      if (!instance->m_crashed) {
        --m_running[key];
      }
      RunOnInstance(instance, [=] {
        instance->m_ledger->access().m_finish(
            KeyOf(key), {.m_outcome = outcome, .m_answer = AnswerOf(key)});
      });
    }));
  }

  util::ManualClock m_manual_clock;
  Clock m_clock;
  FakeLog m_log;
  std::vector<InstancePtr> m_instances;
  std::uint64_t m_incarnations = 0;
  std::deque<std::unique_ptr<Timer>> m_timers;
  std::map<std::string, int> m_runs;
  std::map<std::string, int> m_running;
  std::map<std::string, TimePoint> m_ran_at;
  Outcome m_outcome = Outcome::kDone;
  Duration m_run_time = milliseconds(10);
  bool m_peer_replies_lost = false;
  std::string m_violation;
};

}  // namespace guavacross::ledger::testing

#endif  // GUAVACROSS_LEDGER_LEDGER_CLUSTER_H_
