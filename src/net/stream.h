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

/// A TCP connection on the event loop of its thread.
///
/// QTcpSocket closes both directions when its peer closes one, and goes on
/// reading into its buffer until then. Here each direction is closed by itself,
/// nothing is read unless asked for, and only what the kernel doesn't take at
/// once is buffered. Hooks are called from the event loop, never from inside of
/// a function of the stream. A hook must not destroy its stream: hand it to
/// `SocketSet::DeleteLater`. Not thread safe.
class Stream {
 public:
  struct Hooks {
    /// A stream made by `Connect` is connected.
    std::function<void()> m_on_connected;
    /// `Read` would return something. Only while reading is switched on.
    std::function<void()> m_on_readable;
    /// The peer has closed its direction while reading is switched off; bytes
    /// that it sent before may be unread. Called once.
    std::function<void()> m_on_peer_finished;
    /// What was buffered has been given to the kernel.
    std::function<void()> m_on_drained;
    /// The connection failed or both directions are closed. Called once and
    /// last.
    std::function<void()> m_on_closed;
  };

  enum class ReadStatus { kBytes, kNothingYet, kEnd, kFailed };
  struct ReadResult {
    ReadStatus m_status = ReadStatus::kNothingYet;
    std::string_view m_bytes;
  };

  /// Takes over a connected descriptor.
  static std::unique_ptr<Stream> Accepted(SocketSet* set,
                                          int descriptor,
                                          Hooks hooks);
  /// Starts to connect. Returns null if that fails at once.
  static std::unique_ptr<Stream> Connect(SocketSet* set,
                                         const Endpoint& address,
                                         Hooks hooks);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Fails the connection once bytes have stayed unacknowledged, or a peer has
  /// taken none, for `limit`; zero leaves it to the kernel.
  void SetUnacknowledgedLimit(Duration limit);

  /// Replaces the hooks. Not to be called from inside of a hook.
  void SetHooks(Hooks hooks) { m_hooks = std::move(hooks); }

  /// Reads into `buffer` without waiting.
  ReadResult Read(std::span<char> buffer);

  /// Sends `bytes`, buffering what the kernel doesn't take. Small writes from
  /// inside of a hook are sent together once the hook has returned.
  void Write(std::string_view bytes);

  struct MoveResult {
    ReadStatus m_status = ReadStatus::kNothingYet;
    std::size_t m_bytes = 0;
  };
  /// Sends up to `max` bytes that wait to be read from `source`, without
  /// copying them. Call only while nothing is unsent. What the kernel has taken
  /// from `source` but not yet for this stream counts as unsent. `kFailed` with
  /// `CanMove` still true concerns `source`.
  MoveResult MoveFrom(Stream* source, std::size_t max);

  /// Whether `MoveFrom` can be called now.
  bool CanMove();

  /// Bytes that are buffered.
  std::size_t unsent() const {
    return m_unsent.size() - m_unsent_start +
           (m_pipe != nullptr ? m_pipe->size() : 0);
  }

  /// Bytes that the kernel has taken since the start.
  std::uint64_t bytes_sent() const { return m_bytes_sent; }

  void SetReading(bool reading);
  bool reading() const { return m_reading; }

  /// Whether bytes or the peer's close are waiting to be read.
  bool HasPendingInput() const;

  /// Closes this side's direction after what is buffered.
  void FinishWriting();

  /// Closes at once; buffered bytes are lost. No hook is called afterwards.
  void Close();

  /// Closes at once with a reset, so that the peer can't take what it got for
  /// a complete message.
  void Abort();

  bool open() const { return m_descriptor >= 0; }

 private:
  friend class SocketSet;

  Stream(SocketSet* set, int descriptor, bool connecting, Hooks hooks);
  void HandleEvents(std::uint32_t events);
  void HandleConnected();
  // Sends what is buffered and `more`, which is buffered if need be.
  void Send(std::string_view more);
  void SendBuffered();
  void DrainPipe();
  // What `SocketSet` calls after an event.
  void Flush();
  void UpdateInterest();
  std::uint32_t Interest() const;

  SocketSet* m_set;
  int m_descriptor;
  Hooks m_hooks;
  std::string m_unsent;
  std::size_t m_unsent_start = 0;
  // Holds moved bytes that the kernel hasn't taken yet; null without any.
  std::unique_ptr<Pipe> m_pipe;
  std::uint64_t m_bytes_sent = 0;
  std::uint32_t m_interest = 0;
  bool m_connecting;
  bool m_flush_pending = false;
  bool m_reading = false;
  bool m_peer_finished = false;
  bool m_finish_writing = false;
};

}  // namespace guavacross::net

#endif  // GUAVACROSS_NET_STREAM_H_
