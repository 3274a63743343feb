#ifndef GUAVACROSS_FORWARDING_OWN_ANSWER_H_
#define GUAVACROSS_FORWARDING_OWN_ANSWER_H_

#include <string>

#include "guavacross/error.h"
#include "guavacross/ledger.h"
#include "http/message.h"

namespace guavacross::forwarding {

/// An answer that is held in memory with its complete body.
struct CompleteAnswer {
  http::ResponseHead m_head;
  std::string m_body;

  bool operator==(const CompleteAnswer&) const = default;
};

/// Makes an answer with a body of the given type and no other header.
CompleteAnswer AnswerWithBody(int status,
                              std::string content_type,
                              std::string body);

/// As `AnswerWithBody`, with the outcome header.
CompleteAnswer MakeAnswer(int status,
                          Outcome outcome,
                          std::string content_type,
                          std::string body);

/// The answer to a caller for an error, with outcome, reason and Retry-After.
CompleteAnswer ErrorToAnswer(const Error& error, Outcome outcome);

/// The answer that replays a recorded one. If the answer was too large to be
/// recorded, the error `kOutcomeLost` with outcome `done`.
CompleteAnswer ReplayToAnswer(const RecordedAnswer& recorded);

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_OWN_ANSWER_H_
