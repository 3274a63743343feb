#include "net/stream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <utility>

namespace guavacross::net {

namespace {

// A dead peer is detected after about half a minute without traffic.
constexpr int kKeepAliveIdleSeconds = 15;
constexpr int kKeepAliveIntervalSeconds = 5;
constexpr int kKeepAliveProbes = 3;

// Limit for one call of `SpliceFrom`; the rest waits for the next event, so
// that one connection does not delay the others.
constexpr std::size_t kMaxBytesPerSplice = std::size_t{1} << 20;

// A send buffer with a larger capacity is freed once it is empty.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{16} << 10;

// Writes are coalesced in the buffer while it holds less than this; a write
// that reaches this size is sent immediately instead of being copied.
constexpr std::size_t kMaxCoalescedBytes = std::size_t{8} << 10;

void SetOption(int descriptor, int level, int option, int value) {
  setsockopt(descriptor, level, option, &value, sizeof(value));
}

void SetTcpOptions(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

// An IPv4 or IPv6 address.
struct SocketAddress {
  sockaddr_storage m_storage{};
  socklen_t m_size = 0;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&m_storage);
  }
};

std::optional<SocketAddress> ToSocketAddress(const std::string& ip,
                                             std::uint16_t port) {
  SocketAddress address;
  auto* const v4 = reinterpret_cast<sockaddr_in*>(&address.m_storage);
  if (inet_pton(AF_INET, ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(port);
    address.m_size = sizeof(*v4);
    return address;
  }
  auto* const v6 = reinterpret_cast<sockaddr_in6*>(&address.m_storage);
  if (inet_pton(AF_INET6, ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    address.m_size = sizeof(*v6);
    return address;
  }
  return std::nullopt;
}

// Binds a socket to an IP address; the port is chosen when it connects.
bool BindTo(const std::string& ip, int descriptor) {
  const auto source = ToSocketAddress(ip, 0);
  SetOption(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
  return source.has_value() &&
         bind(descriptor, source->get(), source->m_size) == 0;
}

bool WouldBlock(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

// Sends two parts in order; returns the number of bytes the kernel accepted, or
// -1 with `errno` set.
ssize_t SendParts(int descriptor,
                  std::string_view first,
                  std::string_view second) {
  std::array<iovec, 2> parts{};
  parts[0] = {const_cast<char*>(first.data()), first.size()};
  parts[1] = {const_cast<char*>(second.data()), second.size()};
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  return sendmsg(descriptor, &message, MSG_NOSIGNAL);
}

// Whether a failed send means that the peer's direction failed too. A reset
// that follows the peer's regular end is reported as EPIPE.
bool EndsPeerDirection(int error) {
  return !WouldBlock(error) && error != EPIPE;
}

}  // namespace

std::unique_ptr<Stream> Stream::FromDescriptor(SocketSet* set,
                                               int descriptor,
                                               Hooks hooks) {
  SetTcpOptions(descriptor);
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  return std::unique_ptr<Stream>(
      new Stream(set, descriptor, /*connecting=*/false, std::move(hooks)));
}

std::unique_ptr<Stream> Stream::Connect(SocketSet* set,
                                        const Endpoint& address,
                                        const std::string& source,
                                        Hooks hooks) {
  const auto target = ToSocketAddress(address.m_ip, address.m_port);
  if (!target.has_value()) {
    return nullptr;
  }
  const int descriptor = socket(target->m_storage.ss_family,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return nullptr;
  }
  SetTcpOptions(descriptor);
  if (!source.empty() && !BindTo(source, descriptor)) {
    close(descriptor);
    return nullptr;
  }
  const int result = connect(descriptor, target->get(), target->m_size);
  if (result != 0 && errno != EINPROGRESS) {
    close(descriptor);
    return nullptr;
  }
  return std::unique_ptr<Stream>(
      new Stream(set, descriptor, /*connecting=*/true, std::move(hooks)));
}

void Stream::SetUnacknowledgedLimit(Duration limit) {
  SetOption(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Milliseconds(limit)));
}

Stream::Stream(SocketSet* set, int descriptor, bool connecting, Hooks hooks)
    : m_set(set),
      m_descriptor(descriptor),
      m_hooks(std::move(hooks)),
      m_connecting(connecting) {
  m_interest = Interest();
  m_set->Add(m_descriptor, m_interest, this);
}

Stream::~Stream() {
  Close();
}

Stream::ReadResult Stream::Read(std::span<char> buffer) {
  const ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    return {ReadStatus::kBytes,
            std::string_view(buffer.data(), static_cast<std::size_t>(count))};
  }
  if (count == 0 && !m_send_error) {
    m_peer_finished = true;
    return {ReadStatus::kEnd, {}};
  }
  if (count == 0) {
    return {ReadStatus::kFailed, {}};
  }
  return {WouldBlock(errno) ? ReadStatus::kWouldBlock : ReadStatus::kFailed,
          {}};
}

void Stream::Write(std::string_view bytes) {
  if (!open() || bytes.empty()) {
    return;
  }
  const bool blocked = unsent() > 0 && !m_flush_pending;
  if (m_connecting || blocked) {
    m_unsent.append(bytes);
  } else if (m_set->m_dispatching &&
             unsent() + bytes.size() < kMaxCoalescedBytes) {
    m_unsent.append(bytes);
    if (!std::exchange(m_flush_pending, true)) {
      m_set->FlushLater(this);
    }
  } else {
    Send(bytes);
  }
}

void Stream::Send(std::string_view more) {
  const std::string_view buffered =
      std::string_view(m_unsent).substr(m_unsent_start);
  const ssize_t result = SendParts(m_descriptor, buffered, more);
  // `Read` reports the error after the bytes that the peer sent before it.
  m_send_error = m_send_error || (result < 0 && EndsPeerDirection(errno));
  const std::size_t sent = result < 0 ? 0 : static_cast<std::size_t>(result);
  m_bytes_sent += sent;
  if (sent < buffered.size()) {
    m_unsent_start += sent;
    m_unsent.append(more);
  } else {
    more.remove_prefix(sent - buffered.size());
    if (m_unsent.capacity() > kMaxIdleBufferBytes && more.empty()) {
      m_unsent = std::string();
    }
    m_unsent.assign(more);
    m_unsent_start = 0;
  }
  UpdateInterest();
}

void Stream::Flush() {
  // A writer that saw this many unsent bytes may be waiting for `m_on_drained`.
  const bool writer_may_wait = unsent() >= kMaxCoalescedBytes;
  SendBuffered();
  if (writer_may_wait && unsent() == 0 && m_hooks.m_on_drained) {
    m_hooks.m_on_drained();
  }
}

bool Stream::CanSplice() {
  if (m_flush_pending) {
    SendBuffered();
  }
  return open() && !m_connecting && unsent() == 0;
}

Stream::SpliceResult Stream::SpliceFrom(Stream* source, std::size_t max) {
  m_pipe = m_set->AcquirePipe();
  if (m_pipe == nullptr) {
    return {.m_status = ReadStatus::kFailed};
  }
  SpliceResult result;
  const std::size_t limit = std::min(max, kMaxBytesPerSplice);
  while (result.m_bytes < limit && m_pipe->size() == 0) {
    const long moved =
        m_pipe->FillFrom(source->m_descriptor, limit - result.m_bytes);
    if (moved <= 0) {
      result.m_status = moved == 0          ? ReadStatus::kEnd
                        : WouldBlock(errno) ? ReadStatus::kWouldBlock
                                            : ReadStatus::kFailed;
      break;
    }
    result.m_bytes += static_cast<std::size_t>(moved);
    m_bytes_sent += static_cast<std::size_t>(moved);
    m_pipe->DrainTo(m_descriptor);
  }
  if (result.m_bytes > 0) {
    // The next call reports the condition that ended the loop.
    result.m_status = ReadStatus::kBytes;
  }
  DrainPipe();
  return result;
}

// Sends the content of the pipe, and returns the pipe to the pool once it is
// empty.
void Stream::DrainPipe() {
  if (m_pipe != nullptr) {
    m_pipe->DrainTo(m_descriptor);
    if (m_pipe->size() == 0) {
      m_set->ReleasePipe(std::move(m_pipe));
    }
    UpdateInterest();
  }
}

void Stream::SendBuffered() {
  m_flush_pending = false;
  if (m_pipe != nullptr) {
    DrainPipe();
  } else if (unsent() > 0) {
    Send({});
  }
  if (m_finish_writing && unsent() == 0) {
    shutdown(m_descriptor, SHUT_WR);
  }
}

void Stream::SetReading(bool reading) {
  if (m_reading != reading && open()) {
    m_reading = reading;
    UpdateInterest();
  }
}

bool Stream::HasPendingInput() const {
  char byte = 0;
  const ssize_t count =
      recv(m_descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || !WouldBlock(errno);
}

void Stream::FinishWriting() {
  if (!open()) {
    return;
  }
  m_finish_writing = true;
  if (!m_connecting && (unsent() == 0 || m_flush_pending)) {
    SendBuffered();
  }
}

void Stream::Close() {
  if (open()) {
    m_set->Remove(m_descriptor, this);
    close(std::exchange(m_descriptor, -1));
    m_unsent.clear();
    m_unsent_start = 0;
    m_pipe.reset();
    m_flush_pending = false;
  }
}

void Stream::Abort() {
  if (open()) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    Close();
  }
}

std::uint32_t Stream::Interest() const {
  if (m_connecting) {
    return EPOLLOUT;
  }
  std::uint32_t events = 0;
  if (m_reading) {
    events |= EPOLLIN;
  } else if (!m_peer_finished) {
    events |= EPOLLRDHUP;
  }
  if (unsent() > 0 && !m_flush_pending) {
    events |= EPOLLOUT;
  }
  return events;
}

void Stream::UpdateInterest() {
  const std::uint32_t interest = Interest();
  if (interest != m_interest && open()) {
    m_interest = interest;
    m_set->Change(m_descriptor, m_interest, this);
  }
}

void Stream::HandleConnected() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    m_hooks.m_on_closed();
    return;
  }
  m_connecting = false;
  SendBuffered();
  UpdateInterest();
  if (m_hooks.m_on_connected) {
    m_hooks.m_on_connected();
  }
  // Writes before the connection was established were buffered.
  if (open() && unsent() == 0 && m_hooks.m_on_drained) {
    m_hooks.m_on_drained();
  }
}

void Stream::HandleEvents(std::uint32_t events) {
  if (m_connecting) {
    HandleConnected();
    return;
  }
  if ((events & EPOLLOUT) != 0 && unsent() > 0) {
    SendBuffered();
    if (unsent() == 0 && m_hooks.m_on_drained) {
      m_hooks.m_on_drained();
    }
  }
  if (!open()) {
    return;
  }
  const bool failed = (events & (EPOLLERR | EPOLLHUP)) != 0;
  if (m_reading) {
    // `Read` reports the failure, after the bytes that the peer sent before it.
    if (failed || (events & EPOLLIN) != 0) {
      m_hooks.m_on_readable();
    }
    return;
  }
  if (failed) {
    m_set->Remove(m_descriptor, this);
    m_hooks.m_on_closed();
    return;
  }
  if ((events & EPOLLRDHUP) != 0 && !m_peer_finished) {
    m_peer_finished = true;
    UpdateInterest();
    if (m_hooks.m_on_peer_finished) {
      m_hooks.m_on_peer_finished();
    }
  }
}

}  // namespace guavacross::net
