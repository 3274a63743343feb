#include "serve/control_thread.h"

#include <QMetaObject>
#include <mutex>
#include <utility>

namespace guavacross::serve {

struct ControlThread::SharedState {
  std::mutex m_mutex;
  // Null after `ControlThread` is destroyed.
  std::unique_ptr<QObject> m_context;
};

ControlThread::ControlThread() : m_state(std::make_shared<SharedState>()) {
  m_state->m_context = std::make_unique<QObject>();
}

ControlThread::~ControlThread() {
  const std::lock_guard lock(m_state->m_mutex);
  m_state->m_context.reset();
}

std::function<void(std::function<void()>)> ControlThread::poster() const {
  return [state = m_state](std::function<void()> call) {
    const std::lock_guard lock(state->m_mutex);
    if (state->m_context != nullptr) {
      QMetaObject::invokeMethod(state->m_context.get(), std::move(call),
                                Qt::QueuedConnection);
    }
  };
}

}  // namespace guavacross::serve
