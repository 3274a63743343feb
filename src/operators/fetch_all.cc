#include "operators/fetch_all.h"

#include "util/qt_clock.h"

namespace guavacross::operators {

namespace {

// Pages grow with the number of targets.
constexpr std::size_t kMaxPageBytes = std::size_t{64} << 20;

}  // namespace

std::vector<net::FetchResult> FetchAll(const std::vector<Endpoint>& endpoints,
                                       const std::string& path,
                                       Duration timeout) {
  std::vector<net::FetchResult> results(endpoints.size());
  if (endpoints.empty()) {
    return results;
  }
  net::HttpFetcher fetcher(util::QtClock());
  WaitFor<bool>([&](const std::function<void(bool)>& done) {
    auto pending = std::make_shared<std::size_t>(endpoints.size());
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      fetcher.Get(endpoints[i], path, {timeout, kMaxPageBytes},
                  [&results, i, pending, done](const net::FetchResult& result) {
                    results[i] = result;
                    if (--*pending == 0) {
                      done(true);
                    }
                  });
    }
  });
  return results;
}

}  // namespace guavacross::operators
