#include "standin/answer_swapper.h"

#include "util/handle.h"

namespace guavacross::standin {

std::string AnswerSwapper::Process(std::string_view bytes) {
  std::string forwarded;
  while (!bytes.empty()) {
    if (!m_reader.has_value()) {
      m_reader.emplace(http::MessageReader::ForResponse({}, false, {}));
    }
    const auto consumed =
        util::Catch([this, bytes] { return m_reader->Feed(bytes); });
    if (!consumed) {
      // Not valid HTTP: forwarded unchanged.
      m_reader.reset();
      return forwarded.append(bytes);
    }
    m_partial_answer.append(bytes.substr(0, *consumed.m_value));
    bytes.remove_prefix(*consumed.m_value);
    if (!m_reader->done()) {
      continue;
    }
    m_reader.reset();
    if (m_held_answer.has_value()) {
      forwarded += m_partial_answer + *m_held_answer;
      m_held_answer.reset();
    } else {
      m_held_answer = m_partial_answer;
    }
    m_partial_answer.clear();
  }
  return forwarded;
}

}  // namespace guavacross::standin
