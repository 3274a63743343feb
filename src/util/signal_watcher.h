#ifndef GUAVACROSS_UTIL_SIGNAL_WATCHER_H_
#define GUAVACROSS_UTIL_SIGNAL_WATCHER_H_

#include <functional>
#include <memory>

class QSocketNotifier;

namespace guavacross::util {

/// Delivers SIGTERM, SIGINT and SIGHUP as calls on the event loop.
///
/// Construct it in `main` before any other thread starts, so that every thread
/// inherits the blocked signals. A signal that arrives before the event loop
/// runs stays pending. Also ignores SIGPIPE. Use one per process.
class SignalWatcher {
 public:
  /// `on_signal` is called with the number of each signal received.
  explicit SignalWatcher(std::function<void(int)> on_signal);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  void ReadSignals();

  std::function<void(int)> m_on_signal;
  int m_descriptor;
  std::unique_ptr<QSocketNotifier> m_notifier;
};

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_SIGNAL_WATCHER_H_
