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

/// A log4cplus appender that never blocks the logging threads.
///
/// Lines are put into a bounded queue, which a background thread writes out.
/// Lines logged while the queue is full are dropped; a line with their number
/// is written later. Thread safe.
class BoundedAppender : public log4cplus::Appender {
 public:
  using Write = std::function<void(const std::string&)>;

  /// `write` is called on the background thread and may block.
  BoundedAppender(std::size_t max_lines, Write write);
  ~BoundedAppender() override;

  /// Writes the queued lines and stops the background thread.
  void close() override;  // NOLINT: log4cplus's name

 protected:
  void append(  // NOLINT: log4cplus's name
      const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void Run();

  const std::size_t m_max_lines;
  const Write m_write;
  std::mutex m_mutex;
  std::condition_variable m_wake_up;
  std::deque<std::string> m_lines;
  std::uint64_t m_dropped = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_BOUNDED_APPENDER_H_
