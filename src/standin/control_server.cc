#include "standin/control_server.h"

#include <QHostAddress>
#include <QHttpServerResponse>
#include <QJsonArray>
#include <QJsonDocument>
#include <utility>

namespace guavacross::standin {

namespace {

using Status = QHttpServerResponse::StatusCode;

QHttpServerResponse ErrorResponse(Status status, const QString& text) {
  return QHttpServerResponse(QJsonObject{{"error", text}}, status);
}

QJsonObject Describe(Component* component) {
  return {{"name", QString::fromStdString(component->name())},
          {"faults", component->Faults()},
          {"counters", component->Counters()}};
}

}  // namespace

ControlServer::ControlServer(std::vector<Component*> components)
    : m_components(std::move(components)) {
  m_server.route("/components", QHttpServerRequest::Method::Get, [this] {
    QJsonArray names;
    for (const Component* component : m_components) {
      names.append(QString::fromStdString(component->name()));
    }
    return QHttpServerResponse(QJsonObject{{"components", names}});
  });
  m_server.route("/components/<arg>", QHttpServerRequest::Method::Get,
                 [this](const QString& name) {
                   Component* component = Find(name);
                   return component == nullptr
                              ? ErrorResponse(Status::NotFound, name)
                              : QHttpServerResponse(Describe(component));
                 });
  m_server.route(
      "/components/<arg>", QHttpServerRequest::Method::Post,
      [this](const QString& name, const QHttpServerRequest& request) {
        Component* component = Find(name);
        return component == nullptr ? ErrorResponse(Status::NotFound, name)
                                    : ChangeFaults({component}, request.body());
      });
  m_server.route(
      "/all/<arg>", QHttpServerRequest::Method::Post,
      [this](const QString& prefix, const QHttpServerRequest& request) {
        std::vector<Component*> matching;
        for (Component* component : m_components) {
          if (component->name().starts_with(prefix.toStdString())) {
            matching.push_back(component);
          }
        }
        return ChangeFaults(matching, request.body());
      });
  AddJsonRoute("/counters", [this] {
    QJsonObject all;
    for (Component* component : m_components) {
      all[QString::fromStdString(component->name())] = component->Counters();
    }
    return all;
  });
  AddJsonRoute("/runs", [this] {
    QJsonObject sum;
    for (Component* component : m_components) {
      const QJsonObject runs = component->Runs();
      for (auto entry = runs.begin(); entry != runs.end(); ++entry) {
        sum[entry.key()] = sum[entry.key()].toInt() + entry.value().toInt();
      }
    }
    return sum;
  });
}

std::uint16_t ControlServer::Listen(const Endpoint& endpoint) {
  return m_server.listen(QHostAddress(QString::fromStdString(endpoint.m_ip)),
                         endpoint.m_port);
}

void ControlServer::AddJsonRoute(const std::string& path,
                                 std::function<QJsonObject()> make) {
  m_server.route(
      QString::fromStdString(path), QHttpServerRequest::Method::Get,
      [make = std::move(make)] { return QHttpServerResponse(make()); });
}

Component* ControlServer::Find(const QString& name) const {
  for (Component* component : m_components) {
    if (component->name() == name.toStdString()) {
      return component;
    }
  }
  return nullptr;
}

QHttpServerResponse ControlServer::ChangeFaults(
    const std::vector<Component*>& components,
    const QByteArray& body) const {
  QJsonParseError problem;
  const QJsonDocument json = QJsonDocument::fromJson(body, &problem);
  if (!json.isObject()) {
    return ErrorResponse(Status::BadRequest, problem.errorString());
  }
  QJsonObject changed;
  for (Component* component : components) {
    const QString error_text = component->SetFaults(json.object());
    if (!error_text.isEmpty()) {
      return ErrorResponse(Status::BadRequest, error_text);
    }
    changed[QString::fromStdString(component->name())] = component->Faults();
  }
  return QHttpServerResponse(changed);
}

}  // namespace guavacross::standin
