#ifndef GUAVACROSS_FEED_CONTACT_BOOK_H_
#define GUAVACROSS_FEED_CONTACT_BOOK_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "feed/keyed_feed.h"
#include "guavacross/identity.h"
#include "guavacross/time.h"

namespace guavacross::feed {

struct ContactBookHooks {
  /// Lists the book's topic.
  std::function<void(Duration timeout, PageDone)> m_list;
  /// Writes a record of the topic; `done` is told why it failed, or nothing.
  std::function<void(const std::string& key,
                     const std::string& value,
                     Duration timeout,
                     std::function<void(const std::string& error)> done)>
      m_write;
  /// Whether this instance is the first of those that reach the store. One that
  /// knows no other is.
  std::function<bool()> m_is_first;
  /// Addresses of the live instances, this one included, sorted by name.
  std::function<std::vector<Endpoint>()> m_live;
  /// Further addresses at which other instances may be found.
  std::function<void(const std::vector<Endpoint>&)> m_on_contacts;
};

/// Keeps addresses of live instances in the store, for those that know nobody.
///
/// Instances find each other through the addresses in their settings and then
/// through each other; the store isn't asked. This record serves when all those
/// addresses are gone: the first instance reads it now and then, asks the
/// addresses that it doesn't know, and writes it anew when too few of them are
/// alive (`policy::ContactsToRecord`). An instance that is alone is its own
/// first, so it finds the others; so do two groups that had never met.
/// Call `Start` once and `Tick` a few times a second. Lives on the control
/// thread.
class ContactBook {
 public:
  ContactBook(Clock clock, ContactBookHooks hooks);
  ContactBook(const ContactBook&) = delete;
  ContactBook& operator=(const ContactBook&) = delete;

  void Start();
  void Tick();

 private:
  enum class Step { kRest, kListing, kAsking, kWriting };

  Duration RestTime() const;
  void List();
  void OnListed(const FeedPage& page);
  void Compare();
  void Rest();

  Clock m_clock;
  ContactBookHooks m_hooks;
  Step m_step = Step::kRest;
  // When the present step began.
  TimePoint m_since{};
  bool m_has_checked = false;
  std::vector<Endpoint> m_recorded;
  // Answers of the store that come later than this object lives are dropped.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace guavacross::feed

#endif  // GUAVACROSS_FEED_CONTACT_BOOK_H_
