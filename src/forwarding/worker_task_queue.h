#ifndef GUAVACROSS_FORWARDING_WORKER_TASK_QUEUE_H_
#define GUAVACROSS_FORWARDING_WORKER_TASK_QUEUE_H_

#include <functional>
#include <memory>

namespace guavacross::forwarding {

/// Queues functions from any thread to run on a worker's thread, until the
/// worker stops. Copies post to the same worker.
class WorkerTaskQueue {
 public:
  /// Construct on the worker's thread, whose event loop runs the functions.
  WorkerTaskQueue();

  /// Queues `call`. Returns false, without queueing it, once the worker has
  /// stopped. Thread safe.
  bool Post(std::function<void()> call) const;

  /// Refuses further calls and runs those that are queued. Call once, on the
  /// worker's thread.
  void Stop();

  /// Whether this is the worker's thread. Thread safe.
  bool OnWorkerThread() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_WORKER_TASK_QUEUE_H_
