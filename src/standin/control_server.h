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

/// The HTTP interface by which tests switch faults and read counters.
///
///     GET  /components                 names
///     GET  /components/NAME            faults and counters
///     POST /components/NAME            changes the faults that the body names
///     GET  /counters                   counters of all components, by name
///     GET  /runs                       runs by request identity, summed
///     POST /all/PREFIX                 as above, for all names with a prefix
class ControlServer {
 public:
  /// The components must outlive the server.
  explicit ControlServer(std::vector<Component*> components);

  /// Port 0 takes a free one. Returns the port, or 0 on failure.
  std::uint16_t Listen(const Endpoint& endpoint);

  /// Serves one more JSON document.
  void AddDocument(const std::string& path, std::function<QJsonObject()> make);

 private:
  Component* Find(const QString& name) const;
  QHttpServerResponse Change(const std::vector<Component*>& components,
                             const QByteArray& body) const;

  std::vector<Component*> m_components;
  QHttpServer m_server;
};

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_CONTROL_SERVER_H_
