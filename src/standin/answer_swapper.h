#ifndef GUAVACROSS_STANDIN_ANSWER_SWAPPER_H_
#define GUAVACROSS_STANDIN_ANSWER_SWAPPER_H_

#include <optional>
#include <string>
#include <string_view>

#include "http/message_reader.h"

namespace guavacross::standin {

/// Swaps consecutive HTTP answers on one connection: the first answer of each
/// pair is held back until the second is complete, and sent after it.
class AnswerSwapper {
 public:
  /// Processes bytes received from the server.
  ///
  /// @return the bytes to forward now.
  std::string Process(std::string_view bytes);

 private:
  std::string m_partial_answer;
  std::optional<std::string> m_held_answer;
  std::optional<http::MessageReader> m_reader;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_ANSWER_SWAPPER_H_
