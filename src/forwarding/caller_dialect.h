#ifndef GUAVACROSS_FORWARDING_CALLER_DIALECT_H_
#define GUAVACROSS_FORWARDING_CALLER_DIALECT_H_

#include <functional>

#include "forwarding/own_answer.h"
#include "guavacross/error.h"
#include "http/message.h"

namespace guavacross::forwarding {

/// How callers are answered.
struct CallerDialect {
  /// The answer to an error.
  std::function<WholeAnswer(const Error&, Outcome)> m_error_answer;
  /// The head with which a backend server's answer is passed on.
  std::function<http::ResponseHead(const http::ResponseHead&)> m_answer_head;
};

/// The project's own interface to callers.
const CallerDialect& OwnCallerDialect();

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_CALLER_DIALECT_H_
