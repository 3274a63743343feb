#ifndef GUAVACROSS_FORWARDING_CALLER_DIALECT_H_
#define GUAVACROSS_FORWARDING_CALLER_DIALECT_H_

#include <functional>

#include "forwarding/own_answer.h"
#include "guavacross/error.h"
#include "http/message.h"

namespace guavacross::forwarding {

/// The format in which callers are answered.
struct CallerDialect {
  /// Makes the answer for an error.
  std::function<CompleteAnswer(const Error&, Outcome)> m_error_answer;
  /// Makes the head with which a backend server's answer is passed on, from
  /// that answer's own head.
  std::function<http::ResponseHead(const http::ResponseHead&)> m_answer_head;
};

/// The default format: plain-text errors and guavacross's own headers.
const CallerDialect& DefaultCallerDialect();

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_CALLER_DIALECT_H_
