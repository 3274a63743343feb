// Limits on the requests of tenants, kept by several instances together.

#include "policy/tenant_quota.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/random.h"
#include "util/test_case.h"

namespace guavacross::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using util::Section;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr char kTenant[] = "choir";

// Instances that ask each other without delay. Each believes those in its group
// to be live.
class Instances {
 public:
  explicit Instances(std::size_t count)
      : m_group(count),
        m_owners(MakeOwners(count)),
        m_leases(count),
        m_reserves(count) {}

  std::size_t size() const { return m_owners.size(); }

  // Requests at an instance, `count` at once; returns how many are admitted.
  int Send(std::size_t at, int count, const TenantLimit& limit, TimePoint now) {
    int admitted = 0;
    if (at == m_ended) {
      return admitted;
    }
    for (int i = 0; i < count; ++i) {
      QuotaLease& lease = m_leases[at];
      bool taken = lease.TryTake(now);
      if (!taken && now >= lease.denied_until()) {
        const QuotaAnswer answer = Ask(at, limit, now);
        lease.Add(answer, now);
        if (answer.m_reserve.has_value()) {
          m_reserves[at].RecordAnswer(*answer.m_reserve, now);
        }
        taken = lease.TryTakeForWaiting(now);
      }
      admitted += taken ? 1 : 0;
    }
    return admitted;
  }

  // Makes an instance start anew.
  void Restart(std::size_t instance) {
    m_owners[instance] = QuotaOwner("e" + std::to_string(instance));
    m_leases[instance] = {};
    m_reserves[instance] = {};
  }

  // The owner, if none is missing.
  std::size_t Owner() const {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < size(); ++i) {
      names.push_back("e" + std::to_string(i));
    }
    return *OwnerOf(kTenant, names);
  }

  // Groups of instances that can't reach each other.
  std::vector<int> m_group;
  // The first so many instances get no answer from the owner, which all others
  // take for live.
  std::size_t m_passing_over = 0;
  // An instance that has ended, or hasn't started.
  std::optional<std::size_t> m_ended;
  // The first so many instances don't know of the newest instance, whose name
  // ranks first.
  std::size_t m_late_learners = 0;

 private:
  QuotaAnswer Ask(std::size_t at, const TenantLimit& limit, TimePoint now) {
    std::vector<std::string> names;
    std::vector<std::size_t> numbers;
    for (std::size_t i = 0; i < size(); ++i) {
      if (m_group[i] == m_group[at]) {
        names.push_back("e" + std::to_string(i));
        numbers.push_back(i);
      }
    }
    const std::size_t first = *OwnerOf(kTenant, names);
    const std::size_t owner = numbers[first];
    QuotaStanding standing{.m_share = OwnedShare(names.size(), size())};
    std::size_t asked = owner;
    const bool passes_over = at < m_passing_over || at < m_late_learners;
    if (passes_over && at != owner && names.size() > 1) {
      names.erase(names.begin() + static_cast<std::ptrdiff_t>(first));
      numbers.erase(numbers.begin() + static_cast<std::ptrdiff_t>(first));
      asked = numbers[*OwnerOf(kTenant, names)];
      if (asked >= m_late_learners) {
        m_reserves[at].RecordNoAnswer(now);
        standing.m_owner_is_live = true;
        standing.m_substitute_part = m_passed_over[asked].Record(
            "e" + std::to_string(owner), "e" + std::to_string(at), size(), now);
      }
    }
    return m_owners[asked].Ask(
        "e" + std::to_string(at),
        {.m_tenant = kTenant,
         .m_wanted = m_leases[at].Wanted(1, now),
         .m_returned = m_leases[at].TakeReturned(now),
         .m_reserve = m_reserves[at].OfMissingOwner(now)},
        limit, standing, now);
  }

  static std::vector<QuotaOwner> MakeOwners(std::size_t count) {
    std::vector<QuotaOwner> owners;
    for (std::size_t i = 0; i < count; ++i) {
      owners.emplace_back("e" + std::to_string(i));
    }
    return owners;
  }

  std::map<std::size_t, PassedOverOwners> m_passed_over;
  std::vector<QuotaOwner> m_owners;
  std::vector<QuotaLease> m_leases;
  std::vector<KnownReserve> m_reserves;
};

// The most requests that were admitted in any five seconds, by millisecond.
int MostInFiveSeconds(const std::vector<int>& admitted) {
  int sum = 0;
  int most = 0;
  for (std::size_t i = 0; i < admitted.size(); ++i) {
    sum += admitted[i] - (i >= 5000 ? admitted[i - 5000] : 0);
    most = std::max(most, sum);
  }
  return most;
}

// Sends `rate` requests a second, spread at random over the instances, and
// returns how many are admitted in each millisecond. `each_ms` is called
// before.
template <class Each>
std::vector<int> Load(Instances* instances,
                      double rate,
                      const TenantLimit& limit,
                      Duration time,
                      Each each_ms) {
  Random random(11);
  std::vector<int> admitted;
  for (int ms = 0; ms < Milliseconds(time); ++ms) {
    each_ms(ms);
    int count = 0;
    for (double left = rate / 1000; left > 0; left -= 1) {
      if (random.Uniform() < left) {
        count += instances->Send(random.Below(instances->size()), 1, limit,
                                 kStart + milliseconds(ms));
      }
    }
    admitted.push_back(count);
  }
  return admitted;
}

int Sum(const std::vector<int>& counts) {
  int sum = 0;
  for (const int count : counts) {
    sum += count;
  }
  return sum;
}

// What the users allow in five seconds.
double Allowed(const TenantLimit& limit) {
  return (limit.m_rate * 5 + limit.m_burst) * 1.1 + 20;
}

}  // namespace

GUAVACROSS_TEST_CASE(TenantLimitsOverAllInstances) {
  const TenantLimit limit{.m_rate = 60, .m_burst = 60};
  const auto nothing = [](int) {};
  for (const std::size_t count : {6, 45, 123}) {
    const std::string name = " of " + std::to_string(count);
    Section("a hot tenant gets its limit and no more" + name, [&] {
      Instances instances(count);
      const auto admitted =
          Load(&instances, 7.5 * limit.m_rate, limit, seconds(20), nothing);
      CPPUNIT_ASSERT(MostInFiveSeconds(admitted) <= Allowed(limit));
      CPPUNIT_ASSERT(Sum(admitted) >= 0.95 * limit.m_rate * 20);
    });
    Section("nothing below the limit is refused" + name, [&] {
      Instances instances(count);
      int sent = 0;
      int admitted = 0;
      Random random(5);
      for (int ms = 0; ms < 20000; ++ms) {
        if (random.Uniform() < 0.8 * limit.m_rate / 1000) {
          ++sent;
          admitted += instances.Send(random.Below(count), 1, limit,
                                     kStart + milliseconds(ms));
        }
      }
      CPPUNIT_ASSERT_EQUAL(sent, admitted);
    });
    Section("a third restarts in the middle of a hot spell" + name, [&] {
      Instances instances(count);
      const auto admitted =
          Load(&instances, 3 * limit.m_rate, limit, seconds(20), [&](int ms) {
            for (std::size_t i = 0; ms == 9000 && i < count; i += 3) {
              instances.Restart(i);
            }
          });
      CPPUNIT_ASSERT(MostInFiveSeconds(admitted) <= Allowed(limit));
    });
    Section("one instance is cut off from the others" + name, [&] {
      Instances instances(count);
      const auto admitted =
          Load(&instances, 3 * limit.m_rate, limit, seconds(20), [&](int ms) {
            instances.m_group[0] = ms > 5000 && ms < 12000 ? 1 : 0;
          });
      CPPUNIT_ASSERT(MostInFiveSeconds(admitted) <= Allowed(limit));
    });
    Section("a third is cut off with each other" + name, [&] {
      Instances instances(count);
      const auto admitted =
          Load(&instances, 7.5 * limit.m_rate, limit, seconds(20), [&](int ms) {
            for (std::size_t i = 0; i < count; i += 3) {
              instances.m_group[i] = ms > 5000 && ms < 12000 ? 1 : 0;
            }
          });
      CPPUNIT_ASSERT(MostInFiveSeconds(admitted) <= Allowed(limit));
    });
    Section("a few pass over an owner that gives to the others" + name, [&] {
      Instances instances(count);
      const auto admitted =
          Load(&instances, 7.5 * limit.m_rate, limit, seconds(20), [&](int ms) {
            instances.m_passing_over = ms > 5000 ? count / 15 : 0;
          });
      CPPUNIT_ASSERT(MostInFiveSeconds(admitted) <= Allowed(limit));
    });
    Section("an owner ends that is still taken for live" + name, [&] {
      Instances instances(count);
      const auto admitted =
          Load(&instances, 7.5 * limit.m_rate, limit, seconds(20), [&](int ms) {
            if (ms > 5000) {
              instances.m_passing_over = count;
              instances.m_ended = instances.Owner();
            }
          });
      CPPUNIT_ASSERT(MostInFiveSeconds(admitted) <= Allowed(limit));
      CPPUNIT_ASSERT(Sum(admitted) >= 0.9 * limit.m_rate * 20);
    });
    Section("instances learn of a new owner one after the other" + name, [&] {
      Instances instances(count);
      const TenantLimit large{.m_rate = 250, .m_burst = 250};
      const auto admitted =
          Load(&instances, 7.5 * large.m_rate, large, seconds(20), [&](int ms) {
            instances.m_ended =
                ms < 9000 ? std::optional(instances.Owner()) : std::nullopt;
            instances.m_late_learners =
                ms < 9000   ? count
                : ms > 9500 ? 0
                            : count * static_cast<std::size_t>(9500 - ms) / 500;
          });
      CPPUNIT_ASSERT(MostInFiveSeconds(admitted) <= Allowed(large));
    });
  }
}

// Guards against a burst for each time that a tenant comes back to an owner.
GUAVACROSS_TEST_CASE(TenantsThatChangeOwners) {
  const TenantLimit limit{.m_rate = 95, .m_burst = 95};
  QuotaOwner owner;
  const auto ask = [&](Duration after) {
    return owner
        .Ask("e1", {.m_tenant = kTenant, .m_wanted = 1000}, limit, {},
             kStart + after)
        .m_granted;
  };
  ask(Duration::zero());
  Section("have no burst saved at an owner that wasn't theirs meanwhile", [&] {
    owner.SetMembers(1);
    CPPUNIT_ASSERT_EQUAL(14U, ask(seconds(3)));
  });
  Section("keep it at one that has been asked throughout", [&] {
    owner.SetMembers(2);
    CPPUNIT_ASSERT_EQUAL(38U, ask(seconds(3) + milliseconds(400)));
  });
  Section("and while the members stay the same",
          [&] { CPPUNIT_ASSERT_EQUAL(95U, ask(seconds(10))); });
}

GUAVACROSS_TEST_CASE(BurstsOfSmallTenants) {
  const TenantLimit limit{.m_rate = 2, .m_burst = 4};
  Instances instances(45);
  Section("pass at one instance", [&] {
    CPPUNIT_ASSERT_EQUAL(4, instances.Send(17, 4, limit, kStart));
  });
  Section("and what is beyond them is refused with the time to the next", [&] {
    CPPUNIT_ASSERT_EQUAL(0, instances.Send(17, 1, limit, kStart));
    CPPUNIT_ASSERT_EQUAL(
        1, instances.Send(17, 1, limit, kStart + milliseconds(510)));
  });
  Section("unused tokens of one instance come back to the others", [&] {
    QuotaLease lease;
    lease.Add({.m_granted = 3}, kStart);
    CPPUNIT_ASSERT_EQUAL(0U, lease.TakeReturned(kStart + milliseconds(400)));
    CPPUNIT_ASSERT_EQUAL(3U, lease.TakeReturned(kStart + milliseconds(600)));
    CPPUNIT_ASSERT(!lease.TryTake(kStart + milliseconds(600)));
  });
}

// Guards against a substitute that gives what the owner, which others still
// reach, gives too.
GUAVACROSS_TEST_CASE(SubstitutesOfOwners) {
  const TenantLimit limit{.m_rate = 100, .m_burst = 100};
  const QuotaReserve reserve{.m_rate = 10, .m_free_rate = 80};
  QuotaOwner owner("self");
  TimePoint now = kStart;
  QuotaStanding standing{.m_substitute_part = 0.5, .m_owner_is_live = true};
  // Lets instances ask every 10 ms; returns what they get.
  const auto ask = [&](std::vector<std::string> askers, Duration time,
                       std::uint32_t wanted) {
    std::uint32_t granted = 0;
    for (const TimePoint end = now + time; now < end; now += milliseconds(10)) {
      for (const std::string& asker : askers) {
        granted += owner
                       .Ask(asker,
                            {.m_tenant = kTenant,
                             .m_wanted = wanted,
                             .m_reserve = reserve},
                            limit, standing, now)
                       .m_granted;
      }
    }
    return granted;
  };
  Section("give each what is held back for it, and little more", [&] {
    // 20 are held back; of 38 extra tokens and 5 first ones half, and 3.
    CPPUNIT_ASSERT(ask({"a", "b"}, seconds(1), 50) <= 20 + 19 + 2.5 + 3);
    CPPUNIT_ASSERT(ask({"a", "b"}, seconds(1), 50) <= 21);
  });
  Section("give nothing for one that has turned back to the owner", [&] {
    ask({"a"}, milliseconds(200), 50);
    CPPUNIT_ASSERT(ask({"a"}, milliseconds(500), 50) <= 6);
  });
  Section("save up little of what isn't asked for", [&] {
    ask({"a", "b"}, seconds(5), 0);
    CPPUNIT_ASSERT(ask({"a"}, milliseconds(10), 100) <= 11);
  });
  Section("give the unused rest if all come to them", [&] {
    standing.m_substitute_part = 1;
    ask({"a", "b"}, seconds(1), 50);
    CPPUNIT_ASSERT(ask({"a", "b"}, seconds(1), 50) >= 95);
  });
}

}  // namespace guavacross::policy
