#ifndef GUAVACROSS_OPERATORS_FETCH_ALL_H_
#define GUAVACROSS_OPERATORS_FETCH_ALL_H_

#include <functional>
#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "net/http_fetcher.h"

namespace guavacross::operators {

/// Runs the calling thread's event loop until `done` is called with a value.
template <class T>
T WaitFor(const std::function<void(std::function<void(T)> done)>& start);

/// Gets `path` from every endpoint at once.
///
/// @return the results in the order of the endpoints.
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
