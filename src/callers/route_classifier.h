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

/// Finds out by a table of routes what a request is: its route, the service
/// that gets it, and its deadline.
///
/// Give it a table with `SetTable`; until then every request is refused as
/// `kNotReady`. All functions are thread safe; one mutex guards the table and
/// the splits.
class RouteClassifier {
 public:
  /// `router` must outlive the classifier. `deadline_header` names the field in
  /// which callers tell how many milliseconds they wait.
  RouteClassifier(const Router* router, std::string deadline_header);

  void SetTable(std::shared_ptr<const RouteTable> table);

  /// From now on requests that may not be answered by `end` are refused as
  /// `kShuttingDown`: the process ends then.
  void SetEnd(TimePoint end);

  /// Errors: `kNotReady`, `kBadRequest`, `kNoMatchingClass` without a route,
  /// `kNoTarget` if the route's service has none, `kShuttingDown`.
  Result<forwarding::ForwardRequest> Classify(const http::RequestHead& head,
                                              TimePoint now);

 private:
  std::string PickService(const Route& route);

  const Router* m_router;
  std::string m_deadline_header;
  std::mutex m_mutex;
  std::shared_ptr<const RouteTable> m_table;
  // Refers to the table.
  std::optional<RouteIndex> m_index;
  // By route name.
  std::map<std::string, policy::SplitPicker> m_splits;
  std::optional<TimePoint> m_end;
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_ROUTE_CLASSIFIER_H_
