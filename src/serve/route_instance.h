#ifndef GUAVACROSS_SERVE_ROUTE_INSTANCE_H_
#define GUAVACROSS_SERVE_ROUTE_INSTANCE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backends/target_dialect.h"
#include "feed/shared_records.h"
#include "forwarding/caller_dialect.h"
#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "guavacross/membership.h"
#include "guavacross/route_table.h"
#include "guavacross/time.h"
#include "routes/service_plan.h"

namespace guavacross::serve {

struct RouteInstanceOptions {
  std::string m_name;
  std::string m_region;
  std::string m_zone;
  /// Where callers connect.
  Endpoint m_callers;
  /// Where `RouteInstanceHooks::m_answer_locally` is asked.
  std::vector<Endpoint> m_local;
  /// Where operators read metrics; nowhere if the port is 0.
  Endpoint m_operators;
  /// Where it listens for other instances (gRPC).
  Endpoint m_peers;
  /// Where other instances reach it, if not there: behind translated addresses,
  /// or a proxy.
  std::optional<Endpoint> m_peers_advertised;
  /// Where other instances may be found at the start.
  std::vector<Endpoint> m_seeds;
  /// Time from the order to shut down until the process is killed.
  Duration m_grace = std::chrono::seconds(6);
  /// Connections from callers that may be open at one time.
  int m_max_caller_connections = 5000;
  routes::SharedBudgets m_budgets;

  bool operator==(const RouteInstanceOptions&) const = default;
};

/// What differs between deployments.
struct RouteInstanceHooks {
  const backends::TargetDialect* m_target_dialect = nullptr;
  const forwarding::CallerDialect* m_caller_dialect = nullptr;
  /// The field in which callers tell how long they wait.
  std::string m_deadline_header;
  /// Answers requests on the local addresses; called on a worker thread.
  std::function<std::optional<forwarding::WholeAnswer>(
      const http::RequestHead&)>
      m_answer_locally;
  /// What this instance knows of the store's streams; called on the control
  /// thread.
  std::function<std::vector<feed::StreamState>()> m_streams;
  feed::StreamExchange m_exchange;
};

/// An entry instance whose configuration is a table of routes and whose targets
/// register themselves. It keeps no ledger and reads no log: what it has to
/// know is handed to it.
///
/// Construct it on the thread that becomes the control thread, call `Start`,
/// hand it the table and the targets as they come, and run the event loop. All
/// functions belong to the control thread but for those marked thread safe.
class RouteInstance {
 public:
  RouteInstance(RouteInstanceOptions options,
                Clock clock,
                RouteInstanceHooks hooks);
  ~RouteInstance();
  RouteInstance(const RouteInstance&) = delete;
  RouteInstance& operator=(const RouteInstance&) = delete;

  /// Listens on all addresses. Errors: `kBadSettings`.
  Result<bool> Start();

  /// Puts a table in force, unless a newer one is.
  void SetTable(const RouteTable& table);

  /// A target's newest entry, and the removal of one. They come in force with
  /// `ApplyTargets`, so that many together cost little more than one.
  void PutTarget(const RegisteredTarget& target);
  void RemoveTarget(const std::string& id);
  /// Puts the targets in force. With the first call they count as complete.
  void ApplyTargets();
  /// Names of the other instances that are live.
  std::vector<std::string> LivePeers() const;
  /// Where live instances are found by others, this one included; sorted by
  /// their names.
  std::vector<Endpoint> LiveAddresses() const;
  /// Addresses at which other instances may be found, beside the seeds.
  void SetContacts(const std::vector<Endpoint>& contacts);
  /// Tells the other instances at once that there is something new.
  void TellPeers();
  /// The source of table and targets has been lost, or answers again.
  void SetStoreReachable(bool reachable, const std::string& why);

  /// Puts changed settings in force: seeds and budgets. Addresses, the name and
  /// the place are those of the start.
  void Reload(const RouteInstanceOptions& options);

  /// Leaves the address answers, goes on accepting, refuses what can't be
  /// finished in time, and calls `on_done` once before the grace time ends.
  void Shutdown(std::function<void()> on_done);

  /// Whether callers should be sent here. Thread safe.
  bool ready() const;

  /// The ready instances' addresses for callers, the given zone's first.
  /// Thread safe.
  std::vector<Endpoint> Addresses(const std::string& region,
                                  const std::string& zone) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_ROUTE_INSTANCE_H_
