#include "forwarding/relay.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

#include "guavacross/wire_names.h"

namespace guavacross::forwarding {

namespace {

// The first word of a mark.
constexpr std::string_view kMarkVersion = "1";

constexpr std::array<std::string_view, 4> kRefusalFields = {
    kOutcomeHeader, kReasonHeader, kRelayAttemptsHeader, kRelayWaitHeader};

// Removes the first word of `text` and returns it.
std::string_view TakeWord(std::string_view* text) {
  const std::size_t end = std::min(text->find(' '), text->size());
  const std::string_view word = text->substr(0, end);
  text->remove_prefix(std::min(end + 1, text->size()));
  return word;
}

template <class Number>
bool ReadNumber(std::string_view text, Number* number) {
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

ErrorKind KindNamed(std::string_view name) {
  for (const ErrorAnswer& row : AllErrorAnswers()) {
    if (row.m_name == name) {
      return row.m_kind;
    }
  }
  return ErrorKind::kPeerUnavailable;
}

std::optional<Outcome> OutcomeNamed(std::string_view name) {
  for (const Outcome outcome :
       {Outcome::kNotRun, Outcome::kDone, Outcome::kUnknown}) {
    if (OutcomeName(outcome) == name) {
      return outcome;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string FormatRelayMark(const RelayMark& mark) {
  std::string text(kMarkVersion);
  for (const std::string& word :
       {std::to_string(mark.m_attempts),
        std::to_string(ToMilliseconds(mark.m_caller_timeout)),
        std::to_string(mark.m_config_version),
        std::to_string(mark.m_service_hash), mark.m_cluster, mark.m_from}) {
    text += ' ';
    text += word;
  }
  return text;
}

std::optional<RelayMark> ParseRelayMark(std::string_view text) {
  RelayMark mark;
  std::int64_t caller_timeout_ms = 0;
  if (TakeWord(&text) != kMarkVersion ||
      !ReadNumber(TakeWord(&text), &mark.m_attempts) ||
      !ReadNumber(TakeWord(&text), &caller_timeout_ms) ||
      !ReadNumber(TakeWord(&text), &mark.m_config_version) ||
      !ReadNumber(TakeWord(&text), &mark.m_service_hash) ||
      mark.m_attempts < 0 || caller_timeout_ms < 0) {
    return std::nullopt;
  }
  mark.m_caller_timeout = std::chrono::milliseconds(caller_timeout_ms);
  mark.m_cluster = TakeWord(&text);
  mark.m_from = text;
  return mark.m_from.empty() ? std::nullopt : std::optional(mark);
}

void AddRelayRefusal(const RelayRefusal& refusal,
                     const std::string& id_header,
                     const http::RequestHead& request,
                     http::ResponseHead* answer) {
  http::Fields& fields = answer->m_fields;
  fields.Set(kOutcomeHeader, std::string(OutcomeName(refusal.m_outcome)));
  fields.Set(kReasonHeader,
             std::string(AnswerFor(refusal.m_error.m_kind).m_name));
  fields.Set(kRelayAttemptsHeader, std::to_string(refusal.m_attempts));
  fields.Set(kRelayWaitHeader,
             std::to_string(ToMilliseconds(refusal.m_error.m_retry_after)));
  const auto id = request.m_fields.Find(id_header);
  if (!id_header.empty() && id.has_value()) {
    fields.Set(id_header, std::string(*id));
  }
}

void RemoveRelayRefusal(http::ResponseHead* answer) {
  for (const std::string_view name : kRefusalFields) {
    answer->m_fields.Remove(name);
  }
}

std::optional<RelayRefusal> ReadRelayRefusal(const http::ResponseHead& answer) {
  const http::Fields& fields = answer.m_fields;
  const auto outcome = OutcomeNamed(fields.Find(kOutcomeHeader).value_or(""));
  const auto reason = fields.Find(kReasonHeader);
  RelayRefusal refusal;
  std::int64_t wait_ms = 0;
  if (!reason.has_value() || !outcome.has_value() ||
      !ReadNumber(fields.Find(kRelayAttemptsHeader).value_or(""),
                  &refusal.m_attempts) ||
      !ReadNumber(fields.Find(kRelayWaitHeader).value_or(""), &wait_ms)) {
    return std::nullopt;
  }
  refusal.m_outcome = *outcome;
  refusal.m_error.m_kind = KindNamed(*reason);
  refusal.m_error.m_text = "a peer answered " + std::string(*reason);
  refusal.m_error.m_retry_after = std::chrono::milliseconds(wait_ms);
  return refusal;
}

bool IsPeerUnfit(ErrorKind kind) {
  return kind == ErrorKind::kNoPath || kind == ErrorKind::kNotReady ||
         kind == ErrorKind::kShuttingDown ||
         kind == ErrorKind::kTooManyConnections ||
         kind == ErrorKind::kPeerUnavailable;
}

}  // namespace guavacross::forwarding
