#ifndef GUAVACROSS_GUAVACROSS_DEMO_DEPLOYMENT_H_
#define GUAVACROSS_GUAVACROSS_DEMO_DEPLOYMENT_H_

#include <QJsonObject>
#include <map>
#include <string>
#include <vector>

#include "guavacross/document.h"
#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "load/http_client.h"
#include "load/load_generator.h"

/// The deployment of stand-ins that the demo runs against.
namespace guavacross::commands {

/// The description returned by `guavacross-standin deployment`.
struct DemoDeployment {
  std::string m_name;
  std::string m_region;
  std::vector<std::string> m_zones;
  Endpoint m_control;
  Endpoint m_log_service;
  Endpoint m_instance_list;
  std::string m_document;
  std::vector<ServiceConfig> m_services;

  bool operator==(const DemoDeployment&) const = default;
};

/// Client of the stand-ins' control server. Calls block, running this thread's
/// event loop until the answer arrives.
class DemoControl {
 public:
  explicit DemoControl(const Endpoint& control) : m_control(control) {}

  /// Errors: `kBadSettings` if the status is 300 or above or the answer is too
  /// large; those of `Send`.
  Result<QJsonObject> Get(const std::string& path);
  Result<QJsonObject> Post(const std::string& path, const QJsonObject& body);
  /// Sends a request and waits for its answer. The answer's body is kept up to
  /// 64 MiB.
  Result<load::ClientAnswer> Send(const Endpoint& to,
                                  http::RequestHead head,
                                  const std::string& body);

 private:
  Result<QJsonObject> Call(const std::string& method,
                           const std::string& path,
                           const std::string& body);

  Endpoint m_control;
  // Raised limit for kept bodies, since the stand-ins' list of execution counts
  // is long.
  load::HttpClient m_client{std::size_t{64} << 20};
};

/// Fetches the deployment's description and checks that it is complete.
Result<DemoDeployment> FetchDeployment(DemoControl* control);

/// Returns the request classes that the demo sends to a deployment. `scale`
/// multiplies the rates.
std::vector<load::LoadClass> MakeDemoWorkload(const DemoDeployment& deployment,
                                              double scale);

}  // namespace guavacross::commands

#endif  // GUAVACROSS_GUAVACROSS_DEMO_DEPLOYMENT_H_
