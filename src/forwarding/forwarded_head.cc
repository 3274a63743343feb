#include "forwarding/forwarded_head.h"

#include <algorithm>
#include <string>

#include "guavacross/outcome.h"
#include "guavacross/wire_names.h"

namespace guavacross::forwarding {

http::RequestHead HeadForBackend(const http::RequestHead& from_caller,
                                 int hops,
                                 std::optional<Duration> remaining,
                                 std::optional<std::size_t> body_bytes) {
  http::RequestHead head = from_caller;
  http::RemoveHopByHopFields(&head.m_fields);
  head.m_fields.Remove("Expect");
  head.m_fields.Set(kHopsHeader, std::to_string(hops + 1));
  head.m_fields.Remove(kDeadlineHeader);
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
  head.m_keep_alive = true;
  return head;
}

http::ResponseHead HeadForCaller(const http::ResponseHead& from_backend) {
  http::ResponseHead head = from_backend;
  http::RemoveHopByHopFields(&head.m_fields);
  for (const char* const name :
       {kInFlightHeader, kDrainingHeader, kNotRunHeader, kIncarnationHeader,
        kReasonHeader, kReplayHeader}) {
    head.m_fields.Remove(name);
  }
  head.m_fields.Set(kOutcomeHeader, std::string(OutcomeName(Outcome::kDone)));
  head.m_keep_alive = true;
  return head;
}

}  // namespace guavacross::forwarding
