#include "feed/testing/instance_group.h"

#include <algorithm>
#include <utility>

namespace guavacross::feed::testing {

namespace {

using std::chrono::milliseconds;

constexpr char kKey[] = "config";

constexpr Duration kStep = milliseconds(10);

// Times of one message between instances and to the store.
constexpr Duration kPeerDelay = milliseconds(5);
constexpr Duration kStoreDelay = milliseconds(4);

// As the peer network is used by instances.
constexpr Duration kHeartbeatInterval = milliseconds(250);
constexpr std::size_t kFanout = 5;
constexpr Duration kCallTimeout = milliseconds(1000);
constexpr Duration kSuspectAfter = milliseconds(900);
constexpr std::size_t kMaxRecordBytes = std::size_t{512} << 10;

}  // namespace

InstanceGroup::InstanceGroup(int size,
                             MakeOptions make_options,
                             RecordRules rules,
                             Hooks hooks)
    : m_store(&m_clock),
      m_make_options(std::move(make_options)),
      m_rules(std::move(rules)),
      m_hooks(std::move(hooks)),
      m_store_disturbed_at(m_clock.now()) {
  for (int i = 0; i < size; ++i) {
    auto instance = std::make_unique<Instance>();
    instance->m_name = "edge-" + std::to_string(100 + i);
    instance->m_disturbed_at = m_clock.now();
    instance->m_silent_since = m_clock.now();
    m_instances.push_back(std::move(instance));
  }
  Publish(1);
  for (std::size_t i = 0; i < m_instances.size(); ++i) {
    Start(i);
  }
}

void InstanceGroup::Start(std::size_t index) {
  Instance& instance = *m_instances[index];
  if (instance.m_running) {
    return;
  }
  instance.m_running = true;
  instance.m_version = 0;
  instance.m_fetch_turns.clear();
  instance.m_notify = false;
  ++instance.m_run;
  // Spreads the heartbeats over the interval.
  instance.m_next_heartbeat =
      m_clock.now() + kHeartbeatInterval * static_cast<int>(index % 25) / 25;
  instance.m_next_recipient = index;
  const Clock clock = m_clock.clock();
  instance.m_stream = std::make_unique<SharedStream>(
      m_make_options(instance.m_name), clock, m_rules, StreamHooks(index));
  if (m_hooks.m_on_start) {
    m_hooks.m_on_start(index);
  }
  instance.m_stream->Start();
}

void InstanceGroup::Stop(std::size_t index) {
  Instance& instance = *m_instances[index];
  if (!instance.m_running) {
    return;
  }
  instance.m_running = false;
  instance.m_silent_since = m_clock.now();
  instance.m_stream.reset();
  ++instance.m_run;
}

void InstanceGroup::TakeStoreAway() {
  m_store_away = true;
}

void InstanceGroup::BringStoreBack(std::optional<TimePoint> copied_at) {
  m_store_away = false;
  if (copied_at.has_value()) {
    const auto after = m_log_sizes.upper_bound(*copied_at);
    m_store.Restore(after == m_log_sizes.begin() ? 1
                                                 : std::prev(after)->second);
    m_log_sizes[m_clock.now()] = m_store.m_log.size();
  }
}

void InstanceGroup::Append(const std::string& key,
                           std::optional<std::string> value) {
  m_store.Append(key, std::move(value));
  m_log_sizes[m_clock.now()] = m_store.m_log.size();
}

void InstanceGroup::Publish(int version) {
  Append(kKey, "v" + std::to_string(version));
  m_acked.try_emplace(version, m_clock.now());
  m_published = std::max(m_published, version);
}

void InstanceGroup::Run(Duration duration, const std::function<void()>& each) {
  for (Duration passed{}; passed < duration; passed += kStep) {
    Step();
    if (each) {
      each();
    }
  }
}

std::string InstanceGroup::Violation(Duration bound, Duration stable) const {
  if (m_store_away || m_clock.now() - m_store_disturbed_at < stable) {
    return {};
  }
  int required = 0;
  for (const auto& [version, acked_at] : m_acked) {
    const auto lost = m_lost_until.find(version);
    const TimePoint since = lost == m_lost_until.end()
                                ? acked_at
                                : std::max(acked_at, lost->second);
    required = m_clock.now() - since > bound ? version : required;
  }
  for (const auto& instance : m_instances) {
    const bool in_touch = m_clock.now() - instance->m_disturbed_at >= stable;
    if (in_touch && instance->m_version < required) {
      return instance->m_name + " has version " +
             std::to_string(instance->m_version) + " in force, but " +
             std::to_string(required) + " was acknowledged " +
             std::to_string(Seconds(m_clock.now() - m_acked.at(required))) +
             " s ago";
    }
  }
  return {};
}

StoreCalls InstanceGroup::MakeCalls(std::size_t index) {
  StoreCalls calls;
  calls.m_list = [this, index](const std::string&, Duration timeout,
                               PageDone done) {
    ++m_store.m_calls;
    m_pending.push_back({.m_caller = index,
                         .m_run = m_instances[index]->m_run,
                         .m_answer_at = m_clock.now() + kStoreDelay,
                         .m_timeout_at = m_clock.now() + timeout,
                         .m_done = std::move(done)});
  };
  calls.m_read = [this, index](std::uint64_t from, Duration wait,
                               Duration timeout, PageDone done) {
    ++m_store.m_calls;
    m_pending.push_back({.m_caller = index,
                         .m_run = m_instances[index]->m_run,
                         .m_from = from,
                         .m_answer_at = m_clock.now() + wait,
                         .m_timeout_at = m_clock.now() + timeout,
                         .m_done = std::move(done)});
  };
  return calls;
}

SharedStreamHooks InstanceGroup::StreamHooks(std::size_t index) {
  Instance* const instance = m_instances[index].get();
  SharedStreamHooks hooks;
  hooks.m_calls = MakeCalls(index);
  hooks.m_live_peers = [this, index] { return LivePeers(index); };
  hooks.m_on_records = [this, index, instance](
                           const std::vector<KeyedRecord>& records,
                           const std::string& source) {
    for (const KeyedRecord& record : records) {
      instance->m_version = std::max(instance->m_version, VersionIn(record));
    }
    if (m_hooks.m_on_records) {
      m_hooks.m_on_records(index, records, source);
    }
  };
  hooks.m_on_state_changed = [instance] { instance->m_notify = true; };
  hooks.m_on_reachable = [](bool, const std::string&) {};
  hooks.m_on_outage_end = [this, index](std::optional<TimePoint> ended_at) {
    if (m_hooks.m_on_outage_end) {
      m_hooks.m_on_outage_end(index, ended_at);
    }
  };
  return hooks;
}

bool InstanceGroup::CanCarry(const std::vector<KeyedRecord>& records) const {
  return !m_hooks.m_can_carry ||
         std::all_of(records.begin(), records.end(), m_hooks.m_can_carry);
}

void InstanceGroup::Step() {
  m_clock.Advance(kStep);
  if (m_store_away) {
    m_store_disturbed_at = m_clock.now();
  }
  NoteLostVersions();
  AnswerCalls();
  for (std::size_t i = 0; i < m_instances.size(); ++i) {
    Instance& instance = *m_instances[i];
    const bool is_cut = instance.m_cut_from_store || instance.m_cut_from_peers;
    if (!instance.m_running || is_cut) {
      instance.m_disturbed_at = m_clock.now();
    }
    if (!instance.m_running) {
      continue;
    }
    instance.m_stream->Tick();
    if (m_clock.now() >= instance.m_next_heartbeat) {
      instance.m_next_heartbeat = m_clock.now() + kHeartbeatInterval;
      SendHeartbeats(i);
    }
    if (std::exchange(instance.m_notify, false)) {
      SendHeartbeats(i);
    }
  }
}

void InstanceGroup::NoteLostVersions() {
  int available = 0;
  if (!m_store_away) {
    for (const KeyedRecord& record : m_store.m_log) {
      available = std::max(available, VersionIn(record));
    }
  }
  for (const auto& instance : m_instances) {
    if (instance->m_running && !instance->m_cut_from_peers) {
      available = std::max(available, instance->m_version);
    }
  }
  for (auto each = m_acked.upper_bound(available); each != m_acked.end();
       ++each) {
    m_lost_until[each->first] = m_clock.now();
  }
}

void InstanceGroup::AnswerCalls() {
  std::vector<PendingCall> pending = std::exchange(m_pending, {});
  for (PendingCall& call : pending) {
    if (!IsCurrent(call.m_caller, call.m_run)) {
      continue;
    }
    const TimePoint now = m_clock.now();
    if (m_store_away) {
      call.m_done({.m_error = "connection refused"});
    } else if (m_instances[call.m_caller]->m_cut_from_store) {
      if (now >= call.m_timeout_at) {
        call.m_done({.m_error = "no answer in time"});
      } else {
        m_pending.push_back(std::move(call));
      }
    } else {
      FeedPage page = call.m_from.has_value() ? m_store.From(*call.m_from)
                                              : m_store.Listing();
      const bool has_content =
          page.m_status != FeedPage::Status::kOk || !page.m_records.empty();
      if (has_content || now >= call.m_answer_at) {
        call.m_done(std::move(page));
      } else {
        m_pending.push_back(std::move(call));
      }
    }
  }
}

bool InstanceGroup::IsCurrent(std::size_t index, int run) const {
  return m_instances[index]->m_running && m_instances[index]->m_run == run;
}

bool InstanceGroup::Reaches(std::size_t from, std::size_t to) const {
  return m_instances[from]->m_running && m_instances[to]->m_running &&
         !m_instances[from]->m_cut_from_peers &&
         !m_instances[to]->m_cut_from_peers;
}

void InstanceGroup::SendHeartbeats(std::size_t index) {
  Instance& instance = *m_instances[index];
  const std::size_t count = std::min(kFanout, m_instances.size() - 1);
  for (std::size_t i = 0; i < count; ++i) {
    instance.m_next_recipient =
        (instance.m_next_recipient + 1) % m_instances.size();
    if (instance.m_next_recipient == index) {
      instance.m_next_recipient =
          (instance.m_next_recipient + 1) % m_instances.size();
    }
    Deliver(index, instance.m_next_recipient, /*is_reply=*/false);
  }
}

void InstanceGroup::Deliver(std::size_t from, std::size_t to, bool is_reply) {
  if (!Reaches(from, to)) {
    return;
  }
  StreamState state = m_instances[from]->m_stream->state();
  After(kPeerDelay, [this, from, to, is_reply, state, sent_at = m_clock.now()] {
    if (!Reaches(from, to)) {
      return;
    }
    StreamState received = state;
    if (received.m_read_at.has_value()) {
      // Sent as an age, so that it seems more recent by the delay.
      *received.m_read_at += m_clock.now() - sent_at;
    }
    if (received.m_spell.has_value()) {
      received.m_spell->m_since += m_clock.now() - sent_at;
    }
    Receive(from, to, received);
    if (!is_reply) {
      Deliver(to, from, /*is_reply=*/true);
    }
  });
}

void InstanceGroup::Receive(std::size_t from,
                            std::size_t to,
                            const StreamState& state) {
  Instance& receiver = *m_instances[to];
  const std::optional<std::uint64_t> fetch_from =
      receiver.m_stream->OnPeerState(m_instances[from]->m_name, state);
  if (fetch_from.has_value()) {
    Fetch(from, to, {.m_from = *fetch_from});
  }
  if (receiver.m_stream->LacksDeletions(state)) {
    Fetch(from, to, {.m_deletions_of = state});
  }
}

// `wanted` is the answer but for its records.
void InstanceGroup::Fetch(std::size_t from,
                          std::size_t to,
                          PeerRecords wanted) {
  const TimePoint begun_at = m_clock.now();
  const bool deletions = wanted.m_deletions_of.has_value();
  if (!m_instances[to]->m_fetch_turns[deletions].TryBegin(begun_at)) {
    return;
  }
  wanted.m_peer = m_instances[from]->m_name;
  const int run = m_instances[to]->m_run;
  After(kPeerDelay, [this, from, to, run, wanted, deletions, begun_at] {
    if (!IsCurrent(to, run)) {
      return;
    }
    if (!Reaches(from, to)) {
      After(kCallTimeout, [this, to, run, deletions, begun_at] {
        EndFetch(to, run, deletions, begun_at);
      });
      return;
    }
    PeerRecords fetched = wanted;
    const SharedStream& stream = *m_instances[from]->m_stream;
    const StreamState state = stream.state();
    fetched.m_records = deletions
                            ? stream.Deletions(kMaxRecordBytes)
                            : stream.Since(wanted.m_from, kMaxRecordBytes);
    After(kPeerDelay, [this, to, run, deletions, begun_at, fetched, state] {
      if (EndFetch(to, run, deletions, begun_at) &&
          CanCarry(fetched.m_records)) {
        m_instances[to]->m_stream->OnPeerState(fetched.m_peer, state);
        m_instances[to]->m_stream->MergeFromPeer(fetched);
      }
    });
  });
}

bool InstanceGroup::EndFetch(std::size_t to,
                             int run,
                             bool deletions,
                             TimePoint begun_at) {
  if (!IsCurrent(to, run)) {
    return false;
  }
  m_instances[to]->m_fetch_turns[deletions].End(begun_at);
  return true;
}

void InstanceGroup::After(Duration delay, std::function<void()> call) {
  m_timers.push_back(m_clock.clock().m_call_after(delay, std::move(call)));
}

std::vector<std::string> InstanceGroup::LivePeers(std::size_t index) const {
  // An instance is heard directly once in this many heartbeat intervals.
  const std::size_t intervals =
      std::max<std::size_t>(1, (m_instances.size() - 1) / kFanout);
  const Duration suspect_after = kSuspectAfter * static_cast<int>(intervals);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < m_instances.size(); ++i) {
    const Instance& peer = *m_instances[i];
    const bool is_recent = m_clock.now() - peer.m_silent_since < suspect_after;
    if (i != index && (peer.m_running || is_recent)) {
      names.push_back(peer.m_name);
    }
  }
  return names;
}

}  // namespace guavacross::feed::testing
