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

/// Faults in one direction of a proxy. Byte counts are per connection; -1
/// disables the fault.
struct DirectionFaults {
  int m_delay_ms = 0;
  /// 0 means no limit.
  int m_bytes_per_second = 0;
  /// Reads bytes but forwards none.
  bool m_black_hole = false;
  /// Forwards each chunk twice.
  bool m_duplicate = false;
  /// Resets both connections after this many bytes.
  int m_reset_after = -1;
  /// Closes both connections gracefully after this many bytes.
  int m_truncate_after = -1;

  bool operator==(const DirectionFaults&) const = default;
};

/// Connection-level faults of a proxy.
struct ProxyFaults {
  /// Refuses new connections; open ones are kept.
  bool m_refuse = false;
  /// Resets each new connection.
  bool m_reset_on_connect = false;
  /// When one side closes, the connection to the other side is kept open.
  bool m_half_open = false;
  /// Resets the open connections, once.
  bool m_reset_now = false;
  /// Permanently silences the currently open connections, once: they stay open
  /// and accept bytes, but forward none. New connections are not affected.
  bool m_silence_now = false;
  /// Swaps each pair of consecutive HTTP answers on a connection; see
  /// `AnswerSwapper`.
  bool m_swap_answers = false;

  bool operator==(const ProxyFaults&) const = default;
};

/// A fault-injecting TCP proxy to one target address.
///
/// The JSON object of faults has the keys of `ProxyFaults`, and the objects
/// `to_target` and `to_caller` with the keys of `DirectionFaults`. Faults apply
/// to open connections too.
class Proxy : public QObject, public Component {
 public:
  Proxy(std::string name, Endpoint target, Clock clock);
  ~Proxy() override;

  /// Starts listening; port 0 selects a free port.
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
  bool EnsureListening();

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
