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
constexpr std::uint64_t kStreamThresholdBytes = 256 << 10;
// Limit of unsent bytes in the socket while an answer is streamed.
constexpr std::int64_t kMaxUnsentBytes = 256 << 10;
constexpr std::size_t kChunkBytes = 64 << 10;
// Interval between the chunks of a rate-limited answer.
constexpr int kRateIntervalMs = 20;

}  // namespace

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
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
  return text.has_value() ? ParseNumber(*text) : std::nullopt;
}

std::string RequestIdentity(const http::RequestHead& head) {
  if (const auto key = head.m_fields.Find(kIdempotencyKeyHeader)) {
    return std::string(*key);
  }
  return std::string(
      head.m_fields.Find(load::kRequestIdHeader).value_or("no-id"));
}

void BackendServer::AnswerJob(const JobPointer& job) {
  if (job->m_cancelled || job->m_exchange->disconnected()) {
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
  const Health health = ReportedHealth();
  http::ResponseHead head = MakeHead(*job->m_exchange, 200);
  head.m_fields.Set(kInFlightHeader, std::to_string(health.m_in_flight));
  head.m_fields.Remove(kDrainingHeader);
  if (health.m_draining && !m_faults.m_lying_health) {
    head.m_fields.Set(kDrainingHeader, "1");
  }
  job->m_exchange->Answer(std::move(head), "");
}

void BackendServer::SendBody(const JobPointer& job) {
  Exchange& exchange = *job->m_exchange;
  job->m_body_bytes =
      QueryNumber(exchange, "bytes").value_or(kDefaultAnswerBytes);
  job->m_bytes_per_second = QueryNumber(exchange, "rate").value_or(0);
  http::ResponseHead head = MakeHead(exchange, 200);
  head.m_keep_alive = exchange.m_head.m_keep_alive;
  head.m_framing = http::BodyFraming::kLength;
  head.m_length = job->m_body_bytes;
  head.m_reason = http::ReasonPhrase(200);
  const std::string head_bytes = http::Serialize(head);
  if (exchange.m_head.m_method == "HEAD") {
    exchange.Write(head_bytes);
    FreeSlot(job);
    exchange.Finish(exchange.m_head.m_keep_alive);
    return;
  }
  if (m_faults.m_truncate || m_faults.m_reset_midway) {
    exchange.m_on_disconnected = nullptr;
    exchange.Write(head_bytes + load::AnswerBytes(job->m_identity,
                                                  job->m_body_bytes, 0,
                                                  job->m_body_bytes / 2));
    FreeSlot(job);
    const bool reset = m_faults.m_reset_midway;
    // Allow 5 ms for the bytes to be sent before the connection ends.
    QTimer::singleShot(5, this, [job, reset] {
      reset ? job->m_exchange->Reset() : job->m_exchange->Close();
    });
    return;
  }
  if (job->m_body_bytes > kStreamThresholdBytes ||
      job->m_bytes_per_second > 0) {
    exchange.Write(head_bytes);
    exchange.m_on_written = [this, weak = std::weak_ptr<Job>(job)] {
      const JobPointer streaming = weak.lock();
      if (streaming != nullptr && streaming->m_bytes_per_second == 0) {
        StreamBody(streaming);
      }
    };
    StreamBody(job);
    return;
  }
  const std::string body = load::AnswerBytes(job->m_identity, job->m_body_bytes,
                                             0, job->m_body_bytes);
  head.m_fields.Add(load::kBodyHashHeader, load::BodyHash(body));
  std::string response_bytes = http::Serialize(head) + body;
  if (m_faults.m_answer_twice) {
    response_bytes += response_bytes;
  }
  if (m_faults.m_surplus_bytes) {
    response_bytes += "surplus";
  }
  ++m_counters.m_answered;
  exchange.Write(response_bytes);
  FreeSlot(job);
  exchange.Finish(exchange.m_head.m_keep_alive);
}

// Sends more chunks of a large or rate-limited answer, up to the limit of
// unsent bytes.
void BackendServer::StreamBody(const JobPointer& job) {
  if (job->m_cancelled || !job->m_running) {
    return;
  }
  Exchange& exchange = *job->m_exchange;
  const std::size_t chunk_bytes =
      job->m_bytes_per_second > 0
          ? std::max<std::size_t>(
                1, job->m_bytes_per_second * kRateIntervalMs / 1000)
          : kChunkBytes;
  while (job->m_sent_bytes < job->m_body_bytes &&
         exchange.UnsentBytes() < kMaxUnsentBytes) {
    const std::string bytes = load::AnswerBytes(
        job->m_identity, job->m_body_bytes, job->m_sent_bytes, chunk_bytes);
    job->m_sent_bytes += bytes.size();
    exchange.Write(bytes);
    if (job->m_bytes_per_second > 0) {
      break;
    }
  }
  if (job->m_sent_bytes == job->m_body_bytes) {
    ++m_counters.m_answered;
    FreeSlot(job);
    exchange.Finish(exchange.m_head.m_keep_alive);
    return;
  }
  if (job->m_bytes_per_second > 0) {
    QTimer::singleShot(kRateIntervalMs, this, [this, job] { StreamBody(job); });
  }
}

http::ResponseHead BackendServer::MakeHead(const Exchange& exchange,
                                           int status) const {
  http::ResponseHead head{.m_status = status};
  head.m_fields.Add(
      load::kRequestIdHeader,
      std::string(exchange.m_head.m_fields.Find(load::kRequestIdHeader)
                      .value_or(RequestIdentity(exchange.m_head))));
  head.m_fields.Add(kInFlightHeader, std::to_string(InFlight()));
  head.m_fields.Add(kIncarnationHeader, std::to_string(m_incarnation));
  head.m_fields.Add("X-Backend", m_options.m_name);
  if (m_faults.m_draining) {
    head.m_fields.Add(kDrainingHeader, "1");
  }
  return head;
}

}  // namespace guavacross::standin
