#include "feed/keyed_feed.h"

#include <algorithm>
#include <utility>

namespace guavacross::feed {

namespace {

// Backoff after the first failed call; doubled with each further failure up to
// the maximum. The end of an outage must be noticed within some tenths of a
// second: an instance that was cut off can't tell that from an outage, whose
// end it dates to its own first read.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(700);

// Part of the backoff that is drawn, so that instances don't call together.
constexpr double kJitter = 0.5;

// A postponed read is reconsidered after at most this time.
constexpr Duration kMaxPostponement = std::chrono::milliseconds(300);

// Timeout for a page of a listing, which the store returns without waiting.
constexpr Duration kListTimeout = std::chrono::milliseconds(1500);

}  // namespace

KeyedFeed::KeyedFeed(FeedOptions options, Clock clock, FeedHooks hooks)
    : m_options(options),
      m_clock(std::move(clock)),
      m_hooks(std::move(hooks)),
      m_random(options.m_seed) {}

KeyedFeed::~KeyedFeed() {
  *m_alive = false;
}

void KeyedFeed::Start() {
  Call();
}

void KeyedFeed::SkipTo(std::uint64_t offset) {
  m_offset = std::max(m_offset, offset);
}

void KeyedFeed::ScheduleCall(Duration delay) {
  m_timer = m_clock.m_call_after(delay, [this] { Call(); });
}

void KeyedFeed::Call() {
  const bool may_wait = !m_needs_listing && m_reachable && m_hooks.m_postpone;
  const Duration postponed = may_wait ? m_hooks.m_postpone() : Duration::zero();
  if (postponed > Duration::zero()) {
    ScheduleCall(std::min(postponed, kMaxPostponement));
    return;
  }
  m_called_at = m_clock.m_now();
  if (m_needs_listing) {
    List();
  } else {
    Read();
  }
}

void KeyedFeed::List() {
  m_hooks.m_calls.m_list(m_list_after, kListTimeout,
                         [this, alive = m_alive](FeedPage page) {
                           if (*alive) {
                             OnListed(std::move(page));
                           }
                         });
}

void KeyedFeed::OnListed(FeedPage page) {
  if (page.m_status != FeedPage::Status::kOk) {
    OnFailure(page);
    return;
  }
  SetReachable(true, {});
  if (m_list_after.empty()) {
    // The pages aren't a consistent snapshot, so reading starts at the offset
    // of the first page to get the changes made during the listing.
    m_listing_offset = page.m_end;
    m_listed_records.clear();
  }
  // A key that isn't text is shown changed, so that the listing may go on with
  // the same page.
  const bool has_more_pages = page.m_has_more && !page.m_records.empty();
  const bool has_ended =
      !has_more_pages || page.m_records.back().m_key == m_list_after;
  if (!has_ended) {
    m_list_after = page.m_records.back().m_key;
  }
  std::move(page.m_records.begin(), page.m_records.end(),
            std::back_inserter(m_listed_records));
  if (!has_ended) {
    List();
    return;
  }
  m_list_after.clear();
  m_needs_listing = false;
  m_listed = true;
  m_offset = m_listing_offset;
  const std::vector<KeyedRecord> listed = std::exchange(m_listed_records, {});
  if (has_more_pages) {
    // Keys that are missing may be on pages that can't be listed.
    m_hooks.m_on_records(listed);
  } else {
    m_hooks.m_on_listing(listed, m_offset);
  }
  ScheduleCall(m_options.m_min_interval);
}

void KeyedFeed::Read() {
  m_hooks.m_calls.m_read(m_offset, m_options.m_wait,
                         m_options.m_wait + m_options.m_timeout_margin,
                         [this, alive = m_alive](FeedPage page) {
                           if (*alive) {
                             OnRead(std::move(page));
                           }
                         });
}

void KeyedFeed::OnRead(FeedPage page) {
  if (page.m_status == FeedPage::Status::kExpired) {
    SetReachable(true, {});
    m_needs_listing = true;
    m_list_after.clear();
    Call();
    return;
  }
  if (page.m_status != FeedPage::Status::kOk) {
    OnFailure(page);
    return;
  }
  SetReachable(true, {});
  if (!page.m_records.empty()) {
    SkipTo(page.m_records.back().m_offset + 1);
    m_hooks.m_on_records(page.m_records);
  }
  const Duration passed = m_clock.m_now() - m_called_at;
  ScheduleCall(std::max(Duration::zero(), m_options.m_min_interval - passed));
}

void KeyedFeed::OnFailure(const FeedPage& page) {
  m_list_after.clear();
  SetReachable(false, page.m_error);
  const Duration backoff = std::min(
      kMaxRetryDelay, kFirstRetryDelay * (1 << std::min(m_failures, 6)));
  ++m_failures;
  ScheduleCall(
      FromSeconds(Seconds(backoff) * (1 - kJitter * m_random.Uniform())));
}

void KeyedFeed::SetReachable(bool reachable, const std::string& why) {
  if (reachable) {
    m_failures = 0;
    if (m_hooks.m_on_answered) {
      m_hooks.m_on_answered();
    }
  }
  if (std::exchange(m_reachable, reachable) != reachable) {
    m_hooks.m_on_reachable(reachable, why);
  }
}

}  // namespace guavacross::feed
