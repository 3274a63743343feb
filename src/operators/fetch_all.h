#ifndef GUAVACROSS_OPERATORS_FETCH_ALL_H_
#define GUAVACROSS_OPERATORS_FETCH_ALL_H_

#include <functional>
#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "net/http_fetcher.h"

namespace guavacross::operators {

/// Calls `start`, then runs an event loop on the calling thread until `done` is
/// called. Returns the value passed to `done`.
template <class T>
T WaitFor(const std::function<void(std::function<void(T)> done)>& start);

/// Fetches `path` from all endpoints in parallel and waits for all results.
///
/// @return one result per endpoint, in the order of `endpoints`.
std::vector<net::FetchResult> FetchAll(const std::vector<Endpoint>& endpoints,
                                       const std::string& path,
                                       Duration timeout);

}  // namespace guavacross::operators

#include <QEventLoop>
#include <optional>
#include <utility>

template <class T>
T guavacross::operators::WaitFor(
    const std::function<void(std::function<void(T)> done)>& start) {
  QEventLoop loop;
  std::optional<T> result;
  start([&loop, &result](T value) {
    result = std::move(value);
    loop.quit();
  });
  if (!result) {
    loop.exec();
  }
  return std::move(*result);
}

#endif  // GUAVACROSS_OPERATORS_FETCH_ALL_H_
