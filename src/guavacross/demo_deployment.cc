#include "guavacross/demo_deployment.h"

#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>
#include <boost/leaf/error.hpp>
#include <optional>
#include <utility>

#include "guavacross/wire_names.h"

namespace guavacross::commands {

namespace {

constexpr Duration kControlTimeout = std::chrono::seconds(10);
constexpr double kRepeatableRequestsPerSecond = 500;
constexpr double kNonRepeatableRequestsPerSecond = 30;
constexpr double kBulkRequestsPerSecond = 4;
constexpr std::size_t kNonRepeatableBodyBytes = 256;
constexpr int kBulkAnswerBytes = 4 << 20;

std::string ToStdString(const QJsonValue& value) {
  return value.toString().toStdString();
}

// Derives the load of a request class, its rate and sizes, from its rules.
load::LoadClass MakeLoadClass(const ServiceConfig& service,
                              const ClassConfig& class_config,
                              double scale) {
  load::LoadClass load_class;
  load_class.m_name = service.m_name + "/" + class_config.m_name;
  load_class.m_service = service.m_name;
  if (!service.m_tenants.empty()) {
    load_class.m_tenant = service.m_tenants.front().m_name;
  }
  load_class.m_method =
      class_config.m_methods.empty() ? "GET" : class_config.m_methods[0];
  load_class.m_target = class_config.m_path_prefix + "/7";
  load_class.m_rate = kRepeatableRequestsPerSecond * scale;
  if (!class_config.m_repeatable) {
    load_class.m_with_idempotency_key = true;
    load_class.m_body_bytes = kNonRepeatableBodyBytes;
    load_class.m_rate = kNonRepeatableRequestsPerSecond * scale;
  }
  if (class_config.m_bulk) {
    load_class.m_target += "?bytes=" + std::to_string(kBulkAnswerBytes);
    load_class.m_rate = kBulkRequestsPerSecond * scale;
  }
  return load_class;
}

}  // namespace

Result<load::ClientAnswer> DemoControl::Send(const Endpoint& to,
                                             http::RequestHead head,
                                             const std::string& body) {
  QEventLoop loop;
  std::optional<util::Expected<load::ClientAnswer>> answer_or_error;
  m_client.Send(to, std::move(head), body, kControlTimeout,
                [&](util::Expected<load::ClientAnswer> answer) {
                  answer_or_error = std::move(answer);
                  loop.quit();
                });
  if (!answer_or_error.has_value()) {
    loop.exec();
  }
  if (!*answer_or_error) {
    return Fail(answer_or_error->m_error);
  }
  return std::move(*answer_or_error->m_value);
}

Result<QJsonObject> DemoControl::Call(const std::string& method,
                                      const std::string& path,
                                      const std::string& body) {
  http::RequestHead head;
  head.m_method = method;
  head.m_target = path;
  BOOST_LEAF_AUTO(answer, Send(m_control, std::move(head), body));
  const bool truncated = answer.m_body_bytes > answer.m_body.size();
  if (answer.m_head.m_status >= 300 || truncated) {
    return Fail(ErrorKind::kBadSettings,
                path + ": the stand-ins answered " +
                    std::to_string(answer.m_head.m_status) + " " +
                    answer.m_body.substr(0, 200));
  }
  return QJsonDocument::fromJson(QByteArray::fromStdString(answer.m_body))
      .object();
}

Result<QJsonObject> DemoControl::Get(const std::string& path) {
  return Call("GET", path, "");
}

Result<QJsonObject> DemoControl::Post(const std::string& path,
                                      const QJsonObject& body) {
  return Call("POST", path, QJsonDocument(body).toJson().toStdString());
}

Result<DemoDeployment> FetchDeployment(DemoControl* control) {
  BOOST_LEAF_AUTO(json, control->Get("/deployment"));
  DemoDeployment deployment;
  deployment.m_name = ToStdString(json["name"]);
  deployment.m_region = ToStdString(json["region"]);
  for (const auto zone : json["zones"].toArray()) {
    deployment.m_zones.push_back(ToStdString(zone));
  }
  deployment.m_document = ToStdString(json["document"]);
  const bool complete =
      ParseEndpoint(ToStdString(json["control"]), &deployment.m_control) &&
      ParseEndpoint(ToStdString(json["log_service"]),
                    &deployment.m_log_service) &&
      ParseEndpoint(ToStdString(json["instance_list"]),
                    &deployment.m_instance_list) &&
      !deployment.m_zones.empty();
  if (!complete) {
    return Fail(ErrorKind::kBadSettings,
                "the stand-ins' description lacks an address");
  }
  BOOST_LEAF_ASSIGN(deployment.m_services,
                    ParseDocument(deployment.m_document));
  return deployment;
}

std::vector<load::LoadClass> MakeDemoWorkload(const DemoDeployment& deployment,
                                              double scale) {
  std::vector<load::LoadClass> classes;
  for (const ServiceConfig& service : deployment.m_services) {
    for (const ClassConfig& class_config : service.m_classes) {
      classes.push_back(MakeLoadClass(service, class_config, scale));
    }
  }
  return classes;
}

}  // namespace guavacross::commands
