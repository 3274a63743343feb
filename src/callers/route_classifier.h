#ifndef GUAVACROSS_CALLERS_ROUTE_CLASSIFIER_H_
#define GUAVACROSS_CALLERS_ROUTE_CLASSIFIER_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "forwarding/request_forwarder.h"
#include "guavacross/error.h"
#include "guavacross/route_table.h"
#include "guavacross/routing.h"
#include "http/message.h"
#include "policy/split_picker.h"

namespace guavacross::callers {

/// Classifies requests by a route table: determines the route, the service that
/// gets the request, and the deadline.
///
/// Until the first `SetTable`, every request is refused as `kNotReady`. All
/// functions are thread safe; one mutex guards the table and the traffic
/// splits.
class RouteClassifier {
 public:
  /// `router` must outlive the classifier. `deadline_header` is the header
  /// field in which callers send their timeout in milliseconds.
  RouteClassifier(const Router* router, std::string deadline_header);

  void SetTable(std::shared_ptr<const RouteTable> table);

  /// From now on requests whose deadline is after `exit_time` are refused
  /// as `kShuttingDown`, because the process exits then.
  void SetExitTime(TimePoint exit_time);

  /// Errors: `kNotReady`, `kBadRequest`, `kNoMatchingClass` if no route
  /// matches, `kNoTarget` if the route's service has no targets,
  /// `kShuttingDown`.
  Result<forwarding::ForwardRequest> Classify(const http::RequestHead& head,
                                              TimePoint now);

 private:
  std::string PickService(const Route& route);

  const Router* m_router;
  std::string m_deadline_header;
  std::mutex m_mutex;
  std::shared_ptr<const RouteTable> m_table;
  // Refers to `*m_table`.
  std::optional<RouteIndex> m_index;
  // Weighted service selection by route name.
  std::map<std::string, policy::SplitPicker> m_splits;
  std::optional<TimePoint> m_exit_time;
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_ROUTE_CLASSIFIER_H_
