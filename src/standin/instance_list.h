#ifndef GUAVACROSS_STANDIN_INSTANCE_LIST_H_
#define GUAVACROSS_STANDIN_INSTANCE_LIST_H_

#include <QJsonArray>
#include <QObject>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "guavacross/time.h"
#include "standin/component.h"
#include "standin/http_service.h"

namespace guavacross::standin {

/// Faults that can be injected into the instance list.
struct InstanceListFaults {
  /// Answers contain the list as it was this long ago.
  int m_lag_ms = 0;
  /// As for the log service: empty, `refuse`, `reset` or `unavailable`.
  std::string m_outage;
  int m_delay_ms = 0;

  bool operator==(const InstanceListFaults&) const = default;
};

/// In-memory stand-in for the platform's list of entry instances.
///
///     GET /instances   200 {"instances":[{"name","region","zone","callers",
///                           "peers","leaving"}]}
///
/// The list is changed through `SetFaults`: the key `instances` replaces it,
/// `add` adds or replaces one instance, `remove` removes the named instance and
/// `leaving` marks the named instance as leaving.
class InstanceList : public QObject, public Component {
 public:
  InstanceList(std::string name, Clock clock);

  bool Listen(const Endpoint& endpoint) { return m_service.Listen(endpoint); }
  Endpoint endpoint() const { return m_service.endpoint(); }

  std::string name() const override { return m_name; }
  QJsonObject Faults() override;
  QString SetFaults(const QJsonObject& json) override;
  QJsonObject Counters() override;

 private:
  void Handle(const std::shared_ptr<Exchange>& exchange);
  void HandleNow(const std::shared_ptr<Exchange>& exchange);
  void SetInstances(const QJsonArray& instances);
  void ChangeInstances(QJsonObject* json);
  const QJsonArray& CurrentInstances() const { return m_history.back().second; }
  QJsonArray VisibleInstances();

  std::string m_name;
  Clock m_clock;
  InstanceListFaults m_faults;
  HttpService m_service;
  /// The states of the list, each with the time of the change; never empty.
  std::deque<std::pair<TimePoint, QJsonArray>> m_history;
  std::uint64_t m_reads = 0;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_INSTANCE_LIST_H_
