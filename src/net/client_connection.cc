#include "net/client_connection.h"

#include <QTimer>
#include <chrono>
#include <utility>

#include "util/handle.h"

namespace guavacross::net {

namespace {

constexpr int kFirstFinalStatus = 200;

}  // namespace

ClientConnection::ClientConnection(SocketSet* set, Endpoint to)
    : m_set(set), m_to(std::move(to)) {}

void ClientConnection::Send(std::string_view request,
                            bool to_head,
                            const http::ReadLimits& limits,
                            Hooks hooks) {
  m_hooks = std::move(hooks);
  m_limits = limits;
  m_to_head = to_head;
  m_response_begun = false;
  m_keep_alive = false;
  StartReader();
  if (m_stream == nullptr) {
    Connect();
  }
  if (m_stream == nullptr) {
    QTimer::singleShot(std::chrono::milliseconds(0), &m_context, [this] {
      Fail(ErrorKind::kConnectFailed, "can't connect to " + ToString(m_to));
    });
    return;
  }
  m_stream->Write(request);
}

void ClientConnection::Connect() {
  Stream::Hooks hooks;
  hooks.m_on_connected = [this] { m_connected = true; };
  hooks.m_on_readable = [this] { OnReadable(); };
  hooks.m_on_closed = [this] {
    Fail(m_connected ? ErrorKind::kBackendReset : ErrorKind::kConnectFailed,
         m_connected ? "connection reset" : "connection refused");
  };
  m_stream = Stream::Connect(m_set, m_to, {}, std::move(hooks));
  if (m_stream != nullptr) {
    m_stream->SetReading(true);
  }
}

void ClientConnection::StartReader() {
  http::MessageReader::Hooks hooks;
  hooks.m_on_response = [this](const http::ResponseHead& head) {
    m_is_interim = head.m_status < kFirstFinalStatus;
    m_keep_alive = head.m_keep_alive;
    if (!m_is_interim && m_hooks.m_on_head) {
      m_hooks.m_on_head(head);
    }
  };
  hooks.m_on_body = [this](std::string_view bytes) {
    if (m_hooks.m_on_body) {
      m_hooks.m_on_body(bytes);
    }
  };
  m_is_interim = false;
  m_reader =
      http::MessageReader::ForResponse(m_limits, m_to_head, std::move(hooks));
}

void ClientConnection::Close() {
  m_reader.reset();
  m_hooks = {};
  if (m_stream != nullptr) {
    m_stream->Close();
  }
}

bool ClientConnection::IsReusable() const {
  return m_connected && !m_reader.has_value() && m_keep_alive &&
         m_stream->open() && !m_stream->HasPendingInput();
}

void ClientConnection::OnReadable() {
  const Stream::ReadResult read = m_stream->Read(m_set->scratch());
  if (read.m_status == Stream::ReadStatus::kWouldBlock) {
    return;
  }
  if (!m_reader.has_value()) {
    // Bytes or an end outside of any response.
    m_stream->Close();
  } else if (read.m_status == Stream::ReadStatus::kBytes) {
    OnBytes(read.m_bytes);
  } else if (read.m_status == Stream::ReadStatus::kEnd) {
    OnEndOfStream();
  } else {
    Fail(ErrorKind::kBackendReset, "connection reset");
  }
}

void ClientConnection::OnBytes(std::string_view bytes) {
  m_response_begun = true;
  while (!bytes.empty()) {
    const auto taken = util::Catch([&] { return m_reader->Feed(bytes); });
    if (!taken) {
      Fail(taken.m_error.m_kind, taken.m_error.m_text);
      return;
    }
    bytes.remove_prefix(*taken.m_value);
    if (!m_reader->done()) {
      return;
    }
    if (!m_is_interim) {
      m_keep_alive = m_keep_alive && bytes.empty();
      End(std::nullopt);
      return;
    }
    StartReader();
  }
}

void ClientConnection::OnEndOfStream() {
  m_keep_alive = false;
  const bool ended = util::Handle(
      [this]() -> Result<bool> {
        BOOST_LEAF_CHECK(m_reader->FeedEndOfStream());
        return true;
      },
      [](const Error&) { return false; });
  if (ended && !m_is_interim) {
    End(std::nullopt);
  } else {
    Fail(ErrorKind::kBackendReset,
         "connection closed before the response ended");
  }
}

void ClientConnection::Fail(ErrorKind kind, std::string text) {
  m_keep_alive = false;
  if (m_stream != nullptr) {
    m_stream->Close();
  }
  if (m_reader.has_value()) {
    End(Error{.m_kind = kind, .m_text = std::move(text)});
  }
}

void ClientConnection::End(const std::optional<Error>& error) {
  m_reader.reset();
  const Hooks hooks = std::exchange(m_hooks, {});
  hooks.m_on_end(error);
}

}  // namespace guavacross::net
