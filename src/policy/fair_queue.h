#ifndef GUAVACROSS_POLICY_FAIR_QUEUE_H_
#define GUAVACROSS_POLICY_FAIR_QUEUE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "guavacross/time.h"

namespace guavacross::policy {

/// Identifies a flow of the fair queue: the requests of one tenant in one
/// class. Requests that can't meet their latency objective form a separate
/// flow.
struct FlowKey {
  std::string m_class_name;
  std::string m_tenant;
  bool m_past_objective = false;

  // NOLINTNEXTLINE(modernize-use-nullptr): the linter misreads <=>.
  auto operator<=>(const FlowKey&) const = default;
};

/// A request that waits for a slot.
struct QueuedRequest {
  std::uint64_t m_ticket = 0;
  TimePoint m_expires;

  bool operator==(const QueuedRequest&) const = default;
};

/// The order in which waiting requests get slots: start-time fair queuing
/// (Goyal, Vin and Cheng, SIGCOMM 1996).
///
/// Flows with waiting requests share slot time in proportion to their weights;
/// no slot time is reserved for idle flows. A request that found a free slot is
/// charged as well, so that a burst is accounted for. Not thread safe.
class FairQueue {
 public:
  /// Accounts for a request that got a slot without waiting. `cost` is its
  /// expected slot time, in any consistent unit.
  void Charge(const FlowKey& flow, double weight, double cost);

  /// Adds a request to the end of its flow.
  void Push(const FlowKey& flow,
            double weight,
            double cost,
            const QueuedRequest& request);

  /// Removes and returns the next request among the flows that `may_serve`
  /// accepts; nothing if there is none.
  std::optional<QueuedRequest> Pop(
      const std::function<bool(const FlowKey&)>& may_serve);

  /// Returns the last popped request to the head of its flow.
  void UndoPop();

  /// Removes one request; false if it isn't waiting.
  bool Remove(std::uint64_t ticket);

  /// Removes and returns the requests that have expired.
  std::vector<QueuedRequest> TakeExpired(TimePoint now);

  /// The earliest expiry of a waiting request; nothing if none waits.
  std::optional<TimePoint> NextExpiry() const;

  /// Makes room in the class of `flow` by removing the newest request of that
  /// class's other flow with the most waiting requests relative to its weight
  /// (buffer stealing: McKenney, "Stochastic fairness queueing", 1990). Removes
  /// nothing if that would leave the other flow with fewer requests than `flow`
  /// has with one more, both relative to their weights.
  ///
  /// @return the ticket of the removed request, or nothing.
  std::optional<std::uint64_t> Displace(const FlowKey& flow, double weight);

  /// Estimated number of requests that are served before a new one of `flow`.
  double RequestsAhead(const FlowKey& flow, double weight) const;

  int size() const { return m_size; }
  int SizeOfClass(const std::string& class_name) const;

  /// Number of flows that are tracked, with or without waiting requests.
  std::size_t flows() const { return m_flows.size(); }

 private:
  struct Item {
    QueuedRequest m_request;
    double m_start = 0;
    double m_finish = 0;
  };
  struct Flow {
    double m_weight = 1;
    double m_last_finish = 0;
    std::deque<Item> m_items;
  };
  using Flows = std::map<FlowKey, Flow>;

  Flow& GetOrAddFlow(const FlowKey& flow, double weight);
  void EraseIdleFlows();

  Flows m_flows;
  double m_virtual_time = 0;
  int m_size = 0;
  std::size_t m_erase_idle_at_size = 64;
  std::optional<std::pair<FlowKey, Item>> m_popped;
  double m_time_before_pop = 0;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_FAIR_QUEUE_H_
