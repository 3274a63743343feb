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

/// What shares a queue fairly: the requests of one tenant in one class, those
/// that can't meet their objective apart.
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
/// Each flow gets slot time by its weight while others wait, and none is kept
/// for flows that don't. A request that found a free slot is charged as well,
/// so that a burst doesn't go free. Not thread safe.
class FairQueue {
 public:
  /// Accounts for a request that got a slot without waiting.
  /// `cost` is the slot time that it will take, in any constant unit.
  void Charge(const FlowKey& flow, double weight, double cost);

  /// Adds a request to the end of its flow.
  void Push(const FlowKey& flow,
            double weight,
            double cost,
            const QueuedRequest& request);

  /// Removes and returns the request that is next, among the flows whose class
  /// `may_serve` accepts.
  std::optional<QueuedRequest> Pop(
      const std::function<bool(const std::string& class_name)>& may_serve);

  /// Puts the request that `Pop` gave back at the head of its flow.
  void UndoPop();

  /// Removes one request; false if it isn't waiting.
  bool Remove(std::uint64_t ticket);

  /// Removes and returns the requests whose time is over.
  std::vector<QueuedRequest> TakeExpired(TimePoint now);

  /// When the first request's time is over, or nothing if none waits.
  std::optional<TimePoint> NextExpiry() const;

  /// Makes room in a class by removing the newest request of the flow that
  /// holds most for its weight (buffer stealing: McKenney, "Stochastic fairness
  /// queueing", 1990). Nothing is removed, and nothing returned, unless that
  /// flow would still hold more than `flow` with one more request.
  std::optional<std::uint64_t> Displace(const FlowKey& flow, double weight);

  /// Requests that are likely to be served before a new one of `flow`.
  double Ahead(const FlowKey& flow, double weight) const;

  int size() const { return m_size; }
  int SizeOfClass(const std::string& class_name) const;

  /// Flows that are remembered, waiting or not.
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

  Flow& Touch(const FlowKey& flow, double weight);
  void ForgetIdleFlows();

  Flows m_flows;
  double m_virtual_time = 0;
  int m_size = 0;
  std::size_t m_forget_at = 64;
  std::optional<std::pair<FlowKey, Item>> m_popped;
  double m_time_before_pop = 0;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_FAIR_QUEUE_H_
