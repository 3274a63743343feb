#ifndef GUAVACROSS_UTIL_SIGNAL_WATCHER_H_
#define GUAVACROSS_UTIL_SIGNAL_WATCHER_H_

#include <functional>
#include <memory>

class QSocketNotifier;

namespace guavacross::util {

/// Turns SIGTERM, SIGINT and SIGHUP into calls on the event loop.
///
/// Construct it in `main` before any other thread starts, so that every thread
/// inherits the blocked signals; a signal that comes before the event loop runs
/// is kept until then. One per process.
class SignalWatcher {
 public:
  /// `on_signal` is called with the signal's number, once for each arrival.
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
