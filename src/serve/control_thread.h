#ifndef GUAVACROSS_SERVE_CONTROL_THREAD_H_
#define GUAVACROSS_SERVE_CONTROL_THREAD_H_

#include <QObject>
#include <functional>
#include <memory>

namespace guavacross::serve {

/// Lets other threads run functions on the control thread.
///
/// Construct it on the control thread. `Post` may be called from any thread,
/// even after the destruction, when the function is dropped.
class ControlThread {
 public:
  ControlThread();
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// A function that queues its argument on the control thread. Thread safe; it
  /// may outlive this object.
  std::function<void(std::function<void()>)> poster() const;

 private:
  struct Target;
  // Shared with the posters, which other threads may hold for longer.
  std::shared_ptr<Target> m_target;
};

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_CONTROL_THREAD_H_
