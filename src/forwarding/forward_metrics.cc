#include "forwarding/forward_metrics.h"

#include <cstddef>

namespace guavacross::forwarding {

namespace {

ClassSeries MakeSeries(util::Metrics* metrics,
                       const util::Metrics::Labels& labels) {
  ClassSeries series;
  series.m_total_seconds = &metrics->LatencyHistogram(
      "guavacross_request_seconds",
      "Time from a request's head to the end of its answer", labels);
  series.m_added_seconds = &metrics->LatencyHistogram(
      "guavacross_added_seconds",
      "Part of guavacross_request_seconds spent outside of the attempt whose "
      "answer was passed on",
      labels);
  for (const Outcome outcome :
       {Outcome::kNotRun, Outcome::kDone, Outcome::kUnknown}) {
    util::Metrics::Labels with_outcome = labels;
    with_outcome.emplace("outcome", OutcomeName(outcome));
    series.m_requests[static_cast<std::size_t>(outcome)] = &metrics->Counter(
        "guavacross_requests_total", "Requests by outcome", with_outcome);
  }
  return series;
}

}  // namespace

ClassSeries& ForwardMetrics::Series(const std::string& service,
                                    const std::string& class_name,
                                    const std::string& tenant) {
  ClassSeries& series = m_series[Key(service, class_name, tenant)];
  if (series.m_total_seconds == nullptr) {
    series = MakeSeries(
        m_metrics,
        {{"service", service}, {"class", class_name}, {"tenant", tenant}});
  }
  return series;
}

void ForwardMetrics::CountAttempt(const std::string& service,
                                  const std::string& zone,
                                  std::string_view end) {
  prometheus::Counter*& counter =
      m_attempts[Key(service, zone, std::string(end))];
  if (counter == nullptr) {
    counter = &m_metrics->Counter(
        "guavacross_attempts_total",
        "Attempts by service, the target's zone, and how they ended",
        {{"service", service}, {"zone", zone}, {"end", std::string(end)}});
  }
  counter->Increment();
}

void ForwardMetrics::CountRelay(const std::string& service,
                                std::string_view way,
                                std::string_view end) {
  prometheus::Counter*& counter =
      m_relays[Key(service, std::string(way), std::string(end))];
  if (counter == nullptr) {
    counter = &m_metrics->Counter(
        "guavacross_relayed_requests_total",
        "Requests that are passed on between instances because one has no path "
        "to their targets, by service, way, and how they ended",
        {{"service", service},
         {"way", std::string(way)},
         {"end", std::string(end)}});
  }
  counter->Increment();
}

void ForwardMetrics::CountPipelined(const std::string& service) {
  prometheus::Counter*& counter = m_pipelined[service];
  if (counter == nullptr) {
    counter = &m_metrics->Counter(
        "guavacross_pipelined_requests_total",
        "Requests forwarded before the one ahead of them on their connection "
        "was answered, by service",
        {{"service", service}});
  }
  counter->Increment();
}

void ForwardMetrics::CountOwnAnswer(ErrorKind kind) {
  prometheus::Counter*& counter = m_own_answers[kind];
  if (counter == nullptr) {
    counter =
        &m_metrics->Counter("guavacross_own_answers_total",
                            "Answers that guavacross made itself, by reason",
                            {{"reason", std::string(AnswerFor(kind).m_name)}});
  }
  counter->Increment();
}

}  // namespace guavacross::forwarding
