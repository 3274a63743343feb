#ifndef GUAVACROSS_NET_TEST_PEER_H_
#define GUAVACROSS_NET_TEST_PEER_H_

#include <cppunit/TestAssert.h>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpServer>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/stream.h"

/// Clients and servers for tests that exchange raw bytes over loopback. All run
/// on the test's thread and event loop.
namespace guavacross::net {

inline constexpr int kWaitTimeoutMs = 10'000;
inline constexpr int kPollTimeoutMs = 5;
inline constexpr int kEventLoopRounds = 50;

/// Runs the event loop until `condition` holds; fails the test if that takes
/// longer than `kWaitTimeoutMs`.
inline void WaitUntil(const std::function<bool()>& condition) {
  const QDeadlineTimer limit(kWaitTimeoutMs);
  while (!condition()) {
    CPPUNIT_ASSERT_MESSAGE("condition not met within the time limit",
                           !limit.hasExpired());
    QCoreApplication::processEvents(QEventLoop::AllEvents, kPollTimeoutMs);
  }
}

/// Processes pending events. For checks that something does not happen; several
/// rounds give bytes time to pass through the kernel's loopback.
inline void RunEvents() {
  for (int i = 0; i < kEventLoopRounds; ++i) {
    QCoreApplication::processEvents(QEventLoop::AllEvents);
  }
}

/// One end of a connection. Stores the bytes it receives.
class TestPeer {
 public:
  TestPeer(SocketSet* set, int descriptor) {
    m_stream = Stream::FromDescriptor(set, descriptor, MakeHooks(set));
    m_stream->SetReading(true);
  }
  TestPeer(SocketSet* set, const Endpoint& address) {
    m_stream = Stream::Connect(set, address, {}, MakeHooks(set));
    m_stream->SetReading(true);
  }

  void Send(std::string_view bytes) { m_stream->Write(bytes); }
  void FinishWriting() { m_stream->FinishWriting(); }
  void Close() { m_stream->Close(); }
  void Abort() { m_stream->Abort(); }
  void SetReading(bool reading) { m_stream->SetReading(reading); }
  /// Stops reading once this many bytes have been received, until the next
  /// `SetReading`.
  void PauseAfter(std::size_t bytes) { m_pause_after = bytes; }
  std::size_t unsent() const { return m_stream->unsent(); }

  const std::string& received() const { return m_received; }
  void ClearReceived() { m_received.clear(); }
  bool Received(std::string_view text) const {
    return m_received.find(text) != std::string::npos;
  }
  /// The other end has closed its sending direction.
  bool ended() const { return m_ended; }
  /// The other end has reset the connection.
  bool reset() const { return m_reset; }
  /// Either end has closed or reset the connection.
  bool gone() const { return m_ended || m_reset || !m_stream->open(); }

 private:
  Stream::Hooks MakeHooks(SocketSet* set) {
    Stream::Hooks hooks;
    hooks.m_on_readable = [this, set] { Read(set); };
    hooks.m_on_closed = [this] { m_reset = true; };
    return hooks;
  }

  void Read(SocketSet* set) {
    const Stream::ReadResult read = m_stream->Read(set->scratch());
    m_received.append(read.m_bytes);
    if (m_received.size() >= m_pause_after) {
      m_pause_after = std::numeric_limits<std::size_t>::max();
      m_stream->SetReading(false);
    }
    if (read.m_status == Stream::ReadStatus::kEnd) {
      m_ended = true;
      m_stream->SetReading(false);
    } else if (read.m_status == Stream::ReadStatus::kFailed) {
      m_reset = true;
      m_stream->Close();
    }
  }

  std::unique_ptr<Stream> m_stream;
  std::string m_received;
  std::size_t m_pause_after = std::numeric_limits<std::size_t>::max();
  bool m_ended = false;
  bool m_reset = false;
};

/// A server on a free loopback port. Keeps accepted connections in order,
/// unless `m_on_descriptor` is set, which then receives their descriptors.
class TestServer : public QTcpServer {
 public:
  explicit TestServer(SocketSet* set) : m_set(set) {
    listen(QHostAddress(QHostAddress::LocalHost));
  }

  Endpoint endpoint() const {
    return {.m_ip = "127.0.0.1", .m_port = serverPort()};
  }
  std::vector<std::unique_ptr<TestPeer>>& peers() { return m_peers; }
  /// Waits for the connection with the given index.
  TestPeer& Peer(std::size_t index) {
    WaitUntil([this, index] { return m_peers.size() > index; });
    return *m_peers[index];
  }

  std::function<void(int)> m_on_descriptor;
  /// For `TestPeer::PauseAfter` of new connections; nothing for no pause.
  std::optional<std::size_t> m_pause_peers_after;

 protected:
  void incomingConnection(qintptr descriptor) override {
    if (m_on_descriptor) {
      m_on_descriptor(static_cast<int>(descriptor));
      return;
    }
    m_peers.push_back(
        std::make_unique<TestPeer>(m_set, static_cast<int>(descriptor)));
    if (m_pause_peers_after.has_value()) {
      m_peers.back()->PauseAfter(*m_pause_peers_after);
    }
  }

 private:
  SocketSet* m_set;
  std::vector<std::unique_ptr<TestPeer>> m_peers;
};

}  // namespace guavacross::net

#endif  // GUAVACROSS_NET_TEST_PEER_H_
