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
  /// The address that callers connect to.
  Endpoint m_callers;
  /// Addresses whose requests go to `RouteInstanceHooks::m_answer_locally`.
  std::vector<Endpoint> m_local;
  /// The address that serves metrics and status; disabled if the port is 0.
  Endpoint m_operators;
  /// The address to listen on for other instances (gRPC).
  Endpoint m_peers;
  /// The address on which peers without a path to the targets pass on requests;
  /// port 0 if none are passed on between instances.
  Endpoint m_relay;
  /// The address at which other instances reach this one, if it differs from
  /// `m_peers`, as behind network address translation or a proxy.
  std::optional<Endpoint> m_peers_advertised;
  /// IP address from which targets are connected to; empty for the system's
  /// choice.
  std::string m_target_source_ip;
  /// See `policy::ZoneTerms::m_delay_per_megabyte`.
  Duration m_zone_delay_per_megabyte{};
  /// See `callers::CallerServerOptions::m_max_pipelined`.
  int m_max_pipelined = 1;
  /// Addresses of other instances to contact at the start.
  std::vector<Endpoint> m_seeds;
  /// Time from the shutdown request until the process is killed.
  Duration m_grace = std::chrono::seconds(6);
  /// Maximum number of open connections from callers.
  int m_max_caller_connections = 5000;
  routes::SharedBudgets m_budgets;

  bool operator==(const RouteInstanceOptions&) const = default;
};

/// The parts of an instance that differ between deployments.
struct RouteInstanceHooks {
  const backends::TargetDialect* m_target_dialect = nullptr;
  const forwarding::CallerDialect* m_caller_dialect = nullptr;
  /// The header field in which callers state how long they wait.
  std::string m_deadline_header;
  /// Answers requests on the local addresses. Called on a worker thread.
  std::function<std::optional<forwarding::CompleteAnswer>(
      const http::RequestHead&)>
      m_answer_locally;
  /// Returns this instance's state of the store's streams. Called on the
  /// control thread.
  std::function<std::vector<feed::StreamState>()> m_streams;
  feed::StreamExchange m_exchange;
};

/// An entry instance whose configuration is a route table and whose targets
/// register themselves. It keeps no ledger and reads no log: the owner passes
/// it the table and the targets.
///
/// Construct it on the thread that is to be the control thread, call `Start`,
/// pass it each new table and target, and run the event loop. Call all
/// functions on the control thread, except those marked thread safe.
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

  /// Applies a table, unless the one in force is as new or newer.
  void SetTable(const RouteTable& table);

  /// Stores a target's newest entry, or removes one. Changes take effect with
  /// `ApplyTargets`, so that a batch costs little more than a single change.
  void PutTarget(const RegisteredTarget& target, const EntrySource& source);
  void RemoveTarget(const std::string& id, const EntrySource& source);
  /// Applies the stored changes. After the first call the target list counts as
  /// complete.
  void ApplyTargets();
  /// Sets the availability zones whose targets get nothing more. Their open
  /// requests are finished.
  void SetEvacuatedZones(std::set<std::string> zones);
  /// Names of the other instances that are live.
  std::vector<std::string> LivePeers() const;
  /// Peer addresses of the live instances including this one, sorted by
  /// instance name.
  std::vector<Endpoint> LiveAddresses() const;
  /// Sets addresses of possible other instances, in addition to the seeds.
  void SetContacts(const std::vector<Endpoint>& contacts);
  /// Sends a heartbeat with the current state to the other instances at once.
  void NotifyPeers();
  /// Sets whether the store of the table and the targets is reachable; `why`
  /// gives the reason if it isn't.
  void SetStoreReachable(bool reachable, const std::string& why);

  /// Sets whether the table is known to be recent.
  void SetTableCurrent(bool current);

  /// Sets when the store was last back from an outage or from an older copy;
  /// nothing if neither is known. Entries of targets that are missing for some
  /// time after that may only not have been written again yet.
  void SetOutageEnd(std::optional<TimePoint> ended_at);

  /// Applies changed seeds, budgets and grace time. Addresses, name, region and
  /// zone keep the values from the start.
  void Reload(const RouteInstanceOptions& options);

  /// Removes this instance from the address lists given to callers, keeps
  /// accepting connections, refuses requests that can't be finished in time,
  /// and calls `on_done` once before the grace time ends.
  void Shutdown(std::function<void()> on_done);

  /// Whether callers should be directed to this instance. Thread safe.
  bool ready() const;

  /// Caller addresses of the ready instances, those in the given zone first.
  /// Thread safe.
  std::vector<Endpoint> Addresses(const std::string& region,
                                  const std::string& zone) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_ROUTE_INSTANCE_H_
