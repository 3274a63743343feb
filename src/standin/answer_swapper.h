#ifndef GUAVACROSS_STANDIN_ANSWER_SWAPPER_H_
#define GUAVACROSS_STANDIN_ANSWER_SWAPPER_H_

#include <optional>
#include <string>
#include <string_view>

#include "http/message_reader.h"

namespace guavacross::standin {

/// Reorders the HTTP answers of one connection: the first of each pair is held
/// until the second is complete and sent after it.
class AnswerSwapper {
 public:
  /// Takes bytes from the server.
  ///
  /// @return what is to be passed on now.
  std::string Take(std::string_view bytes);

 private:
  std::string m_answer;
  std::optional<std::string> m_held;
  std::optional<http::MessageReader> m_reader;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_ANSWER_SWAPPER_H_
