#include "policy/fair_queue.h"

#include <algorithm>
#include <utility>

namespace guavacross::policy {

namespace {

// Idle flows aren't erased while there are fewer flows than this.
constexpr std::size_t kMinFlowsToErase = 64;

}  // namespace

void FairQueue::Charge(const FlowKey& flow, double weight, double cost) {
  Flow& charged = GetOrAddFlow(flow, weight);
  const double start = std::max(m_virtual_time, charged.m_last_finish);
  charged.m_last_finish = start + cost / charged.m_weight;
  // No request waits, so no flow is backlogged and virtual time advances with
  // the service.
  if (m_size == 0) {
    m_virtual_time = std::max(m_virtual_time, start);
  }
}

void FairQueue::Push(const FlowKey& flow,
                     double weight,
                     double cost,
                     const QueuedRequest& request) {
  Flow& joined = GetOrAddFlow(flow, weight);
  const double start = std::max(m_virtual_time, joined.m_last_finish);
  const double finish = start + cost / joined.m_weight;
  joined.m_items.push_back(
      {.m_request = request, .m_start = start, .m_finish = finish});
  joined.m_last_finish = finish;
  ++m_size;
}

std::optional<QueuedRequest> FairQueue::Pop(
    const std::function<bool(const FlowKey&)>& may_serve) {
  auto best = m_flows.end();
  for (auto it = m_flows.begin(); it != m_flows.end(); ++it) {
    const Flow& flow = it->second;
    if (flow.m_items.empty() || !may_serve(it->first)) {
      continue;
    }
    if (best == m_flows.end() ||
        flow.m_items.front().m_start < best->second.m_items.front().m_start) {
      best = it;
    }
  }
  if (best == m_flows.end()) {
    return std::nullopt;
  }
  const Item item = best->second.m_items.front();
  best->second.m_items.pop_front();
  --m_size;
  m_time_before_pop = m_virtual_time;
  m_virtual_time = std::max(m_virtual_time, item.m_start);
  m_popped.emplace(best->first, item);
  return item.m_request;
}

void FairQueue::UndoPop() {
  if (m_popped.has_value()) {
    m_flows[m_popped->first].m_items.push_front(m_popped->second);
    ++m_size;
    m_virtual_time = m_time_before_pop;
    m_popped.reset();
  }
}

bool FairQueue::Remove(std::uint64_t ticket) {
  for (auto& [key, flow] : m_flows) {
    const auto removed = std::erase_if(flow.m_items, [&](const Item& item) {
      return item.m_request.m_ticket == ticket;
    });
    if (removed > 0) {
      m_size -= static_cast<int>(removed);
      return true;
    }
  }
  return false;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (auto& [key, flow] : m_flows) {
    std::erase_if(flow.m_items, [&](const Item& item) {
      const bool is_expired = item.m_request.m_expires <= now;
      if (is_expired) {
        expired.push_back(item.m_request);
      }
      return is_expired;
    });
  }
  m_size -= static_cast<int>(expired.size());
  return expired;
}

std::optional<TimePoint> FairQueue::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [key, flow] : m_flows) {
    for (const Item& item : flow.m_items) {
      const TimePoint expires = item.m_request.m_expires;
      next = next ? std::min(*next, expires) : expires;
    }
  }
  return next;
}

std::optional<std::uint64_t> FairQueue::Displace(const FlowKey& flow,
                                                 double weight) {
  Flow* largest = nullptr;
  double most = 0;
  double own = 1 / weight;
  for (auto& [key, other] : m_flows) {
    const double held =
        static_cast<double>(other.m_items.size()) / other.m_weight;
    if (key == flow) {
      own += held;
    } else if (key.m_class_name == flow.m_class_name && held > most) {
      largest = &other;
      most = held;
    }
  }
  if (largest == nullptr || most - 1 / largest->m_weight < own) {
    return std::nullopt;
  }
  const Item removed = largest->m_items.back();
  largest->m_items.pop_back();
  largest->m_last_finish = removed.m_start;
  --m_size;
  return removed.m_request.m_ticket;
}

double FairQueue::RequestsAhead(const FlowKey& flow, double weight) const {
  const auto found = m_flows.find(flow);
  const double own = found == m_flows.end()
                         ? 0
                         : static_cast<double>(found->second.m_items.size());
  double ahead = own;
  for (const auto& [key, other] : m_flows) {
    if (key != flow) {
      // While `flow` is served own + 1 times, another flow is served in
      // proportion to its weight.
      const double turns = (own + 1) * other.m_weight / weight;
      ahead += std::min(turns, static_cast<double>(other.m_items.size()));
    }
  }
  return ahead;
}

int FairQueue::SizeOfClass(const std::string& class_name) const {
  std::size_t size = 0;
  for (const auto& [key, flow] : m_flows) {
    size += key.m_class_name == class_name ? flow.m_items.size() : 0;
  }
  return static_cast<int>(size);
}

FairQueue::Flow& FairQueue::GetOrAddFlow(const FlowKey& flow, double weight) {
  if (m_flows.size() >= m_erase_idle_at_size) {
    EraseIdleFlows();
  }
  Flow& result = m_flows[flow];
  result.m_weight = weight > 0 ? weight : 1;
  return result;
}

void FairQueue::EraseIdleFlows() {
  std::erase_if(m_flows, [this](const auto& entry) {
    const Flow& flow = entry.second;
    // While no request waits, a flow's lead over virtual time needn't be kept.
    return flow.m_items.empty() &&
           (m_size == 0 || flow.m_last_finish <= m_virtual_time);
  });
  m_erase_idle_at_size = std::max(kMinFlowsToErase, 2 * m_flows.size());
}

}  // namespace guavacross::policy
