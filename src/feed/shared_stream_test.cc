#include "feed/shared_stream.h"

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "feed/testing/store_model.h"
#include "util/manual_clock.h"
#include "util/test_case.h"

namespace guavacross::feed {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AnyChange;
using testing::Record;
using testing::StoreModel;
using util::Section;

// The stream of one instance. Its calls are answered after a round trip of 4
// ms, or time out if the instance is cut off from the store.
struct Reader {
  Reader(StoreModel* store, std::string name)
      : m_store(store), m_name(std::move(name)) {
    SharedStreamOptions options;
    options.m_name = "targets";
    options.m_self = m_name;
    options.m_feed = {.m_wait = milliseconds(300),
                      .m_min_interval = milliseconds(400)};
    options.m_duty = {.m_failover_delay = milliseconds(780),
                      .m_delay_per_rank = milliseconds(150)};
    SharedStreamHooks hooks;
    hooks.m_calls.m_list = [this](const std::string&, Duration timeout,
                                  PageDone done) {
      Answer([this] { return m_store->Listing(); }, timeout, std::move(done));
    };
    hooks.m_calls.m_read = [this](std::uint64_t from, Duration,
                                  Duration timeout, PageDone done) {
      Answer([this, from] { return m_store->From(from); }, timeout,
             std::move(done));
    };
    hooks.m_live_peers = [this] { return m_live_peers; };
    hooks.m_on_records = [this](const std::vector<KeyedRecord>& records,
                                const std::string&) {
      m_seen.insert(m_seen.end(), records.begin(), records.end());
    };
    hooks.m_on_state_changed = [] {};
    hooks.m_on_reachable = [this](bool reachable, const std::string&) {
      m_reachable = reachable;
    };
    m_stream = std::make_unique<SharedStream>(
        options, store->m_clock, testing::Rules(), std::move(hooks));
  }

  void Answer(std::function<FeedPage()> page, Duration timeout, PageDone done) {
    ++m_store->m_calls;
    ++m_calls;
    const bool cut = m_cut_off;
    m_timers.push_back(m_store->m_clock.m_call_after(
        cut ? timeout : Duration(milliseconds(4)),
        [this, cut, page = std::move(page), done = std::move(done)] {
          done(cut ? FeedPage{.m_error = "no answer in time"} : page());
        }));
  }

  bool KnowsDropped(const std::string& key) const {
    return std::any_of(m_seen.begin(), m_seen.end(), [&](const auto& each) {
      return each.m_key == key && !each.m_value.has_value();
    });
  }

  bool Knows(const std::string& key, const std::string& value) const {
    for (const KeyedRecord& record : m_seen) {
      if (record.m_key == key && record.m_value == value) {
        return true;
      }
    }
    return false;
  }

  StoreModel* m_store;
  std::string m_name;
  bool m_cut_off = false;
  bool m_reachable = true;
  int m_calls = 0;
  std::vector<std::string> m_live_peers;
  std::vector<KeyedRecord> m_seen;
  std::deque<std::unique_ptr<Timer>> m_timers;
  std::unique_ptr<SharedStream> m_stream;
};

constexpr Duration kTransitTime = milliseconds(20);

// Several instances that exchange their states.
struct Cluster {
  explicit Cluster(int size) : m_store(&m_clock) {
    for (int i = 0; i < size; ++i) {
      m_readers.push_back(
          std::make_unique<Reader>(&m_store, std::string(1, 'a' + i)));
    }
    ConnectAll();
    for (const auto& reader : m_readers) {
      reader->m_stream->Start();
    }
  }

  // Makes all instances live peers of each other.
  void ConnectAll() {
    for (const auto& reader : m_readers) {
      reader->m_live_peers.clear();
      for (const auto& peer : m_readers) {
        if (peer != reader) {
          reader->m_live_peers.push_back(peer->m_name);
        }
      }
    }
  }

  // Starts one more instance.
  Reader& Join(const std::string& name) {
    m_readers.push_back(std::make_unique<Reader>(&m_store, name));
    ConnectAll();
    m_readers.back()->m_stream->Start();
    return *m_readers.back();
  }

  void Run(Duration duration) {
    for (Duration passed{}; passed < duration; passed += milliseconds(50)) {
      m_clock.Advance(milliseconds(50));
      if (++m_steps % 5 == 0) {
        ExchangeStates();
      }
    }
  }

  // Sends the state of each instance to all others, as heartbeats do. The
  // transit time makes the age of a read seem lower than it is.
  void ExchangeStates() {
    for (const auto& from : m_readers) {
      StreamState state = from->m_stream->state();
      if (state.m_read_at.has_value()) {
        state.m_read_at =
            std::min(m_clock.now(), *state.m_read_at + kTransitTime);
      }
      for (const auto& to : m_readers) {
        if (to == from) {
          continue;
        }
        const std::optional<std::uint64_t> fetch_from =
            to->m_stream->OnPeerState(from->m_name, state);
        if (fetch_from.has_value()) {
          to->m_stream->MergeFromPeer(
              {.m_peer = from->m_name,
               .m_from = *fetch_from,
               .m_records = from->m_stream->Since(*fetch_from, 1 << 20)});
        }
        to->m_stream->Tick();
      }
    }
  }

  int CallsDuring(Duration duration) {
    const int before = m_store.m_calls;
    Run(duration);
    return m_store.m_calls - before;
  }

  Reader& operator[](std::size_t index) { return *m_readers[index]; }

  util::ManualClock m_clock;
  StoreModel m_store;
  std::vector<std::unique_ptr<Reader>> m_readers;
  int m_steps = 0;
};

}  // namespace

GUAVACROSS_TEST_CASE(SharedRecordsByOffset) {
  SharedRecords records({.m_is_significant = AnyChange});

  Section("the record with the higher offset counts, in any order of arrival",
          [&] {
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{1},
                records.MergeFromPeer({Record("a", "new", 7)}).size());
            CPPUNIT_ASSERT(records.Merge({Record("a", "old", 3)}).empty());
          });

  Section("an insignificant record is merged but not passed on", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         records.Merge({Record("a", "new", 9)}).size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, records.changed_to());
    CPPUNIT_ASSERT(records.Since(8, 1000).empty());
  });

  Section("a listing deletes the keys that it lacks", [&] {
    const auto newer = records.MergeListing({Record("b", "x", 11)}, 12);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, newer.size());
    CPPUNIT_ASSERT(!newer[1].m_value.has_value());
    Section("but not a key that was written after it", [&] {
      records.Merge({Record("c", "later", 20)});
      for (const auto& record : records.MergeListing({}, 15)) {
        CPPUNIT_ASSERT(record.m_key != "c");
      }
    });
  });

  Section("records are returned page by page", [&] {
    const auto page = records.Since(0, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.size());
    CPPUNIT_ASSERT(!records.Since(page[0].m_offset + 1, 1).empty());
  });
}

GUAVACROSS_TEST_CASE(SharedStreamHasOneReader) {
  Cluster cluster(6);
  cluster.m_store.Append("t1", "ready");
  cluster.Run(seconds(2));

  Section("all instances know the records of the store", [&] {
    for (const auto& reader : cluster.m_readers) {
      CPPUNIT_ASSERT(reader->Knows("t1", "ready"));
    }
  });

  Section("the number of calls doesn't grow with the number of instances", [&] {
    const int calls = cluster.CallsDuring(seconds(10));
    CPPUNIT_ASSERT(calls <= 10 * 1000 / 400 + 2);
  });

  Section("a change reaches all instances in the time that leaving may take",
          [&] {
            cluster.m_store.Append("t1", "draining");
            cluster.Run(milliseconds(800));
            for (const auto& reader : cluster.m_readers) {
              CPPUNIT_ASSERT(reader->Knows("t1", "draining"));
            }
          });
}

// Guards against a failure seen on scale-2: four of ten instances, among them
// the reader, lost the store. The age of the reader's last read was
// underestimated each time it was passed on, so that no other instance took
// over.
GUAVACROSS_TEST_CASE(SharedStreamReaderFailover) {
  Cluster cluster(10);
  cluster.m_store.Append("t1", "ready");
  cluster.Run(seconds(2));
  for (const std::size_t cut : {0, 2, 4, 6}) {
    cluster[cut].m_cut_off = true;
  }

  Section("a change still reaches all instances within two seconds", [&] {
    cluster.m_store.Append("t1", "draining");
    cluster.Run(milliseconds(1950));
    for (const auto& reader : cluster.m_readers) {
      CPPUNIT_ASSERT_MESSAGE(reader->m_name, reader->Knows("t1", "draining"));
    }
  });

  Section("an instance that is cut off counts the store as reachable", [&] {
    cluster.Run(seconds(3));
    CPPUNIT_ASSERT(cluster[0].m_reachable);
  });

  Section("the store counts as lost when no instance reads it", [&] {
    for (const auto& reader : cluster.m_readers) {
      reader->m_cut_off = true;
    }
    cluster.Run(seconds(4));
    CPPUNIT_ASSERT(!cluster[1].m_reachable);
    Section("and as reachable after the first read", [&] {
      cluster[5].m_cut_off = false;
      cluster.Run(seconds(2));
      CPPUNIT_ASSERT(cluster[0].m_reachable && cluster[1].m_reachable);
    });
  });
}

GUAVACROSS_TEST_CASE(SharedStreamAfterLostHistory) {
  Cluster cluster(2);
  cluster.m_store.Append("t1", "ready");
  cluster.m_store.Append("t2", "ready");
  cluster.Run(seconds(2));
  // The log is truncated after t2 is removed and t3 is added.
  cluster.m_store.Append("t2", std::nullopt);
  cluster.m_store.Append("t3", "ready");
  cluster.m_store.m_first = cluster.m_store.m_log.size();
  cluster.Run(seconds(2));
  for (const auto& reader : cluster.m_readers) {
    CPPUNIT_ASSERT(reader->Knows("t3", "ready"));
    CPPUNIT_ASSERT(reader->KnowsDropped("t2"));
  }
}

// Guards against a failure seen on a grown deployment: all instances were
// restarted, and a target left between the listing of the first instance and
// that of the second, which then became the reader. The second never saw the
// target's removal, so the first must not follow it past that offset.
GUAVACROSS_TEST_CASE(SharedStreamRemovalBetweenListings) {
  Cluster cluster(0);
  cluster.m_store.Append("t1", "ready");
  Reader& early = cluster.Join("b");
  cluster.Run(milliseconds(100));
  cluster.m_store.Append("t1", std::nullopt);
  cluster.m_store.Append("t2", "ready");
  Reader& late = cluster.Join("a");

  Section("the first learns in time of a target that left in between", [&] {
    cluster.Run(milliseconds(1950));
    CPPUNIT_ASSERT(!late.Knows("t1", "ready"));
    CPPUNIT_ASSERT(early.KnowsDropped("t1"));
  });
  Section("then it follows the second without reading the store", [&] {
    const int calls = early.m_calls;
    cluster.m_store.Append("t2", "draining");
    cluster.Run(milliseconds(1950));
    CPPUNIT_ASSERT(early.Knows("t2", "draining"));
    CPPUNIT_ASSERT_EQUAL(calls, early.m_calls);
  });
  Section("instances that can't read take the records of a third", [&] {
    early.m_cut_off = true;
    late.m_cut_off = true;
    cluster.Run(seconds(4));
    cluster.m_store.Append("t3", "ready");
    Reader& third = cluster.Join("c");
    cluster.Run(seconds(2));
    CPPUNIT_ASSERT(third.Knows("t3", "ready"));
    CPPUNIT_ASSERT(early.Knows("t3", "ready") && late.Knows("t3", "ready"));
  });
}

// A read from an old position succeeds once the restored store has given out
// the offsets again, and the records that were rewritten below it are never
// seen.
GUAVACROSS_TEST_CASE(SharedStreamOfARestoredStore) {
  Cluster cluster(4);
  StoreModel& store = cluster.m_store;
  for (int i = 0; i < 10; ++i) {
    store.Append("t" + std::to_string(i), "ready");
  }
  store.Append("config", "v5");
  store.Append("late", "ready");
  store.Append("config", "v7");
  cluster.Run(seconds(2));

  Section("every instance sees what was written again below its position", [&] {
    store.Restore(11);
    for (int i = 0; i < 6; ++i) {
      store.Append("again" + std::to_string(i), "ready");
    }
    cluster.Run(seconds(3));
    for (const auto& reader : cluster.m_readers) {
      for (int i = 0; i < 6; ++i) {
        CPPUNIT_ASSERT_MESSAGE(
            reader->m_name,
            reader->Knows("again" + std::to_string(i), "ready"));
      }
    }
  });
  Section("what is missing in the copy is told as removed", [&] {
    for (const auto& reader : cluster.m_readers) {
      CPPUNIT_ASSERT_MESSAGE(reader->m_name, reader->KnowsDropped("late"));
    }
  });
  Section("older contents of the copy are not taken", [&] {
    for (const auto& reader : cluster.m_readers) {
      const auto last = std::find_if(
          reader->m_seen.rbegin(), reader->m_seen.rend(),
          [](const KeyedRecord& each) { return each.m_key == "config"; });
      CPPUNIT_ASSERT(last->m_value == "v7");
    }
  });
  Section("an instance that starts now learns the newer ones from peers", [&] {
    Reader& joined = cluster.Join("z");
    cluster.Run(seconds(2));
    CPPUNIT_ASSERT(joined.Knows("config", "v7"));
    Section("and the next one from the store", [&] {
      store.Append("config", "v8");
      cluster.Run(seconds(2));
      for (const auto& reader : cluster.m_readers) {
        CPPUNIT_ASSERT_MESSAGE(reader->m_name, reader->Knows("config", "v8"));
      }
    });
  });
  Section("restorations may follow each other", [&] {
    store.Restore(11);
    cluster.Run(milliseconds(300));
    store.Restore(5);
    store.Append("last", "ready");
    cluster.Run(seconds(3));
    for (const auto& reader : cluster.m_readers) {
      CPPUNIT_ASSERT_MESSAGE(reader->m_name, reader->Knows("last", "ready"));
      CPPUNIT_ASSERT_MESSAGE(reader->m_name, reader->KnowsDropped("t9"));
    }
  });
}

// A peer of a newer build may have a version that this one can't read.
GUAVACROSS_TEST_CASE(SharedStreamWithAnUnreadableVersion) {
  util::ManualClock clock;
  StoreModel store(&clock);
  store.Append("config", "v5");
  Reader reader(&store, "a");
  reader.m_stream->Start();
  clock.Advance(seconds(1));
  const StreamState newer{.m_stream = "targets", .m_version = 9};
  const PeerRecords unreadable{.m_peer = "b",
                               .m_records = {Record("config", "?", 40)}};
  CPPUNIT_ASSERT(reader.m_stream->OnPeerState("b", newer) == 0);

  Section("is requested again while no answer has come", [&] {
    CPPUNIT_ASSERT(reader.m_stream->OnPeerState("c", newer) == 0);
    Section("or only one to another request", [&] {
      reader.m_stream->MergeFromPeer({.m_peer = "c", .m_from = 3});
      CPPUNIT_ASSERT(reader.m_stream->OnPeerState("c", newer) == 0);
    });
  });
  Section("and after an answer of a peer that has an older version", [&] {
    reader.m_stream->MergeFromPeer(
        {.m_peer = "d", .m_records = {Record("config", "v5", 0)}});
    CPPUNIT_ASSERT(reader.m_stream->OnPeerState("c", newer) == 0);
  });
  Section("isn't requested with each heartbeat once it is known", [&] {
    reader.m_stream->MergeFromPeer(unreadable);
    CPPUNIT_ASSERT(!reader.m_stream->OnPeerState("b", newer).has_value());
    clock.Advance(seconds(4));
    CPPUNIT_ASSERT(!reader.m_stream->OnPeerState("b", newer).has_value());
    Section("but a later version is", [&] {
      CPPUNIT_ASSERT(reader.m_stream->OnPeerState(
                         "b", {.m_stream = "targets", .m_version = 10}) == 0);
    });
    Section("and so is the same one after a while", [&] {
      clock.Advance(seconds(2));
      CPPUNIT_ASSERT(reader.m_stream->OnPeerState("b", newer) == 0);
    });
  });
}

}  // namespace guavacross::feed
