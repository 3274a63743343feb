#include "callers/route_classifier.h"

#include <QByteArray>
#include <QCryptographicHash>
#include <algorithm>
#include <utility>
#include <vector>

#include "callers/classify.h"

namespace guavacross::callers {

namespace {

constexpr char kAuthorizationHeader[] = "Authorization";
constexpr char kBearerScheme[] = "Bearer";

const ClassConfig* FindClassNamed(const ServiceConfig& service,
                                  const std::string& name) {
  const auto found =
      std::find_if(service.m_classes.begin(), service.m_classes.end(),
                   [&name](const auto& each) { return each.m_name == name; });
  return found == service.m_classes.end() ? nullptr : &*found;
}

std::string DigestOf(std::string_view key) {
  return QCryptographicHash::hash(
             QByteArray(key.data(), static_cast<qsizetype>(key.size())),
             QCryptographicHash::Sha256)
      .toStdString();
}

// The bearer token of a request; empty if it has none, or several.
std::string_view BearerToken(const http::Fields& fields) {
  const auto is_key = [](const http::Fields::Field& field) {
    return http::EqualsIgnoreCase(field.first, kAuthorizationHeader);
  };
  if (std::count_if(fields.all().begin(), fields.all().end(), is_key) != 1) {
    return {};
  }
  std::string_view value = *fields.Find(kAuthorizationHeader);
  const std::size_t end = value.find(' ');
  if (end == std::string_view::npos ||
      !http::EqualsIgnoreCase(value.substr(0, end), kBearerScheme)) {
    return {};
  }
  value.remove_prefix(end);
  const std::size_t begin = value.find_first_not_of(' ');
  return begin == std::string_view::npos ? std::string_view()
                                         : value.substr(begin);
}

}  // namespace

RouteClassifier::RouteClassifier(const Router* router,
                                 std::string deadline_header)
    : m_router(router), m_deadline_header(std::move(deadline_header)) {}

void RouteClassifier::SetTable(std::shared_ptr<const RouteTable> table) {
  const std::lock_guard lock(m_mutex);
  m_table = std::move(table);
  m_index.emplace(*m_table);
  m_tenants.clear();
  for (const Tenant& tenant : m_table->m_tenants) {
    for (const std::string& key : tenant.m_keys) {
      m_tenants[DigestOf(key)] = &tenant;
    }
  }
  std::erase_if(m_splits, [this](const auto& entry) {
    return std::none_of(
        m_table->m_routes.begin(), m_table->m_routes.end(),
        [&entry](const Route& route) { return route.m_name == entry.first; });
  });
}

std::uint64_t RouteClassifier::version() const {
  const std::lock_guard lock(m_mutex);
  return m_table == nullptr ? 0 : m_table->m_version;
}

void RouteClassifier::SetCurrent(bool current) {
  const std::lock_guard lock(m_mutex);
  m_is_current = current;
}

const Tenant* RouteClassifier::FindTenant(const http::Fields& fields) const {
  const std::string_view key = BearerToken(fields);
  if (key.empty()) {
    return nullptr;
  }
  const auto found = m_tenants.find(DigestOf(key));
  return found == m_tenants.end() ? nullptr : found->second;
}

Result<std::string> RouteClassifier::VerifyTenant(
    const Route& route,
    const http::RequestHead& head,
    const std::optional<forwarding::RelayMark>& relay) const {
  const Tenant* const tenant = FindTenant(head.m_fields);
  if (tenant != nullptr) {
    return tenant->m_name;
  }
  if (route.m_public) {
    return std::string();
  }
  if (!m_is_current || relay.has_value()) {
    return Fail(ErrorKind::kNotReady,
                "the key isn't in this instance's configuration, which may not "
                "be the newest");
  }
  return Fail(ErrorKind::kUnknownKey, "the request has no known key");
}

void RouteClassifier::SetExitTime(TimePoint exit_time) {
  const std::lock_guard lock(m_mutex);
  m_exit_time = exit_time;
}

std::string RouteClassifier::PickService(
    const Route& route,
    const std::optional<forwarding::RelayMark>& relay) {
  for (const ServiceShare& share : route.m_shares) {
    if (relay.has_value() &&
        relay->m_service_hash == ServiceHash(share.m_service)) {
      return share.m_service;
    }
  }
  if (route.m_shares.size() == 1) {
    return route.m_shares.front().m_service;
  }
  std::vector<int> weights;
  weights.reserve(route.m_shares.size());
  for (const ServiceShare& share : route.m_shares) {
    weights.push_back(share.m_weight);
  }
  return route.m_shares[m_splits[route.m_name].Pick(weights)].m_service;
}

Result<forwarding::ForwardRequest> RouteClassifier::Classify(
    const http::RequestHead& head,
    TimePoint now,
    const std::optional<forwarding::RelayMark>& relay) {
  const std::lock_guard lock(m_mutex);
  if (m_table == nullptr) {
    return Fail(ErrorKind::kNotReady, "no configuration is in force yet");
  }
  if (relay.has_value() && relay->m_config_version > m_table->m_version) {
    return Fail(ErrorKind::kNotReady, "the sender's configuration is newer");
  }
  if (!head.m_target.starts_with('/')) {
    return Fail(ErrorKind::kBadRequest, "the request target must be a path");
  }
  const std::string_view host = head.m_fields.Find("Host").value_or("");
  const Route* const route = m_index->Find(host, http::PathOf(head.m_target));
  if (route == nullptr) {
    return Fail(ErrorKind::kNoMatchingClass,
                "no route of " + std::string(host) + " takes this path");
  }
  std::optional<std::string> tenant;
  if (m_table->m_has_tenants) {
    BOOST_LEAF_ASSIGN(tenant, VerifyTenant(*route, head, relay));
  }
  BOOST_LEAF_AUTO(caller_deadline,
                  ReadCallerDeadline(head.m_fields, m_deadline_header,
                                     route->m_deadline, now));
  forwarding::ForwardRequest request;
  request.m_deadline = caller_deadline.m_deadline;
  request.m_caller_timeout = caller_deadline.m_requested_timeout;
  if (m_exit_time.has_value() && request.m_deadline > *m_exit_time) {
    return Fail(ErrorKind::kShuttingDown, "this instance is shutting down");
  }
  if (route->m_shares.empty()) {
    return Fail(ErrorKind::kNoTarget,
                "route " + route->m_name + " has no usable service");
  }
  const std::string service = PickService(*route, relay);
  request.m_service = m_router->FindService(service);
  request.m_class = request.m_service == nullptr
                        ? nullptr
                        : FindClassNamed(*request.m_service, route->m_name);
  if (request.m_class == nullptr) {
    return Fail(ErrorKind::kNoTarget, "service " + service + " has no targets");
  }
  request.m_head = head;
  request.m_tenant = tenant.value_or("").empty() ? kOtherTenant : *tenant;
  request.m_verified_tenant = std::move(tenant);
  request.m_arrived = now;
  return request;
}

}  // namespace guavacross::callers
