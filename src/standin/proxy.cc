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
constexpr qint64 kUnsentLimit = 256 << 10;
constexpr qint64 kPieceBytes = 64 << 10;
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
  void End() {
    m_ended = true;
    Pump();
  }
  /// Discards all pending and future bytes.
  void Silence() {
    m_cut = true;
    m_pieces.clear();
  }

 private:
  struct Piece {
    TimePoint m_due;
    QByteArray m_bytes;
  };

  const DirectionFaults& faults() const {
    return m_to_caller ? m_proxy->m_to_caller : m_proxy->m_to_target;
  }
  void Read();
  void WriteDue();
  bool Write(QByteArray bytes);
  bool CutAt(int limit, QByteArray* bytes) const;

  Link* m_link;
  Proxy* m_proxy;
  QTcpSocket* m_from;
  QTcpSocket* m_to;
  bool m_to_caller;
  bool m_ended = false;
  bool m_cut = false;
  std::deque<Piece> m_pieces;
  TimePoint m_free_at;
  std::int64_t m_passed = 0;
  AnswerSwapper m_swapper;
  QTimer m_timer;
};

/// A caller's connection and the matching connection to the target.
class Proxy::Link : public QObject {
 public:
  Link(Proxy* proxy, QTcpSocket* caller)
      : QObject(proxy), m_proxy(proxy), m_caller(caller), m_target(this) {
    caller->setParent(this);
    for (QTcpSocket* socket : {m_caller, &m_target}) {
      socket->setReadBufferSize(kUnsentLimit);
    }
    m_there = std::make_unique<Pipe>(this, proxy, m_caller, &m_target, false);
    m_back = std::make_unique<Pipe>(this, proxy, &m_target, m_caller, true);
    m_target.connectToHost(
        QHostAddress(QString::fromStdString(proxy->m_target.m_ip)),
        proxy->m_target.m_port);
    connect(&m_target, &QTcpSocket::connected, this, [this] {
      m_target.setSocketOption(QAbstractSocket::LowDelayOption, 1);
      m_there->Pump();
    });
    m_caller->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(&m_target, &QTcpSocket::errorOccurred, this,
            [this](QAbstractSocket::SocketError error) {
              if (error != QAbstractSocket::RemoteHostClosedError) {
                SideFailed();
              }
            });
    connect(m_caller, &QTcpSocket::errorOccurred, this,
            [this](QAbstractSocket::SocketError error) {
              if (error != QAbstractSocket::RemoteHostClosedError) {
                SideFailed();
              }
            });
    connect(m_caller, &QTcpSocket::disconnected, this,
            [this] { SideClosed(m_there.get()); });
    connect(&m_target, &QTcpSocket::disconnected, this,
            [this] { SideClosed(m_back.get()); });
  }

  ~Link() override {
    // The sockets are destroyed after the pipes and emit signals when they
    // close, so they are disconnected from all slots first.
    m_caller->disconnect();
    m_target.disconnect();
    m_proxy->m_links.erase(this);
  }

  void Reset() {
    if (std::exchange(m_over, true)) {
      return;
    }
    ++m_proxy->m_resets;
    ResetSocket(m_caller);
    ResetSocket(&m_target);
    deleteLater();
  }

  void PumpBoth() {
    m_there->Pump();
    m_back->Pump();
  }

  void Silence() {
    m_there->Silence();
    m_back->Silence();
  }

  // Closes both connections after all written bytes have been sent.
  void Close() {
    m_caller->disconnectFromHost();
    m_target.disconnectFromHost();
  }

 private:
  void SideFailed() {
    if (!m_proxy->m_faults.m_half_open) {
      Reset();
    }
  }

  void SideClosed(Pipe* pipe) {
    const bool both = m_caller->state() == QAbstractSocket::UnconnectedState &&
                      m_target.state() == QAbstractSocket::UnconnectedState;
    if (both) {
      m_over = true;
      deleteLater();
    } else if (!m_proxy->m_faults.m_half_open) {
      pipe->End();
    }
  }

  Proxy* m_proxy;
  QTcpSocket* m_caller;
  QTcpSocket m_target;
  std::unique_ptr<Pipe> m_there;
  std::unique_ptr<Pipe> m_back;
  bool m_over = false;
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
      m_free_at(proxy->m_clock.m_now()) {
  m_timer.setSingleShot(true);
  m_timer.setTimerType(Qt::PreciseTimer);
  connect(from, &QTcpSocket::readyRead, this, [this] { Pump(); });
  connect(to, &QTcpSocket::bytesWritten, this, [this] { Pump(); });
  connect(&m_timer, &QTimer::timeout, this, [this] { Pump(); });
}

void Proxy::Pipe::Pump() {
  if (m_cut) {
    m_from->readAll();
    return;
  }
  Read();
  WriteDue();
  const bool through = m_ended && m_pieces.empty() &&
                       (m_from->bytesAvailable() == 0 ||
                        m_to->state() != QAbstractSocket::ConnectedState);
  if (through && !faults().m_black_hole) {
    m_to->disconnectFromHost();
  }
}

void Proxy::Pipe::Read() {
  if (m_to->state() != QAbstractSocket::ConnectedState) {
    return;
  }
  qint64 held = m_to->bytesToWrite();
  for (const Piece& piece : m_pieces) {
    held += piece.m_bytes.size();
  }
  while (held < kUnsentLimit && m_from->bytesAvailable() > 0) {
    QByteArray bytes = m_from->read(kPieceBytes);
    held += bytes.size();
    if (faults().m_black_hole) {
      continue;
    }
    if (m_to_caller && m_proxy->m_faults.m_swap_answers) {
      bytes = QByteArray::fromStdString(m_swapper.Take(
          {bytes.data(), static_cast<std::size_t>(bytes.size())}));
    }
    const TimePoint now = m_proxy->m_clock.m_now();
    TimePoint due = now + std::chrono::milliseconds(faults().m_delay_ms);
    if (faults().m_bytes_per_second > 0) {
      m_free_at = std::max(m_free_at, now) +
                  FromSeconds(static_cast<double>(bytes.size()) /
                              faults().m_bytes_per_second);
      due = std::max(due, m_free_at);
    }
    m_pieces.push_back({.m_due = due, .m_bytes = std::move(bytes)});
  }
}

void Proxy::Pipe::WriteDue() {
  const TimePoint now = m_proxy->m_clock.m_now();
  while (!m_pieces.empty() && m_pieces.front().m_due <= now) {
    QByteArray bytes = std::move(m_pieces.front().m_bytes);
    m_pieces.pop_front();
    if (!Write(std::move(bytes))) {
      return;
    }
  }
  if (!m_pieces.empty()) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
        m_pieces.front().m_due - now);
    m_timer.start(wait);
  }
}

// Returns whether `bytes` reach `limit`, the number of bytes to forward on this
// connection, and if so truncates them to it.
bool Proxy::Pipe::CutAt(int limit, QByteArray* bytes) const {
  if (limit < 0 || m_passed + bytes->size() < limit) {
    return false;
  }
  bytes->truncate(std::max<std::int64_t>(0, limit - m_passed));
  return true;
}

// Forwards bytes. Returns false if a fault has closed the link.
bool Proxy::Pipe::Write(QByteArray bytes) {
  const bool reset = CutAt(faults().m_reset_after, &bytes);
  const bool truncate = CutAt(faults().m_truncate_after, &bytes);
  m_passed += bytes.size();
  (m_to_caller ? m_proxy->m_bytes_to_caller : m_proxy->m_bytes_to_target) +=
      static_cast<std::uint64_t>(bytes.size());
  m_to->write(bytes);
  if (faults().m_duplicate) {
    m_to->write(bytes);
  }
  if (!reset && !truncate) {
    return true;
  }
  m_cut = true;
  m_pieces.clear();
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
  if (!ListenAgain()) {
    return false;
  }
  m_endpoint.m_port = m_server.serverPort();
  return true;
}

bool Proxy::ListenAgain() {
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
      QString refusal = FaultsFromJson(rest.take(key).toObject(),
                                       DirectionFields(), direction);
      if (!refusal.isEmpty()) {
        return refusal;
      }
    }
    QString refusal = FaultsFromJson(rest, FaultFields(), &m_faults);
    if (m_faults.m_refuse) {
      m_server.close();
    } else {
      ListenAgain();
    }
    const bool reset_now = std::exchange(m_faults.m_reset_now, false);
    const bool silence_now = std::exchange(m_faults.m_silence_now, false);
    for (Link* link : std::set<Link*>(m_links)) {
      if (silence_now) {
        link->Silence();
      }
      reset_now ? link->Reset() : link->PumpBoth();
    }
    return refusal;
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
