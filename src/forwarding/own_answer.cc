#include "forwarding/own_answer.h"

#include <utility>

#include "guavacross/wire_names.h"

namespace guavacross::forwarding {

namespace {

constexpr char kRecordedValue[] = "recorded";

void SetBody(std::string body, CompleteAnswer* answer) {
  answer->m_head.m_framing = http::BodyFraming::kLength;
  answer->m_head.m_length = body.size();
  answer->m_body = std::move(body);
}

}  // namespace

CompleteAnswer AnswerWithBody(int status,
                              std::string content_type,
                              std::string body) {
  CompleteAnswer answer;
  answer.m_head.m_status = status;
  answer.m_head.m_fields.Add("Content-Type", std::move(content_type));
  SetBody(std::move(body), &answer);
  return answer;
}

CompleteAnswer MakeAnswer(int status,
                          Outcome outcome,
                          std::string content_type,
                          std::string body) {
  CompleteAnswer answer =
      AnswerWithBody(status, std::move(content_type), std::move(body));
  answer.m_head.m_fields.Add(kOutcomeHeader, std::string(OutcomeName(outcome)));
  return answer;
}

CompleteAnswer ErrorToAnswer(const Error& error, Outcome outcome) {
  const ErrorAnswer& row = AnswerFor(error.m_kind);
  CompleteAnswer answer =
      MakeAnswer(row.m_http_status, outcome, "text/plain; charset=utf-8",
                 Describe(error) + "\n");
  answer.m_head.m_fields.Add(kReasonHeader, std::string(row.m_name));
  if (row.m_retry_after_s > 0) {
    answer.m_head.m_fields.Add("Retry-After",
                               std::to_string(row.m_retry_after_s));
  }
  return answer;
}

CompleteAnswer ReplayToAnswer(const RecordedAnswer& recorded) {
  // A status of 0 stands for an answer that was too large. Others that aren't
  // status codes were recorded by builds that passed them on.
  if (!http::IsStatusCode(recorded.m_status)) {
    CompleteAnswer lost = ErrorToAnswer(
        {.m_kind = ErrorKind::kOutcomeLost,
         .m_text = "the request ran; its answer was too large to be kept, "
                   "or malformed"},
        Outcome::kDone);
    lost.m_head.m_fields.Add(kReplayHeader, kRecordedValue);
    return lost;
  }
  CompleteAnswer answer;
  answer.m_head.m_status = recorded.m_status;
  for (const auto& [name, value] : recorded.m_headers) {
    answer.m_head.m_fields.Add(name, value);
  }
  answer.m_head.m_fields.Set(kOutcomeHeader,
                             std::string(OutcomeName(Outcome::kDone)));
  answer.m_head.m_fields.Set(kReplayHeader, kRecordedValue);
  SetBody(recorded.m_body, &answer);
  return answer;
}

}  // namespace guavacross::forwarding
