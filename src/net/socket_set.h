#ifndef GUAVACROSS_NET_SOCKET_SET_H_
#define GUAVACROSS_NET_SOCKET_SET_H_

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "net/pipe.h"

class QSocketNotifier;

namespace guavacross::net {

class Stream;

/// Event dispatcher for the sockets of one thread.
///
/// All sockets are registered in one epoll set, whose own descriptor is watched
/// by one QSocketNotifier: Qt's event loop polls a single descriptor regardless
/// of the number of connections. Create one on each thread that has sockets; it
/// must outlive its streams. The constructor blocks SIGPIPE on its thread,
/// since splicing to a closed socket raises that signal. Not thread safe.
class SocketSet {
 public:
  SocketSet();
  ~SocketSet();
  SocketSet(const SocketSet&) = delete;
  SocketSet& operator=(const SocketSet&) = delete;

  /// A read buffer shared by the thread's streams. Its content is valid only
  /// until the next use.
  std::span<char> scratch() { return m_scratch; }

  /// Destroys `object` once no hook of the set's streams is running.
  template <class T>
  void DeleteLater(std::unique_ptr<T> object) {
    m_deferred.push_back(
        std::make_unique<DeferredObject<T>>(std::move(object)));
    ScheduleDeletion();
  }

  /// Destroys the objects given to `DeleteLater` immediately. For destructors
  /// of owners whose members these objects refer to; not to be called while a
  /// hook is running.
  void DeleteDeferred();

 private:
  friend class Stream;

  struct Deferred {
    virtual ~Deferred() = default;
  };
  template <class T>
  struct DeferredObject : Deferred {
    explicit DeferredObject(std::unique_ptr<T> object)
        : m_object(std::move(object)) {}
    std::unique_ptr<T> m_object;
  };

  void Add(int descriptor, std::uint32_t events, Stream* stream);
  void Change(int descriptor, std::uint32_t events, Stream* stream);
  void Remove(int descriptor, Stream* stream);
  void Dispatch();
  // Sends the stream's buffered small writes once the current event is handled.
  void FlushLater(Stream* stream) { m_to_flush.push_back(stream); }
  void Flush();
  void ScheduleDeletion();
  // Takes an empty pipe from the pool or creates one; null if that fails.
  // `ReleasePipe` returns it to the pool.
  std::unique_ptr<Pipe> AcquirePipe();
  void ReleasePipe(std::unique_ptr<Pipe> pipe);

  int m_epoll = -1;
  std::vector<char> m_scratch;
  std::unique_ptr<QSocketNotifier> m_notifier;
  // The streams of the events being dispatched; null for closed streams.
  std::vector<Stream*> m_batch;
  std::vector<Stream*> m_to_flush;
  std::vector<std::unique_ptr<Pipe>> m_pipe_pool;
  bool m_dispatching = false;
  bool m_deletion_scheduled = false;
  std::vector<std::unique_ptr<Deferred>> m_deferred;
};

}  // namespace guavacross::net

#endif  // GUAVACROSS_NET_SOCKET_SET_H_
