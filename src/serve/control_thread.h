#ifndef GUAVACROSS_SERVE_CONTROL_THREAD_H_
#define GUAVACROSS_SERVE_CONTROL_THREAD_H_

#include <QObject>
#include <functional>
#include <memory>

namespace guavacross::serve {

/// Lets other threads run functions on the control thread.
///
/// Construct it on the control thread. A poster may be called from any thread;
/// after this object is destroyed it drops the function.
class ControlThread {
 public:
  ControlThread();
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// A function that queues its argument for the control thread. The function
  /// is thread safe and may outlive this object.
  std::function<void(std::function<void()>)> poster() const;

 private:
  struct SharedState;
  // Shared with the posters, which may outlive this object.
  std::shared_ptr<SharedState> m_state;
};

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_CONTROL_THREAD_H_
