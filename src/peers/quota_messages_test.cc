// Questions for tokens of tenants' limits, as other instances read them.

#include <limits>

#include "peers/peer_codec.h"
#include "util/test_case.h"

namespace guavacross::peers {

namespace {

using util::Section;

policy::QuotaQuestion Sent(const policy::QuotaQuestion& question) {
  proto::QuotaQuestion message;
  FromQuotaQuestion(question, &message);
  return ToQuotaQuestion(message);
}

policy::QuotaAnswer Sent(const policy::QuotaAnswer& answer) {
  proto::QuotaAnswer message;
  FromQuotaAnswer(answer, &message);
  return ToQuotaAnswer(message);
}

}  // namespace

// Guards against a reserve that is lost on its way, or read from an older build
// that sends none.
GUAVACROSS_TEST_CASE(QuotaMessages) {
  policy::QuotaQuestion question{.m_tenant = "choir",
                                 .m_limit = {.m_rate = 100, .m_burst = 20},
                                 .m_wanted = 3,
                                 .m_returned = 1};
  policy::QuotaAnswer answer{.m_granted = 2,
                             .m_retry_after = std::chrono::milliseconds(40)};
  Section("without a reserve are read as they were written", [&] {
    CPPUNIT_ASSERT(Sent(question) == question);
    CPPUNIT_ASSERT(Sent(answer) == answer);
  });
  Section("so are they with one", [&] {
    question.m_reserve = {.m_rate = 12.5, .m_free_rate = 0};
    answer.m_reserve = {.m_rate = 0, .m_free_rate = 87.5};
    CPPUNIT_ASSERT(Sent(question) == question);
    CPPUNIT_ASSERT(Sent(answer) == answer);
  });
  Section("rates that are no positive numbers count as none", [&] {
    question.m_reserve = {
        .m_rate = -1, .m_free_rate = std::numeric_limits<double>::quiet_NaN()};
    CPPUNIT_ASSERT(Sent(question).m_reserve == policy::QuotaReserve());
  });
}

}  // namespace guavacross::peers
