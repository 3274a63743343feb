#include "serve/control_thread.h"

#include <QMetaObject>
#include <mutex>
#include <utility>

namespace guavacross::serve {

struct ControlThread::Target {
  std::mutex m_mutex;
  // Null after `ControlThread` is destroyed.
  std::unique_ptr<QObject> m_context;
};

ControlThread::ControlThread() : m_target(std::make_shared<Target>()) {
  m_target->m_context = std::make_unique<QObject>();
}

ControlThread::~ControlThread() {
  const std::lock_guard lock(m_target->m_mutex);
  m_target->m_context.reset();
}

std::function<void(std::function<void()>)> ControlThread::poster() const {
  return [target = m_target](std::function<void()> call) {
    const std::lock_guard lock(target->m_mutex);
    if (target->m_context != nullptr) {
      QMetaObject::invokeMethod(target->m_context.get(), std::move(call),
                                Qt::QueuedConnection);
    }
  };
}

}  // namespace guavacross::serve
