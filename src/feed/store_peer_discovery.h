#ifndef GUAVACROSS_FEED_STORE_PEER_DISCOVERY_H_
#define GUAVACROSS_FEED_STORE_PEER_DISCOVERY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "feed/keyed_feed.h"
#include "guavacross/identity.h"
#include "guavacross/time.h"

namespace guavacross::feed {

struct StorePeerDiscoveryHooks {
  /// Lists the topic that holds the record.
  std::function<void(Duration timeout, PageDone)> m_list;
  /// Writes a record to the topic. `done` gets the reason of a failure, or an
  /// empty string.
  std::function<void(const std::string& key,
                     const std::string& value,
                     Duration timeout,
                     std::function<void(const std::string& error)> done)>
      m_write;
  /// Whether this instance ranks first among those that reach the store. True
  /// if it knows no other.
  std::function<bool()> m_ranks_first;
  /// Peer addresses of the live instances including this one, sorted by name.
  std::function<std::vector<Endpoint>()> m_live;
  /// Receives further addresses of possible other instances.
  std::function<void(const std::vector<Endpoint>&)> m_on_contacts;
};

/// Records peer addresses of live instances in the store, for instances that
/// know no other instance.
///
/// Normally instances find each other through the addresses in their settings
/// and then through their peers, without the store. The record is for the case
/// that none of these addresses is in use any more. The first instance reads it
/// periodically, contacts the unknown addresses, and rewrites it when too few
/// of the recorded instances are live (`policy::PeersToRecord`). An isolated
/// instance is first by itself and so finds the others, and two groups that
/// don't know each other find each other in the same way. Call `Start` once and
/// `Tick` a few times a second. Use it on the control thread only.
class StorePeerDiscovery {
 public:
  StorePeerDiscovery(Clock clock, StorePeerDiscoveryHooks hooks);
  StorePeerDiscovery(const StorePeerDiscovery&) = delete;
  StorePeerDiscovery& operator=(const StorePeerDiscovery&) = delete;

  void Start();
  void Tick();

 private:
  enum class Step { kIdle, kListing, kContacting, kWriting };

  Duration CheckDelay() const;
  void List();
  void OnListed(const FeedPage& page);
  void UpdateRecord();
  void FinishCheck();

  Clock m_clock;
  StorePeerDiscoveryHooks m_hooks;
  Step m_step = Step::kIdle;
  // When the current step began, except `kListing` and `kWriting`, which don't
  // set it.
  TimePoint m_step_since{};
  bool m_has_checked = false;
  std::vector<Endpoint> m_recorded;
  // Lets callbacks of store calls detect that this object has been destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace guavacross::feed

#endif  // GUAVACROSS_FEED_STORE_PEER_DISCOVERY_H_
