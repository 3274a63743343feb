#ifndef GUAVACROSS_PEERS_TESTING_TEST_INSTANCE_H_
#define GUAVACROSS_PEERS_TESTING_TEST_INSTANCE_H_

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peers/grpc_transport.h"
#include "peers/peer_network.h"
#include "util/manual_clock.h"
#include "util/metrics.h"
#include "util/test_case.h"

namespace guavacross::peers::testing {

/// Limits a test that waits for an event that doesn't occur.
inline constexpr int kMaxRounds = 20'000;

/// The control thread of several networks in one process: runs the functions
/// that gRPC's threads post, and advances the manual clock while none is
/// posted.
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

  /// Runs until `is_done` returns true; fails the test after `kMaxRounds`.
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
      m_posted.wait_for(lock, std::chrono::milliseconds(1),
                        [this] { return !m_calls.empty(); });
      if (!m_calls.empty()) {
        call = std::move(m_calls.front());
        m_calls.pop_front();
      }
    }
    if (call) {
      call();
    } else {
      m_manual.Advance(std::chrono::milliseconds(5));
    }
  }

  util::ManualClock m_manual;
  std::mutex m_mutex;
  std::condition_variable m_posted;
  std::deque<std::function<void()>> m_calls;
};

/// One instance: a network with hooks that keep minimal state.
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
    hooks.m_streams.m_deletions = [this](const std::string&, std::size_t) {
      std::vector<feed::KeyedRecord> records = m_records;
      std::erase_if(records, [](const feed::KeyedRecord& record) {
        return record.m_value.has_value();
      });
      return records;
    };
    hooks.m_streams.m_lacks_deletions = [this](const feed::StreamState& state) {
      return state.m_deletions_from.has_value() &&
             m_deletions_from.has_value() &&
             *state.m_deletions_from < *m_deletions_from;
    };
    hooks.m_streams.m_on_records = [this](const std::string& stream,
                                          const feed::PeerRecords& fetched) {
      const std::vector<feed::KeyedRecord>& records = fetched.m_records;
      m_received_records.insert(m_received_records.end(), records.begin(),
                                records.end());
      if (fetched.m_deletions_of.has_value()) {
        m_deletions_from = fetched.m_deletions_of->m_deletions_from;
        return;
      }
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
  std::optional<std::uint64_t> m_deletions_from;
  std::unique_ptr<PeerNetwork> m_network;
};

}  // namespace guavacross::peers::testing

#endif  // GUAVACROSS_PEERS_TESTING_TEST_INSTANCE_H_
