#include "net/socket_set.h"

#include <signal.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <QSocketNotifier>
#include <QTimer>
#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "net/stream.h"

namespace guavacross::net {

namespace {

constexpr std::size_t kScratchBytes = std::size_t{128} << 10;
constexpr int kEventsPerBatch = 64;
constexpr std::size_t kMaxPooledPipes = 4;

}  // namespace

SocketSet::SocketSet()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_scratch(kScratchBytes),
      m_notifier(
          std::make_unique<QSocketNotifier>(m_epoll, QSocketNotifier::Read)) {
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
  QObject::connect(m_notifier.get(), &QSocketNotifier::activated,
                   [this] { Dispatch(); });
}

SocketSet::~SocketSet() {
  DeleteDeferred();
  m_notifier.reset();
  close(m_epoll);
}

void SocketSet::Add(int descriptor, std::uint32_t events, Stream* stream) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = stream;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
}

void SocketSet::Change(int descriptor, std::uint32_t events, Stream* stream) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = stream;
  epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void SocketSet::Remove(int descriptor, Stream* stream) {
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
  std::replace(m_batch.begin(), m_batch.end(), stream,
               static_cast<Stream*>(nullptr));
  std::erase(m_to_flush, stream);
}

void SocketSet::Dispatch() {
  std::array<epoll_event, kEventsPerBatch> events{};
  const int count = epoll_wait(m_epoll, events.data(), kEventsPerBatch, 0);
  if (count <= 0) {
    return;
  }
  m_dispatching = true;
  m_batch.clear();
  for (int i = 0; i < count; ++i) {
    m_batch.push_back(static_cast<Stream*>(events[i].data.ptr));
  }
  for (int i = 0; i < count; ++i) {
    // Null if the stream was closed by a hook for an earlier event of the
    // batch.
    if (m_batch[i] != nullptr) {
      m_batch[i]->HandleEvents(events[i].events);
      Flush();
    }
  }
  m_batch.clear();
  m_dispatching = false;
  DeleteDeferred();
}

void SocketSet::Flush() {
  // A flush may call a hook that writes to another stream, which adds it to the
  // list.
  while (!m_to_flush.empty()) {
    Stream* const stream = m_to_flush.back();
    m_to_flush.pop_back();
    stream->Flush();
  }
}

void SocketSet::ScheduleDeletion() {
  if (m_dispatching || m_deletion_scheduled) {
    return;
  }
  m_deletion_scheduled = true;
  QTimer::singleShot(0, m_notifier.get(), [this] {
    m_deletion_scheduled = false;
    DeleteDeferred();
  });
}

std::unique_ptr<Pipe> SocketSet::AcquirePipe() {
  if (m_pipe_pool.empty()) {
    return Pipe::Make();
  }
  std::unique_ptr<Pipe> pipe = std::move(m_pipe_pool.back());
  m_pipe_pool.pop_back();
  return pipe;
}

void SocketSet::ReleasePipe(std::unique_ptr<Pipe> pipe) {
  if (m_pipe_pool.size() < kMaxPooledPipes) {
    m_pipe_pool.push_back(std::move(pipe));
  }
}

void SocketSet::DeleteDeferred() {
  // Destroying an object may call `DeleteLater` for others.
  while (!m_deferred.empty()) {
    std::exchange(m_deferred, {}).clear();
  }
}

}  // namespace guavacross::net
