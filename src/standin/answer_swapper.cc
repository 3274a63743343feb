#include "standin/answer_swapper.h"

#include "util/handle.h"

namespace guavacross::standin {

std::string AnswerSwapper::Take(std::string_view bytes) {
  std::string passed;
  while (!bytes.empty()) {
    if (!m_reader.has_value()) {
      m_reader.emplace(http::MessageReader::ForResponse({}, false, {}));
    }
    const auto taken =
        util::Catch([this, bytes] { return m_reader->Feed(bytes); });
    if (!taken) {
      // Not valid HTTP: forwarded unchanged.
      m_reader.reset();
      return passed.append(bytes);
    }
    m_answer.append(bytes.substr(0, *taken.m_value));
    bytes.remove_prefix(*taken.m_value);
    if (!m_reader->done()) {
      continue;
    }
    m_reader.reset();
    if (m_held.has_value()) {
      passed += m_answer + *m_held;
      m_held.reset();
    } else {
      m_held = m_answer;
    }
    m_answer.clear();
  }
  return passed;
}

}  // namespace guavacross::standin
