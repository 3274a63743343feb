#ifndef GUAVACROSS_STANDIN_CONTROL_SERVER_H_
#define GUAVACROSS_STANDIN_CONTROL_SERVER_H_

#include <QHttpServer>
#include <QJsonObject>
#include <functional>
#include <string>
#include <vector>

#include "guavacross/identity.h"
#include "standin/component.h"

namespace guavacross::standin {

/// HTTP API through which tests set faults and read counters.
///
///     GET  /components                 names
///     GET  /components/NAME            faults and counters
///     POST /components/NAME            sets the faults named in the body
///     GET  /counters                   counters of all components, by name
///     GET  /runs                       runs by request identity, summed over
///                                      all components
///     POST /all/PREFIX                 sets the faults of all components whose
///                                      names start with PREFIX
class ControlServer {
 public:
  /// The components must outlive the server.
  explicit ControlServer(std::vector<Component*> components);

  /// Starts listening; port 0 selects a free port. Returns the port, or 0 on
  /// failure.
  std::uint16_t Listen(const Endpoint& endpoint);

  /// Serves the JSON object returned by `make` at `path`.
  void AddJsonRoute(const std::string& path, std::function<QJsonObject()> make);

 private:
  Component* Find(const QString& name) const;
  QHttpServerResponse ChangeFaults(const std::vector<Component*>& components,
                                   const QByteArray& body) const;

  std::vector<Component*> m_components;
  QHttpServer m_server;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_CONTROL_SERVER_H_
