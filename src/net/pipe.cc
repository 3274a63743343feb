#include "net/pipe.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>

namespace guavacross::net {

namespace {

constexpr int kCapacityBytes = 1 << 20;
constexpr unsigned kSpliceFlags = SPLICE_F_MOVE | SPLICE_F_NONBLOCK;

}  // namespace

std::unique_ptr<Pipe> Pipe::Make() {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
    return nullptr;
  }
  // The result is ignored: if the system does not allow this capacity, the
  // smaller default only reduces throughput.
  fcntl(ends[1], F_SETPIPE_SZ, kCapacityBytes);
  return std::unique_ptr<Pipe>(new Pipe(ends[0], ends[1]));
}

Pipe::Pipe(int read_end, int write_end)
    : m_read_end(read_end), m_write_end(write_end) {}

Pipe::~Pipe() {
  close(m_read_end);
  close(m_write_end);
}

long Pipe::FillFrom(int socket, std::size_t max) {
  const ssize_t moved =
      splice(socket, nullptr, m_write_end, nullptr, max, kSpliceFlags);
  m_size += moved > 0 ? static_cast<std::size_t>(moved) : 0;
  return moved;
}

void Pipe::DrainTo(int socket) {
  while (m_size > 0) {
    const ssize_t moved =
        splice(m_read_end, nullptr, socket, nullptr, m_size, kSpliceFlags);
    if (moved <= 0) {
      return;
    }
    m_size -= static_cast<std::size_t>(moved);
  }
}

}  // namespace guavacross::net
