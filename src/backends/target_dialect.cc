#include "backends/target_dialect.h"

#include "backends/load_fields.h"
#include "guavacross/wire_names.h"

namespace guavacross::backends {

const TargetDialect& DefaultTargetDialect() {
  static const TargetDialect kDialect{
      .m_deadline_header = kDeadlineHeader,
      .m_hops_header = kHopsHeader,
      .m_read_load =
          [](const http::ResponseHead& head) {
            return ReadLoad(head.m_fields);
          },
      .m_read_refusal =
          [](const http::ResponseHead& head) {
            return IsNotRunRefusal(head) ? Refusal::kNotRun : Refusal::kNone;
          },
      .m_is_from_backend = [](const http::ResponseHead&) { return true; },
      .m_read_target = [](const http::Fields&) { return std::string(); }};
  return kDialect;
}

}  // namespace guavacross::backends
