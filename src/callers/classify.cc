#include "callers/classify.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "guavacross/wire_names.h"

namespace guavacross::callers {

namespace {

// Largest timeout that a caller may request: 24 hours.
constexpr std::int64_t kMaxDeadlineMs = std::int64_t{24} * 3600 * 1000;

std::string ServiceName(const http::RequestHead& head) {
  if (const auto named = head.m_fields.Find(kServiceHeader)) {
    return std::string(*named);
  }
  const std::string_view host = head.m_fields.Find("Host").value_or("");
  return std::string(host.substr(0, host.find(':')));
}

std::string TenantName(const http::RequestHead& head,
                       const ServiceConfig& service) {
  const std::string_view named = head.m_fields.Find(kTenantHeader).value_or("");
  const auto& tenants = service.m_tenants;
  const bool declared =
      std::any_of(tenants.begin(), tenants.end(),
                  [named](const auto& each) { return each.m_name == named; });
  return declared ? std::string(named) : kOtherTenant;
}

// Parses an optional header field that must be an integer from 0 to `max`.
Result<std::optional<std::int64_t>> ReadNumber(const http::Fields& fields,
                                               const char* name,
                                               std::int64_t max) {
  const auto text = fields.Find(name);
  if (!text.has_value()) {
    return std::optional<std::int64_t>();
  }
  std::int64_t value = 0;
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0 ||
      value > max) {
    return Fail(ErrorKind::kBadRequest, std::string(name) +
                                            " must be a number from 0 to " +
                                            std::to_string(max));
  }
  return std::optional<std::int64_t>(value);
}

}  // namespace

Result<CallerDeadline> ReadCallerDeadline(const http::Fields& fields,
                                          const std::string& name,
                                          std::optional<Duration> limit,
                                          TimePoint now) {
  BOOST_LEAF_AUTO(requested_ms,
                  ReadNumber(fields, name.c_str(), kMaxDeadlineMs));
  CallerDeadline caller_deadline;
  if (limit.has_value()) {
    caller_deadline.m_deadline = now + *limit;
  }
  if (requested_ms.has_value()) {
    caller_deadline.m_requested_timeout =
        std::chrono::milliseconds(*requested_ms);
    caller_deadline.m_deadline = std::min(
        caller_deadline.m_deadline, now + caller_deadline.m_requested_timeout);
  }
  return caller_deadline;
}

Result<forwarding::ForwardRequest> Classify(const Router& router,
                                            const http::RequestHead& head,
                                            TimePoint now) {
  if (!head.m_target.starts_with('/')) {
    return Fail(ErrorKind::kBadRequest, "the request target must be a path");
  }
  forwarding::ForwardRequest request;
  const std::string service = ServiceName(head);
  request.m_service = router.FindService(service);
  if (request.m_service == nullptr) {
    return Fail(ErrorKind::kUnknownService, "no service " + service);
  }
  request.m_class =
      FindClass(*request.m_service, head.m_method, http::PathOf(head.m_target));
  if (request.m_class == nullptr) {
    return Fail(ErrorKind::kNoMatchingClass,
                "no class of " + service + " takes this method and path");
  }
  BOOST_LEAF_AUTO(hops, ReadNumber(head.m_fields, kHopsHeader, kMaxHops));
  const Duration limit = request.m_class->m_deadline;
  BOOST_LEAF_AUTO(
      caller_deadline,
      ReadCallerDeadline(
          head.m_fields, kDeadlineHeader,
          limit > Duration::zero() ? std::optional(limit) : std::nullopt, now));
  request.m_head = head;
  request.m_tenant = TenantName(head, *request.m_service);
  request.m_key_tenant = head.m_fields.Find(kTenantHeader).value_or("");
  request.m_arrived = now;
  request.m_deadline = caller_deadline.m_deadline;
  request.m_caller_timeout = caller_deadline.m_requested_timeout;
  request.m_hops = static_cast<int>(hops.value_or(0));
  return request;
}

Outcome RefusalOutcome(const http::RequestHead& head, ErrorKind kind) {
  const bool keyed = head.m_fields.Find(kIdempotencyKeyHeader).has_value();
  return keyed ? Outcome::kUnknown : AnswerFor(kind).m_outcome;
}

}  // namespace guavacross::callers
