#ifndef GUAVACROSS_NET_PIPE_H_
#define GUAVACROSS_NET_PIPE_H_

#include <cstddef>
#include <memory>

namespace guavacross::net {

/// A kernel pipe that transfers bytes between two sockets with splice(2),
/// without copying them through user space. Not thread safe.
class Pipe {
 public:
  /// Returns null if the pipe can't be created.
  static std::unique_ptr<Pipe> Make();
  ~Pipe();
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  /// Moves up to `max` bytes from a socket into the pipe. Returns the number
  /// moved, 0 at the end of the stream, or -1 with `errno` set.
  long FillFrom(int socket, std::size_t max);

  /// Moves bytes from the pipe to a socket until the pipe is empty or the
  /// socket accepts no more. Errors are reported when the socket is next
  /// polled.
  void DrainTo(int socket);

  /// Bytes in the pipe.
  std::size_t size() const { return m_size; }

 private:
  Pipe(int read_end, int write_end);

  int m_read_end;
  int m_write_end;
  std::size_t m_size = 0;
};

}  // namespace guavacross::net

#endif  // GUAVACROSS_NET_PIPE_H_
