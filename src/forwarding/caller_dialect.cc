#include "forwarding/caller_dialect.h"

#include "forwarding/forwarded_head.h"

namespace guavacross::forwarding {

const CallerDialect& DefaultCallerDialect() {
  static const CallerDialect kDialect{.m_error_answer = ErrorToAnswer,
                                      .m_answer_head = HeadForCaller};
  return kDialect;
}

}  // namespace guavacross::forwarding
