#include "forwarding/worker_task_queue.h"

#include <QCoreApplication>
#include <QMetaObject>
#include <QObject>
#include <mutex>
#include <thread>
#include <utility>

namespace guavacross::forwarding {

// Shared with the posting threads, which may outlive the worker.
struct WorkerTaskQueue::State {
  std::thread::id m_thread = std::this_thread::get_id();
  std::mutex m_mutex;
  // Null once stopped; guarded by the mutex.
  std::unique_ptr<QObject> m_context = std::make_unique<QObject>();
};

WorkerTaskQueue::WorkerTaskQueue() : m_state(std::make_shared<State>()) {}

bool WorkerTaskQueue::Post(std::function<void()> call) const {
  const std::lock_guard lock(m_state->m_mutex);
  if (m_state->m_context == nullptr) {
    return false;
  }
  return QMetaObject::invokeMethod(m_state->m_context.get(), std::move(call),
                                   Qt::QueuedConnection);
}

void WorkerTaskQueue::Stop() {
  std::unique_ptr<QObject> context;
  {
    const std::lock_guard lock(m_state->m_mutex);
    context = std::move(m_state->m_context);
  }
  QCoreApplication::sendPostedEvents(context.get());
}

bool WorkerTaskQueue::OnWorkerThread() const {
  return std::this_thread::get_id() == m_state->m_thread;
}

}  // namespace guavacross::forwarding
