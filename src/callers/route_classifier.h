#ifndef GUAVACROSS_CALLERS_ROUTE_CLASSIFIER_H_
#define GUAVACROSS_CALLERS_ROUTE_CLASSIFIER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

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

  /// Sets whether the table is known to be recent. While it isn't, a request
  /// with an unknown key is refused as `kNotReady`.
  void SetCurrent(bool current);

  /// The version of the table; 0 without one.
  std::uint64_t version() const;

  /// From now on requests whose deadline is after `exit_time` are refused
  /// as `kShuttingDown`, because the process exits then.
  void SetExitTime(TimePoint exit_time);

  /// If the table has tenants, the request's key determines its tenant: a
  /// bearer token in the field `Authorization`. Routes that are public need
  /// none.
  ///
  /// Errors: `kNotReady`, `kUnknownKey`, `kBadRequest`, `kNoMatchingClass` if
  /// no route matches, `kNoTarget` if the route's service has no targets,
  /// `kShuttingDown`. A request that a peer has passed on goes to the service
  /// that the peer has picked if the route names it, and is refused as
  /// `kNotReady` if the peer's table is newer.
  Result<forwarding::ForwardRequest> Classify(
      const http::RequestHead& head,
      TimePoint now,
      const std::optional<forwarding::RelayMark>& relay = std::nullopt);

 private:
  // The tenant of the request's key; nothing if no tenant has it.
  const Tenant* FindTenant(const http::Fields& fields) const;
  // The verified tenant's name; empty if the route needs none.
  Result<std::string> VerifyTenant(
      const Route& route,
      const http::RequestHead& head,
      const std::optional<forwarding::RelayMark>& relay) const;
  std::string PickService(const Route& route,
                          const std::optional<forwarding::RelayMark>& relay);

  const Router* m_router;
  std::string m_deadline_header;
  mutable std::mutex m_mutex;
  std::shared_ptr<const RouteTable> m_table;
  // Refers to `*m_table`.
  std::optional<RouteIndex> m_index;
  // Tenants by the digest of their keys. That a digest is looked up, and not
  // the key, keeps the time of the look-up independent of the keys.
  std::unordered_map<std::string, const Tenant*> m_tenants;
  bool m_is_current = true;
  // Weighted service selection by route name.
  std::map<std::string, policy::SplitPicker> m_splits;
  std::optional<TimePoint> m_exit_time;
};

}  // namespace guavacross::callers

#endif  // GUAVACROSS_CALLERS_ROUTE_CLASSIFIER_H_
