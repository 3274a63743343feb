#include "forwarding/forwarded_head.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "guavacross/outcome.h"
#include "guavacross/wire_names.h"

namespace guavacross::forwarding {

namespace {

// Replaced on the way to a backend server.
constexpr std::array<std::string_view, 3> kNotForBackend = {
    "Expect", kHopsHeader, kDeadlineHeader};

// What only guavacross may say to a caller, and what only it needs to know.
constexpr std::array<std::string_view, 7> kNotForCaller = {
    kInFlightHeader, kDrainingHeader, kNotRunHeader, kIncarnationHeader,
    kOutcomeHeader,  kReasonHeader,   kReplayHeader};

}  // namespace

http::RequestHead HeadForBackend(const http::RequestHead& from_caller,
                                 int hops,
                                 std::optional<Duration> remaining,
                                 std::optional<std::size_t> body_bytes) {
  http::RequestHead head;
  head.m_method = from_caller.m_method;
  head.m_target = from_caller.m_target;
  head.m_framing = from_caller.m_framing;
  head.m_length = from_caller.m_length;
  head.m_fields = http::EndToEndFields(from_caller.m_fields, kNotForBackend);
  head.m_fields.Add(kHopsHeader, std::to_string(hops + 1));
  if (remaining.has_value()) {
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(*remaining);
    head.m_fields.Add(kDeadlineHeader, std::to_string(std::max<std::int64_t>(
                                           milliseconds.count(), 0)));
  }
  if (body_bytes.has_value() && head.m_framing != http::BodyFraming::kNone) {
    head.m_framing = http::BodyFraming::kLength;
    head.m_length = *body_bytes;
  }
  return head;
}

http::ResponseHead HeadForCaller(const http::ResponseHead& from_backend) {
  http::ResponseHead head;
  head.m_status = from_backend.m_status;
  head.m_reason = from_backend.m_reason;
  head.m_framing = from_backend.m_framing;
  head.m_length = from_backend.m_length;
  head.m_fields = http::EndToEndFields(from_backend.m_fields, kNotForCaller);
  head.m_fields.Add(kOutcomeHeader, std::string(OutcomeName(Outcome::kDone)));
  return head;
}

}  // namespace guavacross::forwarding
