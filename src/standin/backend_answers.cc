// Answers of the backend server stand-in: heads, bodies and streaming.

#include <QTimer>
#include <algorithm>
#include <charconv>
#include <utility>

#include "guavacross/wire_names.h"
#include "load/answer_body.h"
#include "standin/backend_job.h"
#include "standin/backend_server.h"

namespace guavacross::standin {

namespace {

// Size of an answer if the request's query does not set it.
constexpr std::uint64_t kDefaultAnswerBytes = 256;
// Larger answers are streamed.
constexpr std::uint64_t kStreamOverBytes = 256 << 10;
// Limit of unsent bytes in the socket while an answer is streamed.
constexpr std::int64_t kUnsentLimit = 256 << 10;
constexpr std::size_t kPieceBytes = 64 << 10;
// Interval between the chunks of a rate-limited answer.
constexpr int kRateIntervalMs = 20;

}  // namespace

std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto end = text.data() + text.size();
  if (text.empty() || std::from_chars(text.data(), end, number).ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint64_t> QueryNumber(const Exchange& exchange,
                                         std::string_view name) {
  const auto text = http::QueryParameter(exchange.m_head.m_target, name);
  return text.has_value() ? ReadNumber(*text) : std::nullopt;
}

std::string IdentityOf(const http::RequestHead& head) {
  if (const auto key = head.m_fields.Find(kIdempotencyKeyHeader)) {
    return std::string(*key);
  }
  return std::string(
      head.m_fields.Find(load::kRequestIdHeader).value_or("no-id"));
}

void BackendServer::AnswerJob(const JobPointer& job) {
  if (job->m_left || job->m_exchange->gone()) {
    FreeSlot(job);
    return;
  }
  if (job->m_probe) {
    AnswerProbe(job);
    return;
  }
  if (m_faults.m_reset_after_run) {
    job->m_exchange->Reset();
    FreeSlot(job);
    return;
  }
  SendBody(job);
}

void BackendServer::AnswerProbe(const JobPointer& job) {
  FreeSlot(job);
  const Health health = ShownHealth();
  http::ResponseHead head = HeadFor(*job->m_exchange, 200);
  head.m_fields.Set(kInFlightHeader, std::to_string(health.m_in_flight));
  head.m_fields.Remove(kDrainingHeader);
  if (health.m_draining && !m_faults.m_lying_health) {
    head.m_fields.Set(kDrainingHeader, "1");
  }
  job->m_exchange->Answer(std::move(head), "");
}

void BackendServer::SendBody(const JobPointer& job) {
  Exchange& exchange = *job->m_exchange;
  job->m_total = QueryNumber(exchange, "bytes").value_or(kDefaultAnswerBytes);
  job->m_rate = QueryNumber(exchange, "rate").value_or(0);
  http::ResponseHead head = HeadFor(exchange, 200);
  head.m_keep_alive = exchange.m_head.m_keep_alive;
  head.m_framing = http::BodyFraming::kLength;
  head.m_length = job->m_total;
  head.m_reason = http::ReasonPhrase(200);
  const std::string head_bytes = http::Serialize(head);
  if (exchange.m_head.m_method == "HEAD") {
    exchange.Write(head_bytes);
    FreeSlot(job);
    exchange.Finish(exchange.m_head.m_keep_alive);
    return;
  }
  if (m_faults.m_truncate || m_faults.m_reset_midway) {
    exchange.m_on_gone = nullptr;
    exchange.Write(head_bytes + load::AnswerBytes(job->m_identity, job->m_total,
                                                  0, job->m_total / 2));
    FreeSlot(job);
    const bool reset = m_faults.m_reset_midway;
    // Allow 5 ms for the bytes to be sent before the connection ends.
    QTimer::singleShot(5, this, [job, reset] {
      reset ? job->m_exchange->Reset() : job->m_exchange->Close();
    });
    return;
  }
  if (job->m_total > kStreamOverBytes || job->m_rate > 0) {
    exchange.Write(head_bytes);
    exchange.m_on_written = [this, weak = std::weak_ptr<Job>(job)] {
      const JobPointer streaming = weak.lock();
      if (streaming != nullptr && streaming->m_rate == 0) {
        Stream(streaming);
      }
    };
    Stream(job);
    return;
  }
  const std::string body =
      load::AnswerBytes(job->m_identity, job->m_total, 0, job->m_total);
  head.m_fields.Add(load::kBodyHashHeader, load::BodyHash(body));
  std::string whole = http::Serialize(head) + body;
  if (m_faults.m_answer_twice) {
    whole += whole;
  }
  if (m_faults.m_surplus_bytes) {
    whole += "surplus";
  }
  ++m_counters.m_answered;
  exchange.Write(whole);
  FreeSlot(job);
  exchange.Finish(exchange.m_head.m_keep_alive);
}

// Sends more chunks of a large or rate-limited answer, up to the limit of
// unsent bytes.
void BackendServer::Stream(const JobPointer& job) {
  if (job->m_left || !job->m_running) {
    return;
  }
  Exchange& exchange = *job->m_exchange;
  const std::size_t piece =
      job->m_rate > 0
          ? std::max<std::size_t>(1, job->m_rate * kRateIntervalMs / 1000)
          : kPieceBytes;
  while (job->m_sent < job->m_total && exchange.Unsent() < kUnsentLimit) {
    const std::string bytes =
        load::AnswerBytes(job->m_identity, job->m_total, job->m_sent, piece);
    job->m_sent += bytes.size();
    exchange.Write(bytes);
    if (job->m_rate > 0) {
      break;
    }
  }
  if (job->m_sent == job->m_total) {
    ++m_counters.m_answered;
    FreeSlot(job);
    exchange.Finish(exchange.m_head.m_keep_alive);
    return;
  }
  if (job->m_rate > 0) {
    QTimer::singleShot(kRateIntervalMs, this, [this, job] { Stream(job); });
  }
}

http::ResponseHead BackendServer::HeadFor(const Exchange& exchange,
                                          int status) const {
  http::ResponseHead head{.m_status = status};
  head.m_fields.Add(
      load::kRequestIdHeader,
      std::string(exchange.m_head.m_fields.Find(load::kRequestIdHeader)
                      .value_or(IdentityOf(exchange.m_head))));
  head.m_fields.Add(kInFlightHeader, std::to_string(InFlight()));
  head.m_fields.Add(kIncarnationHeader, std::to_string(m_incarnation));
  head.m_fields.Add("X-Backend", m_options.m_name);
  if (m_faults.m_draining) {
    head.m_fields.Add(kDrainingHeader, "1");
  }
  return head;
}

}  // namespace guavacross::standin
