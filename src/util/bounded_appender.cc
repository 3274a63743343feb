#include "util/bounded_appender.h"

#include <utility>

namespace guavacross::util {

BoundedAppender::BoundedAppender(std::size_t max_lines, Write write)
    : m_max_lines(max_lines),
      m_write(std::move(write)),
      m_thread([this] { Run(); }) {}

BoundedAppender::~BoundedAppender() {
  // log4cplus requires this call in the destructor of each appender class.
  destructorImpl();
}

void BoundedAppender::close() {
  {
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_stopping, true)) {
      return;
    }
    m_wake_up.notify_one();
  }
  m_thread.join();
  closed = true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent& event) {
  const std::string& line = formatEvent(event);
  const std::lock_guard lock(m_mutex);
  if (m_lines.size() >= m_max_lines) {
    ++m_dropped;
    return;
  }
  m_lines.push_back(line);
  m_wake_up.notify_one();
}

void BoundedAppender::Run() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_wake_up.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
    if (m_lines.empty()) {
      return;
    }
    std::deque<std::string> lines = std::exchange(m_lines, {});
    const std::uint64_t dropped = std::exchange(m_dropped, 0);
    if (dropped > 0) {
      lines.push_back(
          "level=WARN package=log event=\"lines were left out\" "
          "count=\"" +
          std::to_string(dropped) + "\"\n");
    }
    lock.unlock();
    std::string text;
    for (const std::string& line : lines) {
      text += line;
    }
    m_write(text);
    lock.lock();
  }
}

}  // namespace guavacross::util
