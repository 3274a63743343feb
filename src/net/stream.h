#ifndef GUAVACROSS_NET_STREAM_H_
#define GUAVACROSS_NET_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "guavacross/identity.h"
#include "guavacross/time.h"
#include "net/pipe.h"
#include "net/socket_set.h"

namespace guavacross::net {

/// A non-blocking TCP connection on the event loop of its thread.
///
/// QTcpSocket closes both directions when its peer closes one, and keeps
/// reading into its buffer until then. A Stream closes each direction
/// independently, reads only on request, and buffers only outgoing bytes that
/// the kernel does not accept immediately and small writes. Hooks are called
/// from the event loop, never from within a function of the stream. A hook must
/// not destroy its stream, but may pass it to `SocketSet::DeleteLater`. Not
/// thread safe.
class Stream {
 public:
  struct Hooks {
    /// A stream created by `Connect` is connected.
    std::function<void()> m_on_connected;
    /// `Read` would not return `kWouldBlock`. Called only while reading is
    /// enabled.
    std::function<void()> m_on_readable;
    /// The peer has closed its direction while reading is disabled; bytes that
    /// it sent before may be unread. Called once.
    std::function<void()> m_on_peer_finished;
    /// The kernel has accepted all buffered bytes.
    std::function<void()> m_on_drained;
    /// The connection failed or both directions are closed. Called once and
    /// last.
    std::function<void()> m_on_closed;
  };

  enum class ReadStatus { kBytes, kWouldBlock, kEnd, kFailed };
  struct ReadResult {
    ReadStatus m_status = ReadStatus::kWouldBlock;
    std::string_view m_bytes;
  };

  /// Takes ownership of a connected socket descriptor.
  static std::unique_ptr<Stream> FromDescriptor(SocketSet* set,
                                                int descriptor,
                                                Hooks hooks);
  /// Starts connecting, from the IP address `source` unless it is empty.
  /// Returns null if that fails immediately.
  static std::unique_ptr<Stream> Connect(SocketSet* set,
                                         const Endpoint& address,
                                         const std::string& source,
                                         Hooks hooks);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Fails the connection once sent bytes have been unacknowledged, or the peer
  /// has accepted no bytes, for `limit` (TCP_USER_TIMEOUT); zero selects the
  /// kernel's default.
  void SetUnacknowledgedLimit(Duration limit);

  /// Replaces the hooks. Must not be called from within a hook.
  void SetHooks(Hooks hooks) { m_hooks = std::move(hooks); }

  /// Reads into `buffer` without blocking. `kEnd` is the peer's regular end; a
  /// reset is `kFailed`, also if a send met it first.
  ReadResult Read(std::span<char> buffer);

  /// Sends `bytes`, buffering what the kernel does not accept. Small writes
  /// from within a hook are coalesced and sent once the hook has returned.
  void Write(std::string_view bytes);

  struct SpliceResult {
    ReadStatus m_status = ReadStatus::kWouldBlock;
    std::size_t m_bytes = 0;
  };
  /// Sends up to `max` bytes that are ready to be read from `source`, without
  /// copying them through user space. Call only while `unsent()` is 0. Bytes
  /// that were taken from `source` but not yet accepted for sending count as
  /// unsent. If the status is `kFailed` and `CanSplice` is still true, `source`
  /// failed.
  SpliceResult SpliceFrom(Stream* source, std::size_t max);

  /// Whether `SpliceFrom` can be called now.
  bool CanSplice();

  /// Number of buffered bytes.
  std::size_t unsent() const {
    return m_unsent.size() - m_unsent_start +
           (m_pipe != nullptr ? m_pipe->size() : 0);
  }

  /// Total number of bytes passed to the kernel, including those that
  /// `SpliceFrom` took but the socket has not accepted yet.
  std::uint64_t bytes_sent() const { return m_bytes_sent; }

  void SetReading(bool reading);
  bool reading() const { return m_reading; }

  /// Whether bytes, the peer's close or an error are waiting to be read.
  bool HasPendingInput() const;

  /// Closes the sending direction once the buffered bytes are sent.
  void FinishWriting();

  /// Closes immediately and discards buffered bytes. No hook is called
  /// afterwards.
  void Close();

  /// Closes immediately with a reset, so that the peer can't mistake the bytes
  /// it received for a complete message.
  void Abort();

  bool open() const { return m_descriptor >= 0; }

 private:
  friend class SocketSet;

  Stream(SocketSet* set, int descriptor, bool connecting, Hooks hooks);
  void HandleEvents(std::uint32_t events);
  void HandleConnected();
  // Sends the buffered bytes and then `more`, buffering what the kernel does
  // not accept.
  void Send(std::string_view more);
  void SendBuffered();
  void DrainPipe();
  // Sends coalesced writes. Called by `SocketSet` after an event.
  void Flush();
  void UpdateInterest();
  std::uint32_t Interest() const;

  SocketSet* m_set;
  int m_descriptor;
  Hooks m_hooks;
  std::string m_unsent;
  std::size_t m_unsent_start = 0;
  // Holds bytes from `SpliceFrom` that the kernel has not accepted for sending
  // yet; null if there are none.
  std::unique_ptr<Pipe> m_pipe;
  std::uint64_t m_bytes_sent = 0;
  std::uint32_t m_interest = 0;
  bool m_connecting;
  bool m_flush_pending = false;
  bool m_reading = false;
  bool m_peer_finished = false;
  bool m_finish_writing = false;
  // Whether a send was given the connection's error, such as a reset. The
  // kernel reports it once; later reads see what looks like a regular end.
  bool m_send_error = false;
};

}  // namespace guavacross::net

#endif  // GUAVACROSS_NET_STREAM_H_
