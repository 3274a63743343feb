#include "standin/proxy.h"

#include <QHostAddress>
#include <QTimer>
#include <algorithm>
#include <deque>
#include <utility>

#include "standin/answer_swapper.h"
#include "standin/fault_table.h"
#include "standin/http_service.h"

namespace guavacross::standin {

namespace {

// Limit of bytes buffered for a slow receiver; reading pauses above it.
constexpr qint64 kMaxBufferedBytes = 256 << 10;
constexpr qint64 kChunkBytes = 64 << 10;
constexpr int kListenBacklog = 1024;

const std::vector<FaultField<DirectionFaults>>& DirectionFields() {
  using F = DirectionFaults;
  static const std::vector<FaultField<F>> kFields = {
      {"delay_ms", &F::m_delay_ms},
      {"bytes_per_second", &F::m_bytes_per_second},
      {"black_hole", &F::m_black_hole},
      {"duplicate", &F::m_duplicate},
      {"reset_after", &F::m_reset_after},
      {"truncate_after", &F::m_truncate_after},
  };
  return kFields;
}

const std::vector<FaultField<ProxyFaults>>& FaultFields() {
  using F = ProxyFaults;
  static const std::vector<FaultField<F>> kFields = {
      {"refuse", &F::m_refuse},
      {"reset_on_connect", &F::m_reset_on_connect},
      {"half_open", &F::m_half_open},
      {"reset_now", &F::m_reset_now},
      {"silence_now", &F::m_silence_now},
      {"swap_answers", &F::m_swap_answers},
  };
  return kFields;
}

}  // namespace

/// One direction of a link: reads chunks from one socket and writes each to the
/// other when its delay has passed.
class Proxy::Pipe : public QObject {
 public:
  Pipe(Link* link,
       Proxy* proxy,
       QTcpSocket* from,
       QTcpSocket* to,
       bool to_caller);

  void Pump();
  /// Closes the destination once all bytes read from `from` are forwarded.
  void OnSourceClosed() {
    m_source_closed = true;
    Pump();
  }
  /// Discards all pending and future bytes.
  void Silence() {
    m_discarding = true;
    m_chunks.clear();
  }

 private:
  struct Chunk {
    TimePoint m_due;
    QByteArray m_bytes;
  };

  const DirectionFaults& faults() const {
    return m_to_caller ? m_proxy->m_to_caller : m_proxy->m_to_target;
  }
  void Read();
  void WriteDueChunks();
  bool Write(QByteArray bytes);
  bool TruncateAtLimit(int limit, QByteArray* bytes) const;

  Link* m_link;
  Proxy* m_proxy;
  QTcpSocket* m_from;
  QTcpSocket* m_to;
  bool m_to_caller;
  bool m_source_closed = false;
  bool m_discarding = false;
  std::deque<Chunk> m_chunks;
  TimePoint m_rate_limited_until;
  std::int64_t m_forwarded_bytes = 0;
  AnswerSwapper m_answer_swapper;
  QTimer m_timer;
};

/// A caller's connection and the matching connection to the target.
class Proxy::Link : public QObject {
 public:
  Link(Proxy* proxy, QTcpSocket* caller)
      : QObject(proxy), m_proxy(proxy), m_caller(caller), m_target(this) {
    caller->setParent(this);
    for (QTcpSocket* socket : {m_caller, &m_target}) {
      socket->setReadBufferSize(kMaxBufferedBytes);
    }
    m_pipe_to_target =
        std::make_unique<Pipe>(this, proxy, m_caller, &m_target, false);
    m_pipe_to_caller =
        std::make_unique<Pipe>(this, proxy, &m_target, m_caller, true);
    // The target sees the caller's address, by which it tells callers apart.
    m_target.bind(m_caller->peerAddress());
    m_target.connectToHost(
        QHostAddress(QString::fromStdString(proxy->m_target.m_ip)),
        proxy->m_target.m_port);
    connect(&m_target, &QTcpSocket::connected, this, [this] {
      m_target.setSocketOption(QAbstractSocket::LowDelayOption, 1);
      m_pipe_to_target->Pump();
    });
    m_caller->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(&m_target, &QTcpSocket::errorOccurred, this,
            [this](QAbstractSocket::SocketError error) {
              if (error != QAbstractSocket::RemoteHostClosedError) {
                OnSocketError();
              }
            });
    connect(m_caller, &QTcpSocket::errorOccurred, this,
            [this](QAbstractSocket::SocketError error) {
              if (error != QAbstractSocket::RemoteHostClosedError) {
                OnSocketError();
              }
            });
    connect(m_caller, &QTcpSocket::disconnected, this,
            [this] { OnSocketClosed(m_pipe_to_target.get()); });
    connect(&m_target, &QTcpSocket::disconnected, this,
            [this] { OnSocketClosed(m_pipe_to_caller.get()); });
  }

  ~Link() override {
    // The sockets are destroyed after the pipes and emit signals when they
    // close, so they are disconnected from all slots first.
    m_caller->disconnect();
    m_target.disconnect();
    m_proxy->m_links.erase(this);
  }

  void Reset() {
    if (std::exchange(m_closed, true)) {
      return;
    }
    ++m_proxy->m_resets;
    ResetSocket(m_caller);
    ResetSocket(&m_target);
    deleteLater();
  }

  void PumpBoth() {
    m_pipe_to_target->Pump();
    m_pipe_to_caller->Pump();
  }

  void Silence() {
    m_pipe_to_target->Silence();
    m_pipe_to_caller->Silence();
  }

  // Closes both connections after all written bytes have been sent.
  void Close() {
    m_caller->disconnectFromHost();
    m_target.disconnectFromHost();
  }

 private:
  void OnSocketError() {
    if (!m_proxy->m_faults.m_half_open) {
      Reset();
    }
  }

  void OnSocketClosed(Pipe* pipe) {
    const bool both_closed =
        m_caller->state() == QAbstractSocket::UnconnectedState &&
        m_target.state() == QAbstractSocket::UnconnectedState;
    if (both_closed) {
      m_closed = true;
      deleteLater();
    } else if (!m_proxy->m_faults.m_half_open) {
      pipe->OnSourceClosed();
    }
  }

  Proxy* m_proxy;
  QTcpSocket* m_caller;
  QTcpSocket m_target;
  std::unique_ptr<Pipe> m_pipe_to_target;
  std::unique_ptr<Pipe> m_pipe_to_caller;
  bool m_closed = false;
};

Proxy::Pipe::Pipe(Link* link,
                  Proxy* proxy,
                  QTcpSocket* from,
                  QTcpSocket* to,
                  bool to_caller)
    : m_link(link),
      m_proxy(proxy),
      m_from(from),
      m_to(to),
      m_to_caller(to_caller),
      m_rate_limited_until(proxy->m_clock.m_now()) {
  m_timer.setSingleShot(true);
  m_timer.setTimerType(Qt::PreciseTimer);
  connect(from, &QTcpSocket::readyRead, this, [this] { Pump(); });
  connect(to, &QTcpSocket::bytesWritten, this, [this] { Pump(); });
  connect(&m_timer, &QTimer::timeout, this, [this] { Pump(); });
}

void Proxy::Pipe::Pump() {
  if (m_discarding) {
    m_from->readAll();
    return;
  }
  Read();
  WriteDueChunks();
  const bool drained = m_source_closed && m_chunks.empty() &&
                       (m_from->bytesAvailable() == 0 ||
                        m_to->state() != QAbstractSocket::ConnectedState);
  if (drained && !faults().m_black_hole) {
    m_to->disconnectFromHost();
  }
}

void Proxy::Pipe::Read() {
  if (m_to->state() != QAbstractSocket::ConnectedState) {
    return;
  }
  qint64 buffered_bytes = m_to->bytesToWrite();
  for (const Chunk& chunk : m_chunks) {
    buffered_bytes += chunk.m_bytes.size();
  }
  while (buffered_bytes < kMaxBufferedBytes && m_from->bytesAvailable() > 0) {
    QByteArray bytes = m_from->read(kChunkBytes);
    buffered_bytes += bytes.size();
    if (faults().m_black_hole) {
      continue;
    }
    if (m_to_caller && m_proxy->m_faults.m_swap_answers) {
      bytes = QByteArray::fromStdString(m_answer_swapper.Process(
          {bytes.data(), static_cast<std::size_t>(bytes.size())}));
    }
    const TimePoint now = m_proxy->m_clock.m_now();
    TimePoint due = now + std::chrono::milliseconds(faults().m_delay_ms);
    if (faults().m_bytes_per_second > 0) {
      m_rate_limited_until = std::max(m_rate_limited_until, now) +
                             FromSeconds(static_cast<double>(bytes.size()) /
                                         faults().m_bytes_per_second);
      due = std::max(due, m_rate_limited_until);
    }
    m_chunks.push_back({.m_due = due, .m_bytes = std::move(bytes)});
  }
}

void Proxy::Pipe::WriteDueChunks() {
  const TimePoint now = m_proxy->m_clock.m_now();
  while (!m_chunks.empty() && m_chunks.front().m_due <= now) {
    QByteArray bytes = std::move(m_chunks.front().m_bytes);
    m_chunks.pop_front();
    if (!Write(std::move(bytes))) {
      return;
    }
  }
  if (!m_chunks.empty()) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
        m_chunks.front().m_due - now);
    m_timer.start(wait);
  }
}

// Returns whether `bytes` reach `limit`, the number of bytes to forward on this
// connection, and if so truncates them to it.
bool Proxy::Pipe::TruncateAtLimit(int limit, QByteArray* bytes) const {
  if (limit < 0 || m_forwarded_bytes + bytes->size() < limit) {
    return false;
  }
  bytes->truncate(std::max<std::int64_t>(0, limit - m_forwarded_bytes));
  return true;
}

// Forwards bytes. Returns false if a fault has closed the link.
bool Proxy::Pipe::Write(QByteArray bytes) {
  const bool reset = TruncateAtLimit(faults().m_reset_after, &bytes);
  const bool truncate = TruncateAtLimit(faults().m_truncate_after, &bytes);
  m_forwarded_bytes += bytes.size();
  (m_to_caller ? m_proxy->m_bytes_to_caller : m_proxy->m_bytes_to_target) +=
      static_cast<std::uint64_t>(bytes.size());
  m_to->write(bytes);
  if (faults().m_duplicate) {
    m_to->write(bytes);
  }
  if (!reset && !truncate) {
    return true;
  }
  m_discarding = true;
  m_chunks.clear();
  m_to->flush();
  if (reset) {
    m_link->Reset();
  } else {
    m_link->Close();
  }
  return false;
}

Proxy::Proxy(std::string name, Endpoint target, Clock clock)
    : m_name(std::move(name)),
      m_target(std::move(target)),
      m_clock(std::move(clock)),
      m_server(this) {
  m_server.setListenBacklogSize(kListenBacklog);
  connect(&m_server, &QTcpServer::newConnection, this, [this] { Accept(); });
}

Proxy::~Proxy() {
  // Each link removes itself from the set when it is deleted, so a copy is
  // iterated.
  qDeleteAll(std::set<Link*>(m_links));
}

bool Proxy::Listen(const Endpoint& endpoint) {
  m_endpoint = endpoint;
  if (!EnsureListening()) {
    return false;
  }
  m_endpoint.m_port = m_server.serverPort();
  return true;
}

bool Proxy::EnsureListening() {
  return m_server.isListening() ||
         m_server.listen(QHostAddress(QString::fromStdString(m_endpoint.m_ip)),
                         m_endpoint.m_port);
}

void Proxy::Accept() {
  while (QTcpSocket* socket = m_server.nextPendingConnection()) {
    ++m_accepted;
    if (m_faults.m_reset_on_connect) {
      ++m_resets;
      ResetSocket(socket);
      socket->deleteLater();
      continue;
    }
    m_links.insert(new Link(this, socket));
  }
}

QJsonObject Proxy::Faults() {
  return CallOn(this, [this] {
    QJsonObject json = FaultsToJson(m_faults, FaultFields());
    json["to_target"] = FaultsToJson(m_to_target, DirectionFields());
    json["to_caller"] = FaultsToJson(m_to_caller, DirectionFields());
    return json;
  });
}

QString Proxy::SetFaults(const QJsonObject& json) {
  return CallOn(this, [this, rest = QJsonObject(json)]() mutable {
    for (auto [key, direction] : {std::pair("to_target", &m_to_target),
                                  std::pair("to_caller", &m_to_caller)}) {
      QString error_text = FaultsFromJson(rest.take(key).toObject(),
                                          DirectionFields(), direction);
      if (!error_text.isEmpty()) {
        return error_text;
      }
    }
    QString error_text = FaultsFromJson(rest, FaultFields(), &m_faults);
    if (m_faults.m_refuse) {
      m_server.close();
    } else {
      EnsureListening();
    }
    const bool reset_now = std::exchange(m_faults.m_reset_now, false);
    const bool silence_now = std::exchange(m_faults.m_silence_now, false);
    for (Link* link : std::set<Link*>(m_links)) {
      if (silence_now) {
        link->Silence();
      }
      reset_now ? link->Reset() : link->PumpBoth();
    }
    return error_text;
  });
}

QJsonObject Proxy::Counters() {
  return CallOn(this, [this] {
    const auto number = [](std::uint64_t n) { return static_cast<qint64>(n); };
    return QJsonObject{{"accepted", number(m_accepted)},
                       {"open", static_cast<int>(m_links.size())},
                       {"resets", number(m_resets)},
                       {"bytes_to_target", number(m_bytes_to_target)},
                       {"bytes_to_caller", number(m_bytes_to_caller)}};
  });
}

}  // namespace guavacross::standin
