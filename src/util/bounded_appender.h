#ifndef GUAVACROSS_UTIL_BOUNDED_APPENDER_H_
#define GUAVACROSS_UTIL_BOUNDED_APPENDER_H_

#include <log4cplus/appender.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace guavacross::util {

/// A log4cplus appender that never makes a logging thread wait.
///
/// Lines go into a queue of bounded length, which a thread of its own writes
/// out. A line that finds the queue full is left out; how many were is written
/// as a line of its own once there is room. Thread safe.
class BoundedAppender : public log4cplus::Appender {
 public:
  using Write = std::function<void(const std::string&)>;

  /// `write` is called on the appender's thread and may wait.
  BoundedAppender(std::size_t max_lines, Write write);
  ~BoundedAppender() override;

  /// Writes out what is queued and ends the thread.
  void close() override;  // NOLINT: log4cplus's name

 protected:
  void append(  // NOLINT: log4cplus's name
      const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void Run();

  const std::size_t m_max_lines;
  const Write m_write;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<std::string> m_lines;
  std::uint64_t m_left_out = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_BOUNDED_APPENDER_H_
