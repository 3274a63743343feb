#ifndef GUAVACROSS_OUTCOME_H_
#define GUAVACROSS_OUTCOME_H_

#include <string_view>

namespace guavacross {

/// What is known about whether a request ran on a backend server.
///
/// Ordered by decreasing guarantee to the caller: the outcome of a request with
/// several attempts is the greatest of theirs.
enum class Outcome {
  /// The request ran on no backend server: no byte of it reached one, or each
  /// server that it reached refused it with the not-run header before running
  /// it.
  kNotRun,
  /// A backend server ran the request and its complete answer was received.
  kDone,
  /// The request may have run.
  kUnknown,
};

/// The outcome's name in the `Guavacross-Outcome` header: `not-run`, `done` or
/// `unknown`.
constexpr std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kDone:
      return "done";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace guavacross

#endif  // GUAVACROSS_OUTCOME_H_
