#ifndef GUAVACROSS_STANDIN_PROXY_H_
#define GUAVACROSS_STANDIN_PROXY_H_

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "guavacross/identity.h"
#include "guavacross/time.h"
#include "standin/component.h"

namespace guavacross::standin {

/// What a proxy does to the bytes of one direction. Counts of bytes are per
/// connection; -1 switches them off.
struct DirectionFaults {
  int m_delay_ms = 0;
  /// 0 means no limit.
  int m_bytes_per_second = 0;
  /// Takes bytes and passes none on.
  bool m_black_hole = false;
  /// Passes each piece on twice.
  bool m_duplicate = false;
  /// Resets both sides after so many bytes.
  int m_reset_after = -1;
  /// Closes both sides in an orderly way after so many bytes.
  int m_truncate_after = -1;

  bool operator==(const DirectionFaults&) const = default;
};

/// What a proxy does to connections.
struct ProxyFaults {
  /// Refuses connections; open ones go on.
  bool m_refuse = false;
  /// Resets each new connection.
  bool m_reset_on_connect = false;
  /// When one side goes, the other isn't told.
  bool m_half_open = false;
  /// Resets the open connections, once.
  bool m_reset_now = false;
  /// Silences the open connections for good, once: they stay open, take bytes
  /// and pass none on. New ones work.
  bool m_silence_now = false;
  /// Holds each HTTP answer back until the next one on the same connection has
  /// come, and passes that one on first.
  bool m_swap_answers = false;

  bool operator==(const ProxyFaults&) const = default;
};

/// A TCP proxy between two addresses that injects faults.
///
/// Faults in JSON: the keys of `ProxyFaults`, and `to_target` and `to_caller`
/// with those of `DirectionFaults`. They apply to open connections too.
class Proxy : public QObject, public Component {
 public:
  Proxy(std::string name, Endpoint target, Clock clock);
  ~Proxy() override;

  /// Listens; port 0 takes a free one.
  bool Listen(const Endpoint& endpoint);
  Endpoint endpoint() const { return m_endpoint; }

  std::string name() const override { return m_name; }
  QJsonObject Faults() override;
  QString SetFaults(const QJsonObject& json) override;
  QJsonObject Counters() override;

 private:
  class Link;
  class Pipe;
  void Accept();
  bool ListenAgain();

  std::string m_name;
  Endpoint m_endpoint;
  Endpoint m_target;
  Clock m_clock;
  ProxyFaults m_faults;
  DirectionFaults m_to_target;
  DirectionFaults m_to_caller;
  QTcpServer m_server;
  std::set<Link*> m_links;
  std::uint64_t m_accepted = 0;
  std::uint64_t m_resets = 0;
  std::uint64_t m_bytes_to_target = 0;
  std::uint64_t m_bytes_to_caller = 0;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_PROXY_H_
