#include "backends/backend_pool.h"

#include <algorithm>
#include <utility>

namespace guavacross::backends {

namespace {

// How long the remainder of a discarded response is awaited.
constexpr Duration kMaxDiscardTime = std::chrono::seconds(1);

}  // namespace

BackendPool::BackendPool(net::SocketSet* set,
                         Clock clock,
                         BackendPoolOptions options)
    : m_set(set), m_clock(std::move(clock)), m_options(options) {}

BackendPool::~BackendPool() {
  // Attempts whose deletion is deferred refer to the pool and its connections.
  m_set->DeleteDeferred();
}

std::unique_ptr<Attempt> BackendPool::Start(AttemptRequest request,
                                            AttemptHooks hooks) {
  Target& target = m_targets[request.m_address];
  std::unique_ptr<Attempt> attempt(
      new Attempt(this, std::move(request), std::move(hooks)));
  StartOn(&target, attempt.get());
  return attempt;
}

void BackendPool::StartOn(Target* target, Attempt* attempt) {
  BackendConnection* connection = TakeIdle(target, *attempt);
  const std::size_t limit = m_options.m_max_connections_per_target;
  if (connection == nullptr && target->m_connections.size() >= limit &&
      !target->m_idle.empty()) {
    // Makes room for a new connection: the idle ones aren't fresh enough.
    target->m_idle.front()->Cancel();
  }
  if (connection == nullptr && target->m_connections.size() < limit) {
    target->m_connections.push_back(
        std::make_unique<BackendConnection>(this, attempt->m_address));
    connection = target->m_connections.back().get();
  }
  if (connection == nullptr) {
    attempt->m_waiting = true;
    target->m_waiting.push_back(attempt);
    return;
  }
  attempt->m_connection = connection;
  connection->Begin(attempt);
}

BackendConnection* BackendPool::TakeIdle(Target* target,
                                         const Attempt& attempt) {
  // Closing a connection removes it, and may let a waiting attempt take others.
  for (std::size_t i = target->m_idle.size();
       (i = std::min(i, target->m_idle.size())) > 0; --i) {
    BackendConnection* const connection = target->m_idle[i - 1];
    const Duration age = m_clock.m_now() - connection->detached_since();
    const std::optional<Duration> keep_alive_time = connection->idle_limit();
    if (attempt.m_fresh_connection &&
        age > keep_alive_time.value_or(m_options.m_max_fresh_idle)) {
      return nullptr;
    }
    if (!connection->Usable() ||
        age > keep_alive_time.value_or(m_options.m_max_idle)) {
      connection->Cancel();
    } else if (!connection->HasCarried(attempt.m_id_hash)) {
      target->m_idle.erase(target->m_idle.begin() +
                           static_cast<std::ptrdiff_t>(i - 1));
      return connection;
    }
  }
  return nullptr;
}

void BackendPool::RemoveWaiting(Attempt* attempt) {
  const auto found = m_targets.find(attempt->m_address);
  if (found != m_targets.end()) {
    std::erase(found->second.m_waiting, attempt);
  }
}

void BackendPool::OnIdle(BackendConnection* connection) {
  Target& target = m_targets[connection->address()];
  target.m_idle.push_back(connection);
  StartNextWaiting(&target);
}

void BackendPool::CloseIdle(const Endpoint& address) {
  const std::vector<BackendConnection*> idle = m_targets[address].m_idle;
  for (BackendConnection* const each : idle) {
    // Closing one may have let a waiting request start on another.
    if (each->idle()) {
      each->Cancel();
    }
  }
}

void BackendPool::StartNextWaiting(Target* target) {
  if (!target->m_waiting.empty()) {
    Attempt* const attempt = target->m_waiting.front();
    target->m_waiting.pop_front();
    attempt->m_waiting = false;
    StartOn(target, attempt);
  }
}

void BackendPool::Retire(BackendConnection* connection) {
  Target& target = m_targets[connection->address()];
  std::erase(target.m_idle, connection);
  const auto found = std::find_if(
      target.m_connections.begin(), target.m_connections.end(),
      [connection](const auto& each) { return each.get() == connection; });
  if (found != target.m_connections.end()) {
    m_set->DeleteLater(std::move(*found));
    target.m_connections.erase(found);
  }
  StartNextWaiting(&target);
}

void BackendPool::Sweep() {
  const TimePoint now = m_clock.m_now();
  std::vector<BackendConnection*> expired;
  for (const auto& [address, target] : m_targets) {
    for (const auto& connection : target.m_connections) {
      const Duration limit =
          connection->idle()
              ? connection->idle_limit().value_or(m_options.m_max_idle)
              : kMaxDiscardTime;
      if (connection->detached() &&
          now - connection->detached_since() > limit) {
        expired.push_back(connection.get());
      }
    }
  }
  for (BackendConnection* connection : expired) {
    // Closing one may have let a waiting request start on another.
    if (connection->detached()) {
      connection->Cancel();
    }
  }
  std::erase_if(m_targets, [](const auto& entry) {
    return entry.second.m_connections.empty() && entry.second.m_waiting.empty();
  });
}

int BackendPool::connections() const {
  std::size_t count = 0;
  for (const auto& [address, target] : m_targets) {
    count += target.m_connections.size();
  }
  return static_cast<int>(count);
}

}  // namespace guavacross::backends
