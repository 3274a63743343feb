#include "forwarding/forwarded_head.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "guavacross/outcome.h"
#include "guavacross/wire_names.h"

namespace guavacross::forwarding {

namespace {

// Removed from backend servers' answers: headers that only guavacross may set
// for a caller, and headers that are meant only for guavacross.
constexpr std::array<std::string_view, 7> kRemovedForCaller = {
    kInFlightHeader, kDrainingHeader, kNotRunHeader, kIncarnationHeader,
    kOutcomeHeader,  kReasonHeader,   kReplayHeader};

}  // namespace

http::RequestHead HeadForBackend(const http::RequestHead& from_caller,
                                 const BackendFields& backend_fields,
                                 const backends::TargetDialect& dialect) {
  // The caller's values of these headers are not passed on.
  std::vector<std::string_view> replaced = {
      "Expect", kRelayHeader, dialect.m_hops_header, dialect.m_deadline_header,
      dialect.m_expected_target_header};
  const bool is_for_peer = !backend_fields.m_relay_mark.empty();
  if (backend_fields.m_tenant.has_value()) {
    replaced.emplace_back(dialect.m_tenant_header);
    if (!is_for_peer) {
      // A peer verifies the key itself.
      replaced.emplace_back(dialect.m_key_header);
    }
  }
  http::RequestHead head;
  head.m_method = from_caller.m_method;
  head.m_target = from_caller.m_target;
  head.m_framing = from_caller.m_framing;
  head.m_length = from_caller.m_length;
  head.m_fields = http::EndToEndFields(from_caller.m_fields, replaced);
  if (!dialect.m_hops_header.empty()) {
    head.m_fields.Add(dialect.m_hops_header,
                      std::to_string(backend_fields.m_hops + 1));
  }
  if (backend_fields.m_remaining.has_value()) {
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            *backend_fields.m_remaining);
    head.m_fields.Add(
        dialect.m_deadline_header,
        std::to_string(std::max<std::int64_t>(milliseconds.count(), 0)));
  }
  if (!is_for_peer && backend_fields.m_tenant.has_value() &&
      !backend_fields.m_tenant->empty()) {
    head.m_fields.Add(dialect.m_tenant_header, *backend_fields.m_tenant);
  }
  if (is_for_peer) {
    head.m_fields.Add(kRelayHeader, backend_fields.m_relay_mark);
  } else if (!dialect.m_expected_target_header.empty()) {
    head.m_fields.Add(dialect.m_expected_target_header,
                      backend_fields.m_target);
  }
  if (backend_fields.m_body_bytes.has_value() &&
      head.m_framing != http::BodyFraming::kNone) {
    head.m_framing = http::BodyFraming::kLength;
    head.m_length = *backend_fields.m_body_bytes;
  }
  return head;
}

http::ResponseHead HeadForCaller(const http::ResponseHead& from_backend) {
  http::ResponseHead head;
  head.m_status = from_backend.m_status;
  head.m_reason = from_backend.m_reason;
  head.m_framing = from_backend.m_framing;
  head.m_length = from_backend.m_length;
  head.m_fields =
      http::EndToEndFields(from_backend.m_fields, kRemovedForCaller);
  head.m_fields.Add(kOutcomeHeader, std::string(OutcomeName(Outcome::kDone)));
  return head;
}

}  // namespace guavacross::forwarding
