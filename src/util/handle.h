#ifndef GUAVACROSS_UTIL_HANDLE_H_
#define GUAVACROSS_UTIL_HANDLE_H_

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>

#include "guavacross/error.h"

namespace guavacross::util {

/// Runs `attempt`, a function that returns `Result<T>`, and calls `on_error`
/// with the `Error` if it fails.
///
/// @return the value of `attempt` or of `on_error`, which must return a T.
///
/// The error object is lost if the failed result is created outside of
/// `attempt`, so always call the failing function inside it. Use `Catch` to get
/// a result that can be stored.
template <class Attempt, class OnError>
auto Handle(Attempt&& attempt, OnError&& on_error) {
  return boost::leaf::try_handle_all(
      std::forward<Attempt>(attempt),
      [&on_error](const Error& error) { return on_error(error); },
      [&on_error]() {
        return on_error(Error{.m_kind = ErrorKind::kInternal,
                              .m_text = "error without a description"});
      });
}

/// A value or an error. Unlike a `Result`, it can be stored and moved between
/// threads.
template <class T>
struct Expected {
  std::optional<T> m_value;
  Error m_error;

  explicit operator bool() const { return m_value.has_value(); }
};

/// Runs `attempt` and returns its value or error as an `Expected<T>`.
template <class Attempt>
auto Catch(Attempt&& attempt) {
  using T = std::decay_t<decltype(attempt().value())>;
  return Handle(
      [&]() -> Result<Expected<T>> {
        auto result = attempt();
        if (!result) {
          return result.error();
        }
        return Expected<T>{.m_value = std::move(result.value())};
      },
      [](const Error& error) { return Expected<T>{.m_error = error}; });
}

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_HANDLE_H_
