#include "standin/instance_list.h"

#include <QJsonDocument>
#include <QTimer>
#include <utility>

#include "standin/fault_table.h"

namespace guavacross::standin {

namespace {

// How long past states are kept, so that a lag set later can report them.
constexpr Duration kHistoryDuration = std::chrono::minutes(10);

const std::vector<FaultField<InstanceListFaults>>& FaultFields() {
  using F = InstanceListFaults;
  static const std::vector<FaultField<F>> kFields = {
      {"lag_ms", &F::m_lag_ms},
      {"outage", &F::m_outage},
      {"delay_ms", &F::m_delay_ms},
  };
  return kFields;
}

QJsonArray WithoutInstance(const QJsonArray& instances, const QString& name) {
  QJsonArray rest;
  for (const QJsonValue instance : instances) {
    if (instance["name"].toString() != name) {
      rest.append(instance);
    }
  }
  return rest;
}

}  // namespace

InstanceList::InstanceList(std::string name, Clock clock)
    : m_name(std::move(name)),
      m_clock(std::move(clock)),
      m_service([this](const std::shared_ptr<Exchange>& e) { Handle(e); },
                this) {
  m_history.emplace_back(TimePoint::min(), QJsonArray());
}

QJsonObject InstanceList::Faults() {
  return CallOn(this, [this] {
    QJsonObject json = FaultsToJson(m_faults, FaultFields());
    json["instances"] = CurrentInstances();
    return json;
  });
}

QString InstanceList::SetFaults(const QJsonObject& json) {
  return CallOn(this, [this, rest = QJsonObject(json)]() mutable {
    ChangeInstances(&rest);
    QString error_text = FaultsFromJson(rest, FaultFields(), &m_faults);
    if (m_faults.m_outage == "refuse") {
      m_service.StopListening();
      m_service.ResetAll();
    } else {
      m_service.EnsureListening();
    }
    return error_text;
  });
}

QJsonObject InstanceList::Counters() {
  return CallOn(this, [this] {
    return QJsonObject{{"reads", static_cast<qint64>(m_reads)}};
  });
}

void InstanceList::ChangeInstances(QJsonObject* json) {
  if (json->contains("instances")) {
    SetInstances(json->take("instances").toArray());
  }
  if (json->contains("add")) {
    const QJsonObject added = json->take("add").toObject();
    QJsonArray instances =
        WithoutInstance(CurrentInstances(), added["name"].toString());
    instances.append(added);
    SetInstances(instances);
  }
  if (json->contains("remove")) {
    SetInstances(
        WithoutInstance(CurrentInstances(), json->take("remove").toString()));
  }
  if (json->contains("leaving")) {
    const QString name = json->take("leaving").toString();
    QJsonArray instances;
    for (const QJsonValue instance : CurrentInstances()) {
      QJsonObject changed = instance.toObject();
      if (changed["name"].toString() == name) {
        changed["leaving"] = true;
      }
      instances.append(changed);
    }
    SetInstances(instances);
  }
}

void InstanceList::SetInstances(const QJsonArray& instances) {
  const TimePoint now = m_clock.m_now();
  m_history.emplace_back(now, instances);
  while (m_history.size() > 1 && m_history[1].first < now - kHistoryDuration) {
    m_history.pop_front();
  }
}

QJsonArray InstanceList::VisibleInstances() {
  const TimePoint as_of =
      m_clock.m_now() - std::chrono::milliseconds(m_faults.m_lag_ms);
  for (auto state = m_history.rbegin(); state != m_history.rend(); ++state) {
    if (state->first <= as_of) {
      return state->second;
    }
  }
  return {};
}

void InstanceList::Handle(const std::shared_ptr<Exchange>& exchange) {
  if (m_faults.m_delay_ms > 0) {
    QTimer::singleShot(m_faults.m_delay_ms, this,
                       [this, exchange] { HandleNow(exchange); });
  } else {
    HandleNow(exchange);
  }
}

void InstanceList::HandleNow(const std::shared_ptr<Exchange>& exchange) {
  ++m_reads;
  if (m_faults.m_outage == "reset" || m_faults.m_outage == "refuse") {
    exchange->Reset();
    return;
  }
  http::ResponseHead head;
  head.m_fields.Add("Content-Type", "application/json");
  if (m_faults.m_outage == "unavailable") {
    head.m_status = 503;
    exchange->Answer(std::move(head), "{}");
    return;
  }
  if (http::PathOf(exchange->m_head.m_target) != "/instances") {
    head.m_status = 404;
    exchange->Answer(std::move(head), "{}");
    return;
  }
  const QJsonDocument body(QJsonObject{{"instances", VisibleInstances()}});
  exchange->Answer(std::move(head),
                   body.toJson(QJsonDocument::Compact).toStdString());
}

}  // namespace guavacross::standin
