#include "feed/store_peer_discovery.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "policy/recorded_peers.h"
#include "util/log.h"

namespace guavacross::feed {

namespace {

constexpr char kContactKey[] = "instances";

// Instances that start together find each other within a few heartbeats.
constexpr Duration kFirstCheckDelay = std::chrono::milliseconds(2000);

// Time between checks by an instance that knows others. Each check is a store
// call that costs money, and groups that don't know each other are rare.
constexpr Duration kCheckInterval = std::chrono::seconds(30);

// Time between checks by an instance that knows no other. Such an instance gets
// no callers, since it isn't in the address lists that the others give out.
constexpr Duration kIsolatedCheckInterval = std::chrono::seconds(4);

// Time to wait for contacted instances, which answer within one or two
// heartbeats.
constexpr Duration kContactTimeout = std::chrono::milliseconds(1200);

// Stores answer within milliseconds; slow ones take some hundred milliseconds.
constexpr Duration kCallTimeout = std::chrono::seconds(2);

std::string Encode(const std::vector<Endpoint>& contacts) {
  std::string text;
  for (const Endpoint& contact : contacts) {
    text += (text.empty() ? "" : " ") + ToString(contact);
  }
  return text;
}

// Ignores words that aren't addresses, since a later version may write more.
std::vector<Endpoint> Decode(const std::string& text) {
  std::vector<Endpoint> contacts;
  std::istringstream words(text);
  std::string word;
  while (words >> word && contacts.size() < policy::kMaxRecordedPeers) {
    Endpoint contact;
    if (ParseEndpoint(word, &contact)) {
      contacts.push_back(contact);
    }
  }
  return contacts;
}

std::vector<Endpoint> ContactsOf(const FeedPage& page) {
  for (const KeyedRecord& record : page.m_records) {
    if (record.m_key == kContactKey && record.m_value.has_value()) {
      return Decode(*record.m_value);
    }
  }
  return {};
}

}  // namespace

StorePeerDiscovery::StorePeerDiscovery(Clock clock,
                                       StorePeerDiscoveryHooks hooks)
    : m_clock(std::move(clock)), m_hooks(std::move(hooks)) {}

void StorePeerDiscovery::Start() {
  m_step_since = m_clock.m_now();
}

void StorePeerDiscovery::Tick() {
  const Duration passed = m_clock.m_now() - m_step_since;
  if (m_step == Step::kIdle && passed >= CheckDelay() &&
      m_hooks.m_ranks_first()) {
    List();
  } else if (m_step == Step::kContacting && passed >= kContactTimeout) {
    UpdateRecord();
  }
}

Duration StorePeerDiscovery::CheckDelay() const {
  if (!m_has_checked) {
    return kFirstCheckDelay;
  }
  return m_hooks.m_live().size() > 1 ? kCheckInterval : kIsolatedCheckInterval;
}

void StorePeerDiscovery::List() {
  m_step = Step::kListing;
  m_hooks.m_list(kCallTimeout,
                 [this, alive = std::weak_ptr<int>(m_alive)](FeedPage page) {
                   if (!alive.expired()) {
                     OnListed(page);
                   }
                 });
}

void StorePeerDiscovery::OnListed(const FeedPage& page) {
  if (page.m_status != FeedPage::Status::kOk) {
    util::LogWarning("peers", "the recorded instances can't be read",
                     {{"why", page.m_error}});
    FinishCheck();
    return;
  }
  m_recorded = ContactsOf(page);
  std::vector<Endpoint> unknown = m_recorded;
  const std::vector<Endpoint> live = m_hooks.m_live();
  std::erase_if(unknown, [&live](const Endpoint& contact) {
    return std::find(live.begin(), live.end(), contact) != live.end();
  });
  if (!unknown.empty()) {
    util::LogChange(
        "peers", "asking recorded instances",
        {{"contacts", Encode(unknown)}, {"live", std::to_string(live.size())}});
  }
  m_hooks.m_on_contacts(unknown);
  m_step = Step::kContacting;
  m_step_since = m_clock.m_now();
}

void StorePeerDiscovery::UpdateRecord() {
  const std::vector<Endpoint> contacts =
      policy::PeersToRecord(m_recorded, m_hooks.m_live());
  if (contacts.empty() || !m_hooks.m_ranks_first()) {
    FinishCheck();
    return;
  }
  m_step = Step::kWriting;
  m_hooks.m_write(
      kContactKey, Encode(contacts), kCallTimeout,
      [this, contacts,
       alive = std::weak_ptr<int>(m_alive)](const std::string& error) {
        if (alive.expired()) {
          return;
        }
        if (error.empty()) {
          util::LogChange("peers", "instances recorded",
                          {{"contacts", Encode(contacts)}});
        } else {
          util::LogWarning("peers", "the instances can't be recorded",
                           {{"why", error}});
        }
        FinishCheck();
      });
}

void StorePeerDiscovery::FinishCheck() {
  m_has_checked = true;
  m_step = Step::kIdle;
  m_step_since = m_clock.m_now();
}

}  // namespace guavacross::feed
